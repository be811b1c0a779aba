"""Until when requests may begin on weights that have been superseded."""

import asyncio
import time

import attrs
from hypothesis import given
from hypothesis import strategies
from returns import result

from pimentoledge.nodes import codecs
from pimentoledge.platform import stores
from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import counters
from pimentoledge.routing import hedged_calls
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import peers
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import rollouts
from pimentoledge.routing import selections
from pimentoledge.routing import server_connections
from pimentoledge.routing import view_updaters
from pimentoledge.routing import wait_estimates
from pimentoledge.routing import wanted_weights
from pimentoledge.routing import watchers
from pimentoledge.tests import router_world
from pimentoledge.tests import test_router_decisions

played = router_world.played
MODEL = router_world.MODEL
# Bound of the tests on the whole path.
WEIGHTS_SECONDS = 3.0


def registration(number, version):
    return registrations.Registration(
        server=f"r{number}",
        service="runners",
        address=f"10.0.0.{number}:80",
        data_centre="abc"[number % 3],
        slots=8,
        leaving=False,
        weights={MODEL: version},
    )


def believed_of(*versions):
    """Returns a router's beliefs of runners with these versions."""
    view = cluster_views.ClusterView(name="x", data_centre="a", born=0.0)
    for number, version in enumerate(versions):
        view.servers.put(registration(number, version))
    return view


class TestFurtherVersions:
    """Versions that are named before the one before is in place."""

    def allowed(self, view, server, now):
        backend = view.servers.by_server[server]
        return selections.weights_allow(view, MODEL, backend, now)

    def test_a_further_version_does_not_prolong_the_use_of_the_first(self):
        view = believed_of(1, 2)
        most = view.bounds.weights_seconds
        view.want(MODEL, 2, 100.0)
        view.want(MODEL, 3, 105.0)
        assert not self.allowed(view, "r0", 100.0 + most)
        assert self.allowed(view, "r1", 100.0 + most)
        assert not self.allowed(view, "r1", 105.0 + most)

    def test_a_version_heard_of_after_a_newer_one_counts_too(self):
        view = believed_of(1, 2)
        most = view.bounds.weights_seconds
        view.want(MODEL, 3, 105.0)
        view.want(MODEL, 2, 100.0)
        assert not self.allowed(view, "r0", 100.0 + most)
        assert self.allowed(view, "r1", 100.0 + most)

    def test_of_many_versions_none_is_used_past_its_own_bound(self):
        view = believed_of(1)
        most = view.bounds.weights_seconds
        for version in range(2, 40):
            view.want(MODEL, version, 100.0 + 0.1 * version)
        for version in range(1, 39):
            view.servers.put(registration(0, version))
            late = 100.0 + 0.1 * (version + 1) + most
            assert not self.allowed(view, "r0", late)

    def test_parts_of_the_first_are_not_fetched_once_runs_may_have_mixed(self):
        older = test_router_decisions.TestOlderWeights()
        view = older.view(saved=None)
        view.want("m", 3, 14.0)
        assert older.fetched(view, 14.1) is None

    def test_parts_saved_between_two_versions_are_not_fetched(self):
        older = test_router_decisions.TestOlderWeights()
        view = older.view(saved=12.0)
        view.want("m", 3, 14.0)
        assert older.fetched(view, 15.0) is None


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 20), strategies.floats(0, 50)),
        min_size=1,
        max_size=30,
    ),
    strategies.integers(0, 20),
)
def test_in_any_order_of_news_no_version_outlives_the_first_after_it(
    news, version
):
    named = [
        wanted_weights.Named(version=number, since=since)
        for number, since in news
    ]
    wanted = wanted_weights.WantedWeights(named[0])
    for each in named:
        wanted.take(each)
    later = [since for number, since in news if number > version]
    found = wanted.superseded(version)
    if not later:
        assert found is None
        return
    assert found <= min(later)
    if len({number for number, _ in news}) <= wanted_weights.MOST_EARLIER:
        assert found == min(later)


