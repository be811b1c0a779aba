"""Tests of the admission queue, in virtual time and without a network."""

import asyncio
import collections
import random
import statistics

import pytest

from pimentoledge.routing import peer_messages
from pimentoledge.routing import router_responses
from pimentoledge.routing.admission import place_shares
from pimentoledge.routing.admission import queues
from pimentoledge.routing.admission import release_rates
from pimentoledge.routing.admission import returning_clients
from pimentoledge.routing.admission import tickets
from pimentoledge.tests import admission_world

Outcome = tickets.Outcome
World = admission_world.World
now = admission_world.now
play = admission_world.play


def ticket(name="", **more):
    fields = {
        "service": "s",
        "organisation": "o",
        "urgency": 0,
        "deadline": 9.0,
        "until": 3.0,
        "arrived": 0.0,
        "digest": name,
    }
    return tickets.Ticket(**(fields | more))


def queue(wait=None, received=None, **more):
    received = received or {}
    return queues.AdmissionQueue(
        expected_wait=lambda ahead, now: wait and wait * (ahead + 1),
        received=lambda service, organisation, now: received.get(
            organisation, 0.0
        ),
        **more,
    )


def report(**more):
    return peer_messages.LoadReport(
        has={}, said={}, prompts=[], means={}, **more
    )


@pytest.mark.parametrize(
    "first, second",
    [
        ({"urgency": 0, "deadline": 9.0}, {"urgency": 1, "deadline": 1.0}),
        ({"organisation": "low"}, {"organisation": "high", "deadline": 1.0}),
        ({"deadline": 5.0}, {"deadline": 6.0}),
        # A returning client isn't behind one that never waited, also if its
        # organisation has received a little more.
        ({"returning": True, "deadline": 8.0}, {"deadline": 5.0}),
        (
            {"returning": True, "organisation": "equal", "deadline": 8.0},
            {"organisation": "low", "deadline": 5.0},
        ),
        ({"organisation": "low"}, {"organisation": "high", "returning": True}),
    ],
)
def test_places_go_by_urgency_share_and_deadline(first, second):
    received = {"low": 1.1, "equal": 1.12, "high": 4.0}
    for turned in (False, True):
        waiting = queue(received=received)
        offers = [ticket("first", **first), ticket("second", **second)]
        for each in reversed(offers) if turned else offers:
            waiting.offer(each, 0.0)
        assert waiting.next(0.0).digest == "first"
        assert waiting.next(0.0).digest == "second"
        assert waiting.next(0.0) is None


@pytest.mark.parametrize("urgencies, least", [((0, 2), 2), ((0, 1, 2), 1)])
def test_no_urgency_is_starved(urgencies, least):
    """Guards against urgent requests that take all places."""
    waiting = queue()
    got = []
    for number in range(96):
        for urgency in urgencies:
            waiting.offer(ticket(urgency=urgency, deadline=number), 0.0)
        got.append(waiting.next(0.0).urgency)
    for start in range(1, len(got) - 10):
        assert 2 in got[start : start + 4]
        assert least in got[start : start + 10]
    assert got.count(0) >= 0.6 * len(got)


def test_a_ticket_that_cannot_use_a_place_does_not_hold_up_others():
    waiting = queue()
    for name, urgency in (("long", 0), ("short", 1)):
        waiting.offer(ticket(name, urgency=urgency), 0.0)
    got = waiting.next(0.0, lambda each: each.digest == "short")
    assert got.digest == "short"
    assert [each.digest for each in waiting.tickets] == ["long"]


def test_a_full_queue_drops_the_least_urgent_of_the_greatest_share():
    waiting = queue(received={"high": 5.0}, max_tickets=3)
    for name, urgency, organisation in (
        ("a", 0, "high"),
        ("b", 2, "o"),
        ("c", 2, "high"),
    ):
        waiting.offer(
            ticket(name, urgency=urgency, organisation=organisation), 0.0
        )
    assert waiting.offer(ticket("d", urgency=1), 0.0).displaced.digest == "c"
    last = waiting.offer(ticket("e", urgency=2, organisation="high"), 0.0)
    assert last.outcome is Outcome.FULL
    assert len(waiting.tickets) == 3


