"""Tests of the estimated speeds and limits of servers, in virtual time."""

import asyncio
import itertools
import types

import attrs
import msgspec
import pytest

from benches import speed_ways
from pimentoledge.routing import backends
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import client_responses
from pimentoledge.routing import clocks
from pimentoledge.routing import configurations
from pimentoledge.routing import load_controls
from pimentoledge.routing import peer_messages
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import selections
from pimentoledge.routing import stream_relays
from pimentoledge.routing import wait_estimates
from pimentoledge.routing.fair_shares import standings
from pimentoledge.routing.server_speeds import concurrency_limits
from pimentoledge.routing.server_speeds import observations
from pimentoledge.routing.server_speeds import paces
from pimentoledge.routing.server_speeds import slowdowns
from pimentoledge.routing.server_speeds import speed_metrics
from pimentoledge.routing.server_speeds import speed_reports
from pimentoledge.routing.server_speeds import speeds

USUAL_SECONDS = 0.04
SPEEDS = wait_estimates.Speeds(
    base_seconds=0.1, token_seconds=3e-5, per_server=True
)


def pace():
    found = paces.ServicePace()
    for _ in range(200):
        found.note_gap(USUAL_SECONDS, 8)
    return found


def observe(speed, ratio, since, until, running=8):
    """Adds events of some streams, spaced by 10 ms.

    Three in four are of the service's other servers, which are of usual speed.
    """
    others = itertools.cycle(
        [speeds.ServerSpeed(pace=speed.pace) for _ in range(30)]
    )
    for step in range(int(100 * since), int(100 * until)):
        gap = ratio * USUAL_SECONDS
        speed.note_event_gap(gap, running, 64, step / 100)
        for _ in range(3):
            next(others).note_event_gap(USUAL_SECONDS, running, 64, step / 100)


def servers(count):
    found = backends.Backends()
    for number in range(count):
        backend = found.put(
            registrations.Registration(
                server=f"b{number}",
                service="s",
                address=f"b{number}",
                data_centre="d",
                slots=64,
                leaving=False,
                weights={"m": 1},
            )
        )
        backend.speed = speeds.ServerSpeed(pace=pace())
    return found.of_service("s")


def choose(candidates, now=10.0, **more):
    criteria = placements.Criteria(
        data_centre="d", model="m", speeds=SPEEDS, gap_objective=0.3
    )
    return placements.choose(
        candidates=candidates, criteria=attrs.evolve(criteria, **more), now=now
    )