class TestStarts:
    """What a router takes that has just started, and heard nobody."""

    BOUND = 12.0

    def started(self):
        """Returns what a router with long bounds believes at its start."""
        now = clocks.now()
        view = cluster_views.ClusterView(name="x", data_centre="a", born=now)
        view.bounds = attrs.evolve(view.bounds, weights_seconds=self.BOUND)
        view.servers.put(registration(0, 1))
        return view

    def taken(self, view):
        return view_updaters.ViewUpdater(
            view=view,
            lines=log_lines.Lines(counters=counters.Counters()),
        )

    def list_second(self, view):
        value = {"model": MODEL, "version": 2}
        stored = registrations.Stored(name=MODEL, revision=2, value=value)
        self.taken(view).apply_weights([stored], [])

    def test_weights_of_unknown_age_are_over_soon_after_the_start(self):
        """Half of a long bound was added to all that had passed before."""
        view = self.started()
        self.list_second(view)
        until = view.begins_until(MODEL, 1)
        # From then on the users' rules bind a router that has started.
        assert until <= view.born + 3.0

    def test_another_router_s_word_goes_before_the_guess_of_a_start(self):
        """Runners were shut out though their weights were still in time."""
        view = self.started()
        self.list_second(view)
        view.want(MODEL, 2, view.born - 1.0)
        assert view.begins_until(MODEL, 1) == view.born + 11.0

    def test_the_guess_of_a_start_does_not_go_before_another_router_s_word(
        self,
    ):
        """One router that started shut runners out at all others."""
        view = self.started()
        view.want(MODEL, 2, view.born - 1.0)
        view.want(
            MODEL,
            2,
            view.born - 9.0,
            source=wanted_weights.Source.GUESSED,
        )
        assert view.begins_until(MODEL, 1) == view.born + 11.0

    def test_the_guess_of_a_start_does_not_go_before_a_bound_that_is_known(
        self,
    ):
        view = self.started()
        for since, source in (
            (-1.0, wanted_weights.Source.NOT_BEFORE),
            (-9.0, wanted_weights.Source.GUESSED),
        ):
            view.want(MODEL, 2, view.born + since, source=source)
        assert view.begins_until(MODEL, 1) == view.born + 11.0

    def test_of_two_times_before_which_it_was_not_named_the_later_holds(self):
        """Runners were shut out by the one who had looked longest ago."""
        view = self.started()
        for since in (-8.0, -1.0, -5.0):
            view.want(
                MODEL,
                2,
                view.born + since,
                source=wanted_weights.Source.NOT_BEFORE,
            )
        assert view.begins_until(MODEL, 1) == view.born + 11.0


@played(routers=2)
async def test_a_start_amid_a_rollout_shuts_out_no_runner_elsewhere(world):
    """Heartbeats told the guess of the router that had started as known."""
    first, second = world.routers
    for each in world.servers.values():
        each.silent_orders = 1000
    await asyncio.sleep(0.8)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: first.view.wanted[MODEL].version == 2)
    named = first.view.wanted[MODEL].since
    late = await world.add_router(
        "router-2",
        router_world.free_port(),
        [
            int(each.chosen.text("peer-listen").rpartition(":")[2])
            for each in world.routers
        ],
    )
    await world.until(lambda: late.view.wanted)
    await asyncio.sleep(1.5)
    for each in (first, second, late):
        assert abs(each.view.wanted[MODEL].since - named) < 0.2


@played(routers=2)
async def test_all_versions_named_are_told_to_a_router_that_missed_one(world):
    """A router that knows the newest alone would use the first for too long."""
    first, second = world.routers
    now = clocks.now()
    first.view.want(MODEL, 2, now - 5.0)
    first.view.want(MODEL, 3, now - 1.0)
    second.view.servers.put(attrs.evolve(registration(0, 1), server="other"))
    backend = second.view.servers.by_server["other"]
    late = now - 5.0 + second.view.bounds.weights_seconds
    await world.until(
        lambda: not selections.weights_allow(second.view, MODEL, backend, late),
        seconds=2.0,
    )
    assert second.view.wanted[MODEL].version == 3