@pytest.mark.parametrize(
    "wait, ahead, late",
    # With the wait unknown, or as the first in the queue, nothing is refused.
    [(None, 5, False), (4.0, 0, False), (0.5, 5, False), (0.7, 5, True)],
)
def test_only_what_cannot_be_in_time_is_refused_at_once(wait, ahead, late):
    waiting = queue(wait)
    for _ in range(ahead):
        waiting.offer(ticket(deadline=1.0, until=9.0), 0.0)
    got = waiting.offer(ticket(until=3.0), 0.0)
    assert isinstance(got, tickets.Rejected) == late
    if late:
        assert got.outcome is Outcome.TOO_LATE
        assert got.wait_seconds == pytest.approx(0.7 * 6)


def test_least_urgent_requests_are_not_refused_for_all_that_are_ahead():
    """Guards against a wait that ignores the places kept for them."""
    waiting = queue(0.1)
    for _ in range(60):
        waiting.offer(ticket(until=9.0), 0.0)
    for urgency in (2, 1):
        got = waiting.offer(ticket(urgency=urgency), 0.0)
        assert isinstance(got, tickets.Queued)


def test_a_waiting_request_is_refused_once_its_wait_does_not_fit():
    waits = {"wait": 0.1}
    waiting = queues.AdmissionQueue(
        expected_wait=lambda ahead, now: waits["wait"] * (ahead + 1)
    )
    for number in range(10):
        waiting.offer(ticket(str(number), deadline=number), 0.0)
    assert not waiting.late(0.5)
    waits["wait"] = 0.5
    assert {each.digest for each in waiting.late(0.5)} == set("56789")


@pytest.mark.parametrize(
    "ended, in_use, routers, wait",
    [
        (2, 10, 1, None),
        (20, 1, 1, 0.36),
        # Servers that run nothing may have failed.
        (20, 0, 1, None),
        # A router that had few requests goes by what the servers run.
        (4, 100, 1, 0.01),
        (4, 100, 10, 0.1),
    ],
)
def test_expected_wait_follows_the_faster_estimate(
    ended, in_use, routers, wait
):
    rate = release_rates.ReleaseRate()
    for _ in range(ended):
        rate.note_released(1.0, 0.0)
    got = rate.expected_wait(0, 0.0, in_use=in_use, routers=routers)
    assert got == (wait and pytest.approx(wait, rel=0.1))
    # Attempts that ended long ago don't count.
    assert rate.expected_wait(0, 60.0, in_use=in_use) is None


def test_retry_times_are_spread_by_a_quarter():
    random.seed(1)
    got = [router_responses.place_retry_seconds(2.0) for _ in range(400)]
    assert 1.5 <= min(got) < 1.6 and 2.4 < max(got) <= 2.5
    assert router_responses.place_retry_seconds(0.0) > 0


@pytest.mark.parametrize("free, routers", [(1, 29), (2, 29), (5, 4), (8, 2)])
def test_routers_share_a_free_place(free, routers):
    """Guards against a place that all routers give out."""
    random.seed(2)
    place = tickets.Place(server="a", free=free)
    taken = []
    for _ in range(300):
        shares = [place_shares.PlaceShares() for _ in range(routers)]
        taken.append(
            sum(
                each.take(place, routers, 0.0)
                for each in shares
                for _ in range(free)
            )
        )
    assert statistics.mean(taken) == pytest.approx(free, rel=0.15)


def test_a_part_is_drawn_again_only_after_news_or_a_tick():
    shares = place_shares.PlaceShares(draw=lambda: draws.pop())
    draws = [0.1, 0.1, 0.9, 0.9]
    place = tickets.Place(server="a", free=1, reported_at=1.0)
    newer = tickets.Place(server="a", free=1, reported_at=1.1)
    assert [
        shares.take(place, 2, 1.0),
        shares.take(place, 2, 1.05),
        shares.take(newer, 2, 1.06),
        shares.take(newer, 2, 1.07),
        shares.take(newer, 2, 1.2),
    ] == [False, False, False, False, True]
    shares.expire(9.0)
    assert shares.take(newer, 2, 9.0)
    assert not draws