class TestEstimates:
    """The factors by which a server differs from its service's mean."""

    def test_a_report_counts_at_once_and_fades(self):
        """Guards against requests that are sent to a VM that became slow."""
        speed = speeds.ServerSpeed(pace=pace())
        speed.note_report(2.0, 10.0)
        assert speed.step_factor(10.0) == speed.prefill_factor(10.0) == 2.0
        assert speed.step_factor(40.0) == pytest.approx(1.0, abs=0.05)

    @pytest.mark.parametrize("reports", [None, 0.3, 1.0, 9.0])
    @pytest.mark.parametrize("ratio", [0.5, 1.0, 3.0])
    def test_observation_corrects_what_a_server_reports(self, reports, ratio):
        """Guards against servers that report nothing, or always the same."""
        speed = speeds.ServerSpeed(pace=pace())
        for second in range(4):
            if reports is not None:
                speed.note_report(reports, second)
            observe(speed, ratio, second, second + 1)
        assert speed.step_factor(4.0) == pytest.approx(ratio, rel=0.3)
        assert speed.prefill_factor(4.0) == pytest.approx(ratio, rel=0.3)

    @pytest.mark.parametrize("reports", [0.0, 0.001, 50.0, 1e9, float("nan")])
    def test_a_false_report_moves_the_estimate_by_a_factor_of_four(
        self, reports
    ):
        """Guards against a server that attracts all requests by a report."""
        speed = speeds.ServerSpeed(pace=pace())
        speed.note_report(1.0, 0.0)
        observe(speed, 1.0, 0, 2)
        for late in range(10):
            speed.note_report(reports, 2 + late / 100)
        most = 1.1 * speeds.MAX_REPORT_FACTOR
        assert 1 / most <= speed.step_factor(2.1) <= most

    @pytest.mark.parametrize(("before", "after"), [(1.0, 3.0), (3.0, 1.0)])
    def test_a_change_is_followed_in_two_seconds(self, before, after):
        """Guards against estimates that are right too late."""
        speed = speeds.ServerSpeed(pace=pace())
        observe(speed, before, 0, 4)
        observe(speed, after, 4, 6)
        factor = speed.step_factor(6.0)
        assert 0.7 * after < factor < 1.5 * after

    @pytest.mark.parametrize("interval", [1, 5])
    def test_a_change_that_is_not_reported_is_followed(self, interval):
        """Guards against observations that count too little at reports."""
        speed = speeds.ServerSpeed(pace=pace())
        for step in range(60):
            since = step / 10
            if not step % interval:
                speed.note_report(1.0, since)
            ratio = 3.0 if since >= 4 else 1.0
            observe(speed, ratio, since, since + 0.1)
        assert 0.7 * 3 < speed.step_factor(6.0) < 1.5 * 3

    @pytest.mark.parametrize(
        ("first", "ratios"),
        [(3.0, [3.0] + 7 * [1.0]), (0.5, 8 * [1.0]), (1.0, 8 * [2.0])],
    )
    def test_the_line_has_the_level_of_the_mean_server(self, first, ratios):
        """Guards against a line that stays at the level of its first events."""
        line = paces.ServicePace()
        found = [speeds.ServerSpeed(pace=line) for _ in ratios]
        for _ in range(200):
            line.note_gap(first * USUAL_SECONDS, 8)
        for step in range(300):
            for each, ratio in zip(found, ratios, strict=True):
                gap = ratio * USUAL_SECONDS
                each.note_event_gap(gap, 8, 64, step / 20)
        mean = USUAL_SECONDS * sum(ratios) / len(ratios)
        assert line.gap_seconds(8) == pytest.approx(mean, rel=0.15)

    def test_reports_out_of_order_are_ignored(self):
        """Guards against an older figure in place of the present one."""
        reported = slowdowns.ReportedSlowdown()
        reported.note(3.0, 5.0)
        reported.note(1.0, 4.9)
        assert reported.value(5.0) == 3.0

    def test_others_observations_count_expire_and_are_forgotten(self):
        """Guards against speeds of a router that was cut off or killed."""
        own, other = (speeds.ServerSpeed(pace=pace()) for _ in range(2))
        observe(other, 3.0, 0, 3)
        own.merge("r", other.summary(3.0), 3.0)
        assert own.step_factor(3.0) > 2.0
        late = 3.1 + observations.EXPIRY_SECONDS
        assert own.step_factor(late) == 1.0
        own.merge("r", other.summary(3.0), late)
        own.forget("r")
        assert own.step_factor(late + 1) == 1.0

    @pytest.mark.parametrize("odd", [(), (1,), (5, -9, -5, 10**9, 0), (0,) * 6])
    def test_odd_summaries_do_no_harm(self, odd):
        """Guards against summaries of builds that this one doesn't know."""
        speed = speeds.ServerSpeed(pace=pace())
        speed.merge("r", odd, 1.0)
        assert 0.2 <= speed.step_factor(1.0) <= 5.0

    def test_a_summary_takes_at_most_twelve_bytes(self):
        """Guards against reports that fill a router's link."""
        speed = speeds.ServerSpeed(pace=pace())
        speed.note_report(20.0, 0.0)
        observe(speed, 90.0, 0, 30)
        for _ in range(100):
            speed.note_first_event(9.0, 0.1, 30.0)
        assert len(msgspec.msgpack.encode(speed.summary(30.0))) <= 12

    def test_the_line_over_running_requests_is_learned(self):
        """Guards against fixed times of a step."""
        found = paces.ServicePace()
        for number in range(4000):
            running = 5 + number % 20
            found.note_gap(7 * (0.00347 + 0.00016 * running), running)
        assert found.gap_seconds(0) == pytest.approx(7 * 0.00347, rel=0.05)
        assert found.gap_seconds(40) == pytest.approx(7 * 0.00987, rel=0.05)
        found.note_stream(42, 300)
        assert found.expected_events(300) == pytest.approx(42, rel=0.03)