@played(routers=1, runners=1)
async def test_a_version_found_by_a_look_counts_from_when_it_may_be_named(
    world,
):
    """Counted from the look, older weights served past their bound."""
    [router] = world.routers
    await asyncio.sleep(0.3)
    world.store.forget_watches()
    await asyncio.sleep(0.1)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(
        lambda: router.view.wanted[MODEL].version == 2, seconds=6.0
    )
    assert clocks.now() - named > 1.0
    assert router.view.wanted[MODEL].since <= named + 0.1


@played(routers=1, runners=2)
async def test_a_runner_with_newer_weights_shows_that_they_were_named(world):
    """A router that heard nothing of them used the others without end."""
    [router] = world.routers
    _cut_off_from_named_weights(router)
    runner = world.servers["r0"]
    runner.weights[MODEL] = 2
    world.tell(runner)
    await world.until(lambda: router.view.wanted[MODEL].version == 2)


@played(routers=1, runners=1)
async def test_a_version_heard_by_a_wait_counts_from_then(world):
    """Taken for older, it would shut runners out before they could load."""
    [router] = world.routers
    await asyncio.sleep(1.5)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    assert router.view.wanted[MODEL].since >= named - 0.1


def _cut_off_from_named_weights(router):
    """Lets a router hear of servers and of no named weights any more."""
    router.kinds["weights"].close()


async def _ask_before_the_bound(world, path, server):
    """Sends a request that waits at its runner until older weights are over.

    Returns the task that asks, and when the newer weights were named.
    """
    [router] = world.routers
    router.view.bounds = attrs.evolve(
        router.view.bounds, weights_seconds=WEIGHTS_SECONDS
    )
    for each in world.servers.values():
        each.silent_orders = 1000
        each.queue_seconds = 2.5
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    margin = cluster_views.WEIGHTS_MARGIN_SECONDS
    await asyncio.sleep(WEIGHTS_SECONDS - margin - 0.3)
    headers = router_world.stream_headers(**{"Deadline-Ms": "5000"})
    asked = asyncio.ensure_future(world.ask(path, headers=headers))
    await world.until(lambda: server(world) is not None)
    return asked, named


def _asked_runner(world):
    """Returns the first runner that got a request, or None."""
    found = [each for each in world.servers.values() if each.calls]
    return found[0] if found else None


def _begun_late(world, named):
    """Returns the requests that began on older weights past the bound."""
    return [
        call
        for call in world.ran("runners")
        if call.weights == 1 and call.began > named + WEIGHTS_SECONDS
    ]


@played(routers=1, runners=1)
async def test_no_request_that_waits_begins_on_older_weights_past_the_bound(
    world,
):
    """A runner that was slowed began requests seconds after they were sent."""
    asked, named = await _ask_before_the_bound(world, "/drafts/", _asked_runner)
    answer = await asked
    await asyncio.sleep(1.0)
    assert not _begun_late(world, named)
    # It was sent, so nothing may promise that it has not run.
    assert answer.status not in (408, 421, 429, 503)


@played(routers=1, runners=2)
async def test_a_resumable_request_that_waits_too_long_goes_to_newer_weights(
    world,
):
    """It would end unserved while other runners have the newer weights."""
    asked, named = await _ask_before_the_bound(
        world, "/lookups/", _asked_runner
    )
    first = _asked_runner(world)
    for each in world.servers.values():
        if each is not first:
            each.silent_orders = 0
            each.queue_seconds = 0.0
    answer = await asked
    assert answer.status == 200
    assert not _begun_late(world, named)