def test_a_silent_peers_waiting_count_expires():
    peers = place_shares.PeerQueues()
    peers.set("a", {"s": 3}, 0.0)
    peers.set("b", {"other": 3}, 0.0)
    assert (peers.routers("s", 2.9), peers.routers("s", 3.1)) == (1, 0)
    peers.set("a", {}, 3.2)
    assert not peers.routers("s", 3.2)


def test_refused_requests_are_kept_for_a_time_and_within_bounds():
    known = returning_clients.ReturningClients()
    for number in range(1200):
        known.note_refused(str(number), 1.0, 2.0)
    assert len(known.refused) == 1000
    told = known.take_report(2.0)
    assert (len(told), told["1199"]) == (50, 1000)
    assert not known.take_report(2.0)
    other = returning_clients.ReturningClients()
    other.merge(told, 3.0)
    assert other.first_arrival("1199", 12.9) == 2.0
    assert other.first_arrival("1199", 13.1) is None
    other.expire(13.1)
    assert not other.refused


def test_a_burst_within_the_waits_is_served_whole():
    """Guards against refusals of requests that would be in time.

    The router had few requests before, so its own rate says little.
    """

    async def run():
        world = World({"a": 5, "b": 5})
        calm = [world.request(("calm", n), at=n) for n in range(4)]
        burst = [world.request(n, at=4.05) for n in range(90)]
        got = await world.run(calm + burst)
        assert set(got) == {Outcome.PLACE}
        assert now() < 5.2

    play(run())


def test_three_times_the_capacity_goes_by_urgency_and_share():
    """Guards against idle places, starved requests and wrong times."""

    async def run():
        received = collections.Counter()
        world = World(
            {"a": 5, "b": 5},
            received=lambda service, organisation, now: received[organisation],
        )

        async def request(number):
            urgency = number % 3
            organisation = "small" if number // 3 % 10 == 0 else "large"
            label = (urgency, organisation, number)
            outcome = await world.request(
                label,
                at=number / 60,
                seconds=0.5,
                patience=2.0,
                urgency=urgency,
                organisation=organisation,
            )
            received[organisation] += outcome is Outcome.PLACE

        await world.run([request(number) for number in range(600)])
        served = collections.Counter(each[0] for each in world.order)
        # Capacity for 20 requests a second, for 10 s and the waits after it.
        assert len(world.order) >= 195
        assert served[0] > 2 * served[1]
        assert served[2] >= 0.22 * len(world.order)
        small = sum(each[1] == "small" for each in world.order)
        assert small >= 0.95 * 60
        late = [each for each in world.refused.values() if each[1] > 2]
        assert late and all(0 < wait < 16 for _, _, wait in late)

    play(run())


def test_the_expected_wait_is_near_the_time_at_which_a_place_is_free():
    async def run():
        world = World({"a": 10})
        load = [
            world.request(n, at=n / 100, seconds=0.5, patience=1.0)
            for n in range(400)
        ]
        await world.run(load)
        waits = [wait for _, at, wait in world.refused.values() if 1 < at < 3]
        # Places become free at 20 a second, and 20 to 25 requests wait.
        assert 0.8 < statistics.mean(waits) < 1.5

    play(run())


@pytest.mark.parametrize("reported", [False, True])
def test_a_returning_client_goes_first(reported):
    """Also if another router refused it."""

    async def run():
        world = World({"a": 1})
        refused = world.ticket(digest="d")
        if reported:
            other = World({})
            other.gate.refuse(refused, now())
            told = report()
            other.gate.fill(told, now())
            world.gate.merge("other", told, now())
        else:
            world.gate.refuse(refused, now())
        first = world.gate.returning.first_arrival("d", now())
        assert first == 0.0
        await world.run(
            [
                world.request("running"),
                *(world.request(n) for n in range(3)),
                world.request("back", at=0.05, digest="d", returning=True),
            ]
        )
        assert world.order[:2] == ["running", "back"]
        assert world.gate.returning.first_arrival("d", now()) is None

    play(run())