class TestLimits:
    """How many requests a server takes well."""

    def line(self):
        found = paces.ServicePace()
        for number in range(4000):
            found.note_gap(0.025 + 0.001 * (number % 20), number % 20)
        return found

    def settled(self, latency, requests, slots=64):
        """Returns the limit after requests that use all that it allows."""
        found = concurrency_limits.ConcurrencyLimit(pace=self.line())
        for number in range(6000):
            wanted = min(requests, 4 + number / 100)
            running = min(wanted, found.limit(slots, number / 20))
            found.note(latency(running), running, slots, number / 20)
        return found.limit(slots, number / 20)

    def test_a_server_that_slows_down_early_gets_a_lower_limit(self):
        """Guards against servers that are filled beyond what they take."""

        def early(running):
            return (0.025 + 0.001 * running) * max(1, running / 21) ** 3

        assert 18 <= self.settled(early, 64) <= 32

    @pytest.mark.parametrize("requests", [6, 60])
    def test_a_server_that_shares_its_steps_keeps_its_slots(self, requests):
        """Guards against limits below what a server takes well."""
        assert self.settled(lambda n: 0.025 + 0.001 * n, requests) == 64

    def test_the_limit_stays_within_its_bounds_and_recovers(self):
        """Guards against a server that is closed by one bad time."""
        found = concurrency_limits.ConcurrencyLimit(pace=self.line())
        for number in range(3000):
            bad = 500 < number < 1000
            found.note(9.0 if bad else 0.03, 12, 64, number / 20)
            if number == 999:
                limit = found.limit(64, number / 20)
                assert concurrency_limits.MIN_LIMIT <= limit < 12
        assert found.limit(64, number / 20) == 64

    @pytest.mark.parametrize(("running", "least"), [(2, 64), (20, 57)])
    def test_one_stall_lowers_a_limit_by_one_step_at_most(self, running, least):
        """Guards against a limit that one stall takes to its minimum."""
        found = concurrency_limits.ConcurrencyLimit(pace=self.line())
        for number in range(100):
            stalls = 80 <= number < 84
            usual = 0.025 + 0.001 * running
            found.note(5.0 if stalls else usual, running, 64, number / 20)
            assert found.limit(64, number / 20) >= least

    @pytest.mark.parametrize(("slowdown", "most"), [(2.0, 6.0), (3.0, 12.0)])
    def test_a_lasting_slowdown_lowers_a_limit_briefly(self, slowdown, most):
        """Guards against a low limit at a server that is slow, not full."""
        found = concurrency_limits.ConcurrencyLimit(pace=self.line())
        low = 0
        for number in range(1200):
            now = number / 20
            running = min(20, found.limit(64, now))
            gap = 0.025 + 0.001 * running
            slow = slowdown if number >= 400 else 1.0
            found.note(slow * gap, running, 64, now)
            low += found.limit(64, now) < 20
        assert low / 20 < most
        assert found.limit(64, now) == 64

    @pytest.mark.parametrize("reports", [0.1, 20.0])
    def test_a_false_report_lowers_no_limit(self, reports):
        """Guards against reports that take a limit to its minimum."""
        speed = speeds.ServerSpeed(pace=self.line())
        for step in range(1600):
            now = step / 40
            false = 400 <= step < 1000
            if not step % 4:
                speed.note_report(reports if false else 1.0, now)
            speed.note_event_gap(0.045, 20, 64, now)
            assert speed.limit(64, now) == 64

    def test_a_limit_rises_without_events(self):
        """Guards against a server that gets no request for want of events."""
        found = concurrency_limits.ConcurrencyLimit(pace=self.line())
        for number in range(400):
            found.note(0.03 if number < 40 else 9.0, 12, 64, number / 20)
        assert found.limit(64, 20.0) <= 5
        assert found.limit(64, 30.0) == pytest.approx(9.4, rel=0.15)
        assert found.limit(64, 60.0) == 64

    @pytest.mark.parametrize(
        ("limit", "busy", "fields", "short"),
        [
            (None, 50, {}, True),
            (None, 50, {"urgent": True}, False),
            # 0.7 of the limit for less urgent requests, all for the others.
            (60.0, 41, {}, False),
            (60.0, 42, {}, True),
            (60.0, 59, {"urgent": True}, False),
            (60.0, 60, {"urgent": True}, True),
            (30.0, 30, {"urgent": True}, True),
            # A starved request competes with the most urgent ones.
            (60.0, 59, {"starved": True}, False),
            (60.0, 60, {"starved": True}, True),
            (60.0, 54, {"scarce": True, "preferred": True}, False),
            (60.0, 55, {"scarce": True, "preferred": True}, True),
            (
                60.0,
                34,
                {"scarce": True, "standing": standings.Standing.ABOVE},
                False,
            ),
            (
                60.0,
                35,
                {"scarce": True, "standing": standings.Standing.ABOVE},
                True,
            ),
            (4.0, 0, {}, False),
        ],
    )
    def test_a_limit_replaces_the_slots_of_which_each_urgency_has_a_share(
        self, limit, busy, fields, short
    ):
        """Guards against less urgent requests up to the limit, or any beyond.

        An idle runner admits a request in any case.
        """
        found = capacity_checks.shortage(
            64,
            capacity_checks.Demand(
                **{"urgent": False} | fields,
                mean_tokens=0,
                memory=None,
                objective_seconds=1.0,
            ),
            busy=busy,
            first_seconds=0.1,
            wait_seconds=0.0,
            limit=limit,
        )
        assert (found is capacity_checks.Shortage.SLOTS) is short