class TestRollout:
    """Which runners load first, when the bound comes near."""

    def told(self, rollout, now):
        return [
            each.backend.registration.incarnation for each in rollout.due(now)
        ]

    def test_runners_that_may_begin_nothing_load_whatever_the_others_do(self):
        """They serve nobody, and wait for their turn to load all the same."""
        view = believed_of(*[1] * 9)
        rollout = rollouts.Rollout(view=view)
        view.want(MODEL, 2, 0.0)
        assert len(self.told(rollout, 1.0)) == 3
        late = view.bounds.weights_seconds
        assert len(self.told(rollout, late)) == 9

    def test_the_runners_with_the_oldest_weights_load_first(self):
        """The least busy went first, and the oldest were used to the bound."""
        view = believed_of(2, 2, 2, 2, 2, 2, 1, 1, 1)
        for each in view.servers.by_incarnation.values():
            each.open = 3 if each.registration.weights[MODEL] == 1 else 0
        view.want(MODEL, 2, 0.0)
        view.want(MODEL, 3, 2.0)
        rollout = rollouts.Rollout(view=view)
        assert sorted(self.told(rollout, 2.5)) == ["r6", "r7", "r8"]

    def test_a_runner_that_is_down_does_not_hold_up_what_may_begin_nothing(
        self,
    ):
        """With a third down no second load began, and the bound passed."""
        view = believed_of(*[1] * 9)
        late = view.bounds.weights_seconds
        for number in (0, 1, 2):
            view.servers.by_server[f"r{number}"].failed(late - 0.1)
        view.want(MODEL, 2, 0.0)
        rollout = rollouts.Rollout(view=view)
        assert len(self.told(rollout, late)) == 6
        assert len(self.told(rollout, late + backends.FAILED_SECONDS)) == 9


def test_an_answer_that_has_arrived_is_not_withdrawn():
    """Its head waited to be read by the request's task."""
    connection = server_connections.ServerConnection(address="10.0.0.1:80")
    connection.busy = True
    connection.data_received(
        b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    view = believed_of(1)
    client_request = test_router_decisions.TestOlderWeights().ask(0.0)
    attempt = attempts.Attempt(
        client_request=client_request,
        backend=view.servers.by_server["r0"],
        dispatch=request_types.Dispatch(
            server="r0", organisation=None, seconds_left=1
        ),
        pool=server_connections.ConnectionPool(),
        connection=connection,
        most_idle=None,
        speeds=wait_estimates.Speeds(),
    )
    assert attempt.has_begun()


@attrs.define(kw_only=True)
class FormerBeat:
    """A heartbeat of a build that tells the newest version alone."""

    data_centre: str
    counted: tuple[int, int]
    wanted: dict[str, tuple[int, int]]
    known: dict[str, tuple[int, int]]
    store_reached: bool
    lease_revision: int
    lease_holder: str
    lease_ms: int
    leaving: bool


def test_heartbeats_of_the_former_build_are_read_and_the_other_way_round():
    """Amid a rolling update each half took the other half for gone."""
    told = {
        "data_centre": "a",
        "counted": (2, 0),
        "wanted": {MODEL: (2, 300)},
        "known": {},
        "store_reached": True,
        "lease_revision": -1,
        "lease_holder": "",
        "lease_ms": 0,
        "leaving": False,
    }
    former = codecs.Codec(numbers={1: FormerBeat})
    given = {"sender": "tcp://x", "configuration": 1}
    old = former.encode(FormerBeat(**told), **given)
    assert isinstance(peers.CODEC.decode(old), result.Success)
    beat = peer_messages.Heartbeat(**told, named={MODEL: [(2, 300, 0)]})
    new = peers.CODEC.encode(beat, **given)
    assert isinstance(former.decode(new), result.Success)


def test_a_first_version_ever_named_is_shown_by_a_runner_too():
    """Nothing is named in the store until an operator does."""
    view = cluster_views.ClusterView(
        name="x", data_centre="a", born=clocks.now()
    )
    taken = view_updaters.ViewUpdater(
        view=view,
        lines=log_lines.Lines(counters=counters.Counters()),
    )
    entries = [
        registrations.Stored(
            name=f"r{version}",
            revision=version,
            value={
                "service": "runners",
                "address": f"10.0.0.{version}:80",
                "zone": "a",
                "models": [{"name": MODEL, "version": version}],
            },
        )
        for version in (1, 2)
    ]
    taken.apply_servers(entries, [])
    late = clocks.now() + view.bounds.weights_seconds
    assert not selections.weights_allow(
        view, MODEL, view.servers.by_server["r1"], late
    )


def _stand_still(seconds):
    """Lets the loop, so all routers, stand still."""
    time.sleep(seconds)


@played(routers=2, runners=1)
async def test_a_version_named_while_all_routers_stood_still_counts_from_then(
    world,
):
    """The answer lay in the socket; old weights were used 10 s after it."""
    await asyncio.sleep(0.8)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    _stand_still(2.5)
    await world.until(
        lambda: all(
            each.view.wanted[MODEL].version == 2 for each in world.routers
        )
    )
    await asyncio.sleep(1.0)
    for each in world.routers:
        assert each.view.wanted[MODEL].since < named + 0.5


@played(routers=2, runners=2)
async def test_a_router_that_stood_still_ages_no_weights_elsewhere(world):
    """What it read on waking was taken for as old as its pause."""
    first, second = world.routers
    for each in world.servers.values():
        each.silent_orders = 1000
    await asyncio.sleep(0.8)
    now = clocks.now()
    second.pauses.began, second.pauses.ended = now - 5.0, now + 0.8
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: second.view.wanted[MODEL].version == 2)
    await asyncio.sleep(1.0)
    assert abs(first.view.wanted[MODEL].since - now) < 0.3
    # The first tells it once more after the pause is over.
    await world.until(
        lambda: abs(second.view.wanted[MODEL].since - now) < 0.3,
        seconds=3.0,
    )
    assert abs(first.view.wanted[MODEL].since - now) < 0.3