def test_a_drain_empties_the_queue_at_once():
    async def run():
        world = World({"a": 1})
        waiting = [
            asyncio.ensure_future(world.request(n, seconds=0.5))
            for n in range(5)
        ]
        await asyncio.sleep(0.1)
        world.gate.drain()
        await asyncio.sleep(0)
        assert world.gate.gauges(now())["waiting_requests"] == 0
        got = await asyncio.gather(*waiting)
        assert got == [Outcome.PLACE] + 4 * [Outcome.DRAINING]
        assert now() == pytest.approx(0.5)
        # Requests that need not wait are still served.
        assert await world.request("later") is Outcome.PLACE
        world.busy["a"] = 1
        assert await world.request("last") is Outcome.DRAINING

    play(run())


def test_a_client_that_disconnects_leaves_the_queue():
    async def run():
        world = World({"a": 1})
        tasks = [
            asyncio.ensure_future(world.request(n, seconds=0.5))
            for n in range(3)
        ]
        await asyncio.sleep(0.1)
        tasks[1].cancel()
        await asyncio.sleep(0)
        assert world.gate.gauges(now())["waiting_requests"] == 1
        await tasks[2]
        assert world.order == [0, 2]

    play(run())


@pytest.mark.parametrize("back", [False, True])
def test_requests_wait_while_their_only_server_is_down(back):
    """Guards against refusals by the rate of a server that has died."""

    async def run():
        world = World({"a": 10})
        await world.run([world.request(n) for n in range(10)])
        del world.slots["a"]

        async def restart():
            await asyncio.sleep(0.5)
            if back:
                world.slots["b"] = 10
                world.gate.notify(admission_world.SERVICE, now())

        began = now()
        got = await world.run(
            [restart(), *(world.request(n) for n in range(10))], until=20
        )
        expected = Outcome.PLACE if back else Outcome.TOO_LATE
        assert set(got[1:]) == {expected}
        assert now() - began == pytest.approx(0.6 if back else 1.0, abs=0.01)

    play(run())


@pytest.mark.parametrize("fields", [{"hopeless": True}, {"blocked": 5.0}])
def test_a_request_without_hope_does_not_wait(fields):
    async def run():
        world = World({})
        finder = admission_world.Finder(world=world)
        ticks = asyncio.ensure_future(world.tick(5.0))
        waiting = asyncio.ensure_future(world.gate.wait(world.ticket(), finder))
        await asyncio.sleep(0.25)
        for name, value in fields.items():
            setattr(finder, name, value)
        assert await waiting is Outcome.TOO_LATE
        assert now() < 0.5
        ticks.cancel()

    play(run())


@pytest.mark.parametrize("name", ["find", "is_hopeless"])
def test_a_request_that_cannot_be_evaluated_holds_up_no_other(name):
    """Guards against an error that ends the router's periodic work."""

    async def run():
        world = World({"a": 1})
        finder = admission_world.Finder(world=world)
        running = asyncio.ensure_future(world.request("running", seconds=0.5))
        await asyncio.sleep(0.01)
        broken = asyncio.ensure_future(world.gate.wait(world.ticket(), finder))
        await asyncio.sleep(0.01)
        setattr(finder, name, None)
        await world.run([running, world.request("next")], until=2.0)
        assert world.order == ["running", "next"]
        with pytest.raises(TypeError):
            await broken

    play(run())


def test_ticks_make_up_for_lost_reports():
    """Guards against requests that wait though places are free."""

    async def run():
        world = World({"a": 1})
        world.notifies = False
        got = await world.run(
            [world.request(n, seconds=0.05) for n in range(5)]
        )
        assert set(got) == {Outcome.PLACE}
        assert now() < 0.6

    play(run())


def test_a_request_takes_a_place_left_to_others_before_it_is_refused():
    async def run():
        world = World({"a": 1}, draw=lambda: 0.99)
        told = report(waiting={admission_world.SERVICE: 9})
        world.gate.merge("peer", told, now())
        got = await world.run([world.request(0)])
        assert got == [Outcome.PLACE]
        assert now() == pytest.approx(1.1)

    play(run())


def test_queues_are_bounded_per_process():
    async def run():
        world = World({}, max_waiting=6, max_tickets=4)
        got = await world.run(
            [
                world.request((service, n), service=service)
                for service in ("s", "t")
                for n in range(5)
            ]
        )
        assert collections.Counter(got) == {
            Outcome.FULL: 4,
            Outcome.TOO_LATE: 6,
        }

    play(run())