class TestChoices:
    """Choices of a server by its speed."""

    def test_equal_servers_share_the_requests_of_many_routers(self):
        """Guards against all routers sending to the same server."""
        found = servers(8)
        chosen = [choose(found, 1.0).backend for _ in range(400)]
        assert max(map(chosen.count, found)) < 2 * 400 / 8

    def test_streams_avoid_a_slow_server_until_others_are_busier(self):
        """Guards against long streams at a server with long gaps."""
        slow, fast = servers(2)
        for second in range(4):
            observe(slow.speed, 2.5, second, second + 1)
        fast.open = 3
        slow.speed.received_at = fast.speed.received_at = 4.0
        criteria = {"now": 4.0, "events": 42, "unshared": 600}
        assert choose([slow, fast], **criteria).backend is fast
        fast.open = 60
        assert choose([slow, fast], **criteria).backend is slow

    @pytest.mark.parametrize("ratio", [0.05, 1.0, 20.0])
    @pytest.mark.parametrize("base", [0.0, 0.1])
    def test_a_server_is_chosen_at_any_speed(self, ratio, base):
        """Guards against an expected wait below zero, and a failed draw."""
        found = servers(2)
        for each in found:
            each.speed.note_report(ratio, 0.0)
            observe(each.speed, ratio, 0, 2)
        assert choose(
            found, 2.0, speeds=attrs.evolve(SPEEDS, base_seconds=base)
        )
        wait = wait_estimates.expected_wait(
            found[0], wait_estimates.PromptWork(), SPEEDS, 2.0
        )
        assert wait.seconds >= 0.0

    @pytest.mark.parametrize("members", [1, 30])
    def test_a_slow_server_gets_a_request_in_two_seconds(self, members):
        """Guards against servers whose recovery is never noticed."""
        slow, fast = servers(2)
        fast.open = 2
        last, longest = 100.0, 0.0
        for step in range(1000):
            now = 100 + step / 50
            slow.speed.note_report(4.0, now)
            for _ in range(members):
                if choose(
                    [slow, fast], now, events=42, members=members
                ).backend is (slow):
                    longest, last = max(longest, now - last), now
        assert last > 115 and longest <= placements.PROBE_UNTIL_SECONDS + 0.1

    def probes(self, change=lambda slow: None, members=30, **more):
        """Returns how many of 3,000 requests go to a server that is overdue."""
        slow, fast = servers(2)
        fast.open = 2
        slow.speed.received_at = fast.speed.received_at = 1.0
        slow.speed.note_report(4.0, 10.0)
        change(slow)
        more = {"events": 42, "members": members} | more
        chosen = [
            choose([slow, fast], 10.0, **more).backend for _ in range(3000)
        ]
        return chosen.count(slow)

    def test_about_one_router_sends_to_an_overdue_server(self):
        """Guards against bursts of all routers at a slow server."""
        assert 50 <= self.probes() <= 170

    def test_no_request_goes_to_a_server_that_fails_or_is_late(self):
        """Guards against callers that are sent to a known bad server."""

        def fails(slow):
            slow.note_request_failure(10.0)

        demand = capacity_checks.Demand(
            urgent=True, mean_tokens=0, memory=None, objective_seconds=0.38
        )
        assert not self.probes(fails)
        assert not self.probes(demand=demand)
        assert self.probes(demand=attrs.evolve(demand, objective_seconds=1.0))

    def test_requests_that_may_not_probe_go_to_the_best(self):
        """Guards against unsafe calls and resumed streams at a slow server."""
        assert not self.probes(may_probe=False)

    @pytest.mark.parametrize(
        ("kind", "resume_after", "software", "may"),
        [
            (configurations.Repeatability.STREAM, None, None, True),
            (configurations.Repeatability.SAFE, None, None, True),
            (configurations.Repeatability.UNSAFE, None, None, False),
            (configurations.Repeatability.STREAM, 3, None, False),
            (configurations.Repeatability.STREAM, None, "1", False),
        ],
    )
    def test_unsafe_calls_and_resumed_streams_do_not_probe(
        self, monkeypatch, kind, resume_after, software, may
    ):
        """Guards against calls that can't be repeated at a slow server."""
        world = speed_ways.World(
            name="slow", reports="true", way="both", servers=2, routers=1
        )
        request = request_types.ClientRequest(
            request="1",
            method=b"POST",
            host="h",
            target=b"/",
            path="/",
            key=None,
            wait_seconds=12.0,
            model=speed_ways.MODEL,
            prompt_tokens=600,
            answer_tokens=300,
            parts=(),
            resume_after=resume_after,
            passed_on=[],
            body=b"",
            arrived=1.0,
        )
        found = []

        def record(*, candidates, criteria, now):
            found.append(criteria.may_probe)
            return placements.NoCapacity(shortage={})

        monkeypatch.setattr(placements, "choose", record)
        selections.select(
            view=world.routers["tcp://r0"].view,
            client_request=request,
            route=attrs.evolve(speed_ways.ROUTES["short"], kind=kind),
            organisation=None,
            without=set(),
            now=1.0,
            software=software,
        )
        assert found and set(found) == {may}

    def test_without_load_control_speeds_change_nothing(self):
        """Guards against other decisions on the earlier deployments."""
        slow, fast = servers(2)
        for second in range(4):
            observe(slow.speed, 4.0, second, second + 1)
        fast.open = 1
        off = attrs.evolve(SPEEDS, per_server=False)
        found = choose([slow, fast], 4.0, speeds=off, events=42)
        assert found.backend is slow