@played(routers=1, runners=1)
async def test_after_a_pause_no_part_of_older_weights_is_fetched(world):
    """Runners may have changed meanwhile, and left mixed parts."""
    [router] = world.routers
    await asyncio.sleep(0.8)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    _stand_still(2.5)
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    since = router.view.wanted[MODEL].since
    assert clocks.now() - since >= selections.SAFE_FETCH_SECONDS


class TestWatchers:
    """How old what a call brought may be."""

    CHANGES = registrations.Changes(
        changed=[
            registrations.Stored(
                name=MODEL, revision=9, value={"model": MODEL, "version": 2}
            )
        ],
        removed=[],
        revision=9,
    )

    def unseen_seconds(self, *, known_age, wait_seconds, look_seconds=0.0):
        """Plays one step of a watcher; returns how old its news may be."""

        async def watch(kind, revision, seconds):
            await asyncio.sleep(wait_seconds if seconds else look_seconds)
            return self.CHANGES

        async def play():
            mirror = object_caches.ObjectCache(
                kind="versions", on_change=lambda changed, removed: None
            )
            mirror.revision = 5
            mirror.known_at = clocks.now() - known_age
            store = stores.Store(address="127.0.0.1:9", caller=None)
            store.watch = watch
            watcher = watchers.Watcher(
                mirror=mirror,
                store=store,
                lines=log_lines.Lines(counters=counters.Counters()),
                bound_seconds=lambda: 8.0,
                answers=hedged_calls.AnswerSignal(),
                polls_in_outage=False,
            )
            watcher._relist = False
            await watcher._step()
            return mirror.change_age_seconds

        return asyncio.run(play())

    def test_a_wait_that_is_answered_at_once_may_bring_what_is_old(self):
        """A router followed others, which died; its own wait began then."""
        found = self.unseen_seconds(known_age=3.0, wait_seconds=0.0)
        assert found > 2.5

    def test_a_wait_that_is_answered_later_brings_what_is_new(self):
        assert self.unseen_seconds(known_age=2.0, wait_seconds=0.6) < 0.1

    def test_a_look_beside_a_sound_wait_does_not_age_what_was_just_named(self):
        """A look came 10 ms before the wait, and went before it."""
        found = self.unseen_seconds(
            known_age=2.6, wait_seconds=0.65, look_seconds=0.04
        )
        assert found < 0.1


@played(routers=1, runners=2)
async def test_a_version_named_in_an_outage_does_not_shut_all_runners_out(
    world,
):
    """All counted as too old when the store was back, and callers got 503."""
    [router] = world.routers
    router.view.bounds = attrs.evolve(
        router.view.bounds, weights_seconds=WEIGHTS_SECONDS
    )
    for each in world.servers.values():
        each.load_seconds = 1.0
    world.store.silent = True
    await asyncio.sleep(4.0)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    world.store.silent = False
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    answer = await world.ask("/lookups/", headers=router_world.stream_headers())
    assert answer.status == 200