class Client:
    """A client's connection that reads when the test says so."""

    def __init__(self):
        self.closes = False
        self.reads = asyncio.Event()
        self.reads.set()

    def send(self, data):
        """Drops the data."""

    def is_writable(self):
        """Returns whether the client reads."""
        return self.reads.is_set()

    async def drained(self):
        """Waits until the client reads."""
        await self.reads.wait()


class TestRelays:
    """Gaps of streams that count for a server's speed."""

    async def relay(self, answer, *waits):
        """Relays one event after each time, and returns the noted gaps.

        A time below zero stands for its absolute value, and the client reads
        nothing from that event to the next.
        """
        noted, ended = [], asyncio.Event()

        async def next_chunk():
            await ended.wait()

        connection = types.SimpleNamespace(
            relay=None, holder=None, pause=lambda: None, resume=lambda: None
        )
        attempt = types.SimpleNamespace(
            connection=connection,
            next_chunk=next_chunk,
            backend=types.SimpleNamespace(
                note_event_gap=lambda gap: None,
                note_paced_gap=lambda gap, now: noted.append(round(gap, 3)),
            ),
        )
        running = asyncio.create_task(
            stream_relays.StreamRelay(
                attempt=attempt,
                response=None,
                answer=answer,
                framed=True,
                observes_speed=True,
                on_first=lambda: None,
                on_event=lambda: None,
                on_proved=lambda: None,
            ).run()
        )
        await asyncio.sleep(0)
        for wait in waits:
            self.now += abs(wait)
            answer.client.reads.set()
            await asyncio.sleep(0)
            if wait < 0:
                answer.client.reads.clear()
            connection.relay(b"data: x\n\n")
        answer.client.reads.set()
        ended.set()
        await running
        return noted

    def test_gaps_that_others_cause_do_not_count(self, monkeypatch):
        """Guards against servers that count as slow for clients or failures."""
        self.now = 100.0
        monkeypatch.setattr(clocks, "now", lambda: self.now)

        async def run():
            answer = client_responses.ClientResponse(client=Client())
            answer.head_sent = True
            first = await self.relay(answer, 0.1, 0.04, -0.04, 3.0, 0.04)
            return first, await self.relay(answer, 2.0, 0.04)

        first, resumed = asyncio.run(run())
        assert first == [0.04, 0.04, 0.04]
        assert resumed == [0.04]


class TestRouters:
    """Routers that exchange what they know, and servers that differ."""

    def world(self, **more):
        return speed_ways.World(
            **{"name": "slow", "reports": "true", "way": "both"} | more
        )

    @pytest.mark.parametrize(("said", "counts"), [(3.0, 3.0), (1e30, 4.0)])
    def test_a_forwarded_slowdown_turns_load_control_on(self, said, counts):
        """Guards against routers that decide by different rules.

        A figure too large for a message must not end the load reports.
        """
        world = self.world(servers=2, routers=2, way="before")
        near, far = world.routers.values()
        for each in (near, far):
            each.view.load_control.mode = load_controls.Mode.AUTO
        backend = near.view.servers.by_server["b0"]
        load = request_types.ServerLoad(
            running=1, waiting=0, slots=64, slowdown=said
        )
        backend.update_load(load, 1.0)
        world.now = 1.1
        near.reports.tick(1.1)
        assert far.view.load_control.applies(speed_ways.SERVICE)
        there = far.view.servers.by_server["b0"].speed
        assert there.step_factor(1.1) == counts
        gauges = speed_metrics.gauges(far.view, 1.1)
        assert len(gauges) == 6 and gauges["speed_factor_largest_s"] == counts

    def test_a_report_without_the_fields_changes_no_speed(self):
        """Guards against reports of builds that don't send speeds."""
        world = self.world(servers=2, routers=2)
        router = world.routers["tcp://r0"]
        report = peer_messages.LoadReport(
            has={}, said={"b0": (1, 0, 64, 5)}, prompts=[], means={}
        )
        router.reports.receive("tcp://r1", report, 1.0)
        backend = router.view.servers.by_server["b0"]
        assert backend.speed.reported.at is None

    def report(self, speeds_):
        return peer_messages.LoadReport(
            has={}, said={}, prompts=[], means={}, speeds=speeds_
        )

    def test_observations_that_are_not_reported_any_more_are_removed(self):
        """Guards against memory that grows with every sender and server."""
        router = self.world(servers=3, routers=2).routers["tcp://r0"]
        found = [each.speed for each in router.view.servers.of_service("s")]
        names = list(router.view.servers.by_incarnation)
        summary = (20, 300, 20, 300, 100)
        for reported in (names, names[:1], []):
            router.reports.receive(
                "tcp://r1", self.report(dict.fromkeys(reported, summary)), 1.0
            )
        assert [len(each.gaps.others) for each in found] == [1, 0, 0]
        found[0].step_factor(1.1 + observations.EXPIRY_SECONDS)
        assert not found[0].gaps.others and not found[0].firsts.others

    def test_a_report_counts_for_a_bounded_number_of_servers(self):
        """Guards against a router whose reports fill another's memory."""
        count = speed_reports.MAX_SERVERS + 5
        router = self.world(servers=count, routers=2).routers["tcp://r0"]
        names = router.view.servers.by_incarnation
        summary = (20, 300, 20, 300, 100)
        router.reports.receive(
            "tcp://r1", self.report(dict.fromkeys(names, summary)), 1.0
        )
        observed = [each for each in names.values() if each.speed.gaps.others]
        assert len(observed) == speed_reports.MAX_SERVERS

    def test_a_restarted_server_has_no_former_speed(self):
        """Guards against a new incarnation that counts as slow."""
        router = self.world(servers=1, routers=1).routers["tcp://r0"]
        backend = router.view.servers.by_server["b0"]
        backend.speed.note_report(4.0, 1.0)
        again = router.view.servers.put(
            attrs.evolve(backend.registration, born=7)
        )
        assert again is not backend and again.speed.step_factor(1.0) == 1.0
        assert again.speed.pace is router.view.servers.pace(speed_ways.SERVICE)

    @pytest.mark.parametrize(
        ("name", "reports"),
        [
            ("slow", "true"),
            ("slow", "none"),
            ("slow", "false"),
            ("slow", "late"),
            ("early", "true"),
        ],
    )
    def test_streams_are_in_time_though_servers_differ(self, name, reports):
        """Guards against late streams at slow servers, and idle servers."""
        world = self.world(name=name, reports=reports, servers=8, routers=3)
        if reports == "late":
            world.cut = {"tcp://r1"}
        world.run(15.0)
        assert world.late_share("short") < 0.05
        assert world.late_share("long") < 0.05
        assert world.busiest() <= 1.15
        waits = [
            later - earlier
            for each in world.servers
            for earlier, later in itertools.pairwise(each.received)
        ]
        assert max(waits) <= 2.5
