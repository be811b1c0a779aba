"""Tests of the time bound for requests on superseded weights."""

import asyncio
import time
from unittest import mock

import attrs
from hypothesis import given
from hypothesis import strategies
import pytest
from returns import result

from pimentoledge.nodes import codecs
from pimentoledge.platform import names
from pimentoledge.platform import stores
from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import calls
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import counters
from pimentoledge.routing import hedged_calls
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import peers
from pimentoledge.routing import placements
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

with_world = router_world.with_world
MODEL = router_world.MODEL
# Time bound in the end-to-end tests.
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


def view_of(*versions):
    """Returns a router's view of runners with these versions."""
    view = cluster_views.ClusterView(name="x", data_centre="a", started_at=0.0)
    for number, version in enumerate(versions):
        view.servers.put(registration(number, version))
    return view


def _shorten_bound(router):
    """Sets a short time bound for requests on superseded weights."""
    router.view.bounds = attrs.evolve(
        router.view.bounds, weights_seconds=WEIGHTS_SECONDS
    )


def _slow_loads(world):
    for each in world.servers.values():
        each.load_seconds = 1.0


class TestFurtherVersions:
    """Versions announced before the previous one is loaded everywhere."""

    def allowed(self, view, server, now):
        backend = view.servers.by_server[server]
        return selections.weights_allow(view, MODEL, backend, now)

    def test_a_further_version_does_not_prolong_the_use_of_the_first(self):
        view = view_of(1, 2)
        most = view.bounds.weights_seconds
        view.set_wanted_version(MODEL, 2, 100.0)
        view.set_wanted_version(MODEL, 3, 105.0)
        assert not self.allowed(view, "r0", 100.0 + most)
        assert self.allowed(view, "r1", 100.0 + most)
        assert not self.allowed(view, "r1", 105.0 + most)

    def test_a_version_received_after_a_newer_one_counts_too(self):
        view = view_of(1, 2)
        most = view.bounds.weights_seconds
        view.set_wanted_version(MODEL, 3, 105.0)
        view.set_wanted_version(MODEL, 2, 100.0)
        assert not self.allowed(view, "r0", 100.0 + most)
        assert self.allowed(view, "r1", 100.0 + most)

    def test_of_many_versions_none_is_used_past_its_own_bound(self):
        view = view_of(1)
        most = view.bounds.weights_seconds
        for version in range(2, 40):
            view.set_wanted_version(MODEL, version, 100.0 + 0.1 * version)
        for version in range(1, 39):
            view.servers.put(registration(0, version))
            late = 100.0 + 0.1 * (version + 1) + most
            assert not self.allowed(view, "r0", late)

    def test_parts_of_the_first_are_not_fetched_once_runs_may_have_mixed(self):
        older = test_router_decisions.TestOlderWeights()
        view = older.view(saved=None)
        view.set_wanted_version("m", 3, 14.0)
        assert older.fetched(view, 14.1) is None

    def test_parts_saved_between_two_versions_are_not_fetched(self):
        older = test_router_decisions.TestOlderWeights()
        view = older.view(saved=12.0)
        view.set_wanted_version("m", 3, 14.0)
        assert older.fetched(view, 15.0) is None


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 20), strategies.floats(0, 50)),
        min_size=1,
        max_size=30,
    ),
    strategies.integers(0, 20),
)
def test_in_any_order_of_announcements_no_version_outlives_its_successor(
    announcements, version
):
    named = [
        wanted_weights.NamedVersion(version=number, since=since)
        for number, since in announcements
    ]
    wanted = wanted_weights.WantedWeights(named[0])
    for each in named:
        wanted.add(each)
    later = [since for number, since in announcements if number > version]
    found = wanted.superseded(version)
    if not later:
        assert found is None
        return
    assert found <= min(later)
    if (
        len({number for number, _ in announcements})
        <= wanted_weights.MAX_EARLIER
    ):
        assert found == min(later)


class TestLongPrompts:
    """Prompts whose first token takes longer than the margin of a choice."""

    PROMPT = 60_000
    NAMED = 100.0

    def chosen(self, view, seconds_left):
        """Returns the runner chosen this long before version 1 ends."""
        view.configuration = configurations.build(
            version=1,
            routes=[],
            organisations=None,
            services=[],
            limits=configurations.ClientLimits(),
        )
        view.set_wanted_version(MODEL, 2, self.NAMED)
        older = test_router_decisions.TestOlderWeights()
        route = test_router_decisions.route()
        found = selections.select(
            view=view,
            client_request=attrs.evolve(
                older.new_request(0.0),
                model=MODEL,
                parts=(),
                prompt_tokens=self.PROMPT,
            ),
            route=attrs.evolve(
                route,
                objective_seconds=4.0,
                shares=(
                    configurations.ServiceShare(service="runners", weight=1),
                ),
            ),
            organisation=None,
            without=set(),
            now=self.NAMED + view.bounds.weights_seconds - seconds_left,
        )
        if isinstance(found, placements.NoCapacity):
            return None
        return found.backend.registration.server

    def test_a_prompt_that_cannot_begin_in_time_is_not_sent(self):
        """Guards against streams that are sent to be withdrawn and fail."""
        assert self.chosen(view_of(1), 1.6) is None

    def test_a_prompt_that_can_begin_in_time_is_sent(self):
        assert self.chosen(view_of(1), 3.0) == "r0"

    def test_a_prompt_that_cannot_begin_in_time_goes_to_newer_weights(self):
        """Guards against the choice of an idle runner whose weights end."""
        view = view_of(1, 2)
        newer = view.servers.by_server["r1"]
        newer.open = newer.unbegun = 1
        newer.unread_tokens = self.PROMPT
        newer.read_since = self.NAMED + view.bounds.weights_seconds
        for each in view.servers.by_server.values():
            each.registration = attrs.evolve(each.registration, data_centre="a")
        assert self.chosen(view, 1.6) == "r1"


class TestStarts:
    """State of a router that has just started, without peers' messages."""

    BOUND = 12.0

    def started(self):
        """Returns the view of a router with a long bound at its start."""
        now = clocks.now()
        view = cluster_views.ClusterView(
            name="x", data_centre="a", started_at=now
        )
        view.bounds = attrs.evolve(view.bounds, weights_seconds=self.BOUND)
        view.servers.put(registration(0, 1))
        return view

    def updater(self, view):
        return view_updaters.ViewUpdater(
            view=view,
            lines=log_lines.Lines(counters=counters.Counters()),
        )

    def list_second(self, view):
        value = {"model": MODEL, "version": 2}
        stored = registrations.Stored(name=MODEL, revision=2, value=value)
        self.updater(view).apply_weights([stored], [])

    def test_weights_of_unknown_age_end_soon_after_the_start(self):
        """Guards against older weights used past their bound after a restart.

        The router added half of a long bound to the time that had already
        passed.
        """
        view = self.started()
        self.list_second(view)
        until = view.begins_until(MODEL, 1)
        # The bound applies to a router from this time after its start.
        assert until <= view.started_at + 3.0

    def test_another_router_s_time_replaces_the_guess_of_a_start(self):
        """Guards against excluding runners whose weights are still allowed."""
        view = self.started()
        self.list_second(view)
        view.set_wanted_version(MODEL, 2, view.started_at - 1.0)
        assert view.begins_until(MODEL, 1) == view.started_at + 11.0

    def test_the_guess_of_a_start_does_not_replace_another_router_s_time(
        self,
    ):
        """Guards against a starting router excluding runners at others."""
        view = self.started()
        view.set_wanted_version(MODEL, 2, view.started_at - 1.0)
        view.set_wanted_version(
            MODEL,
            2,
            view.started_at - 9.0,
            source=wanted_weights.Source.GUESSED,
        )
        assert view.begins_until(MODEL, 1) == view.started_at + 11.0

    def test_the_guess_of_a_start_does_not_replace_a_known_bound(
        self,
    ):
        view = self.started()
        for since, source in (
            (-1.0, wanted_weights.Source.NOT_BEFORE),
            (-9.0, wanted_weights.Source.GUESSED),
        ):
            view.set_wanted_version(
                MODEL, 2, view.started_at + since, source=source
            )
        assert view.begins_until(MODEL, 1) == view.started_at + 11.0

    def test_of_two_lower_bounds_the_later_counts(self):
        """Guards against excluding runners by the oldest of several reads."""
        view = self.started()
        for since in (-8.0, -1.0, -5.0):
            view.set_wanted_version(
                MODEL,
                2,
                view.started_at + since,
                source=wanted_weights.Source.NOT_BEFORE,
            )
        assert view.begins_until(MODEL, 1) == view.started_at + 11.0


@with_world(routers=2)
async def test_a_start_during_a_rollout_excludes_no_runner_elsewhere(world):
    """Guards against heartbeats that report a guessed time as certain."""
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


@with_world(routers=2)
async def test_a_router_that_missed_a_version_receives_all_versions(world):
    """Guards against a router that uses the first version for too long.

    It would do so if it received only the newest version.
    """
    first, second = world.routers
    now = clocks.now()
    first.view.set_wanted_version(MODEL, 2, now - 5.0)
    first.view.set_wanted_version(MODEL, 3, now - 1.0)
    second.view.servers.put(attrs.evolve(registration(0, 1), server="other"))
    backend = second.view.servers.by_server["other"]
    late = now - 5.0 + second.view.bounds.weights_seconds
    await world.until(
        lambda: not selections.weights_allow(second.view, MODEL, backend, late),
        seconds=2.0,
    )
    assert second.view.wanted[MODEL].version == 3


@with_world(routers=1, runners=1)
async def test_a_version_found_by_a_read_counts_from_its_earliest_time(
    world,
):
    """Guards against older weights used past their bound.

    The time must count from when the version may have been announced, not from
    the read of the store that found it.
    """
    [router] = world.routers
    await asyncio.sleep(0.3)
    world.store.silence_watches()
    await asyncio.sleep(0.1)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(
        lambda: router.view.wanted[MODEL].version == 2, seconds=6.0
    )
    assert clocks.now() - named > 1.0
    assert router.view.wanted[MODEL].since <= named + 0.1


@with_world(routers=1, runners=2)
async def test_a_runner_with_newer_weights_shows_their_announcement(world):
    """Guards against older weights that are used without end.

    A router that receives no announcements must infer the version from a
    runner.
    """
    [router] = world.routers
    _stop_weights_watch(router)
    runner = world.servers["r0"]
    runner.weights[MODEL] = 2
    world.write_registration(runner)
    await world.until(lambda: router.view.wanted[MODEL].version == 2)


@with_world(routers=1, runners=1)
async def test_a_version_received_by_a_watch_counts_from_then(world):
    """Guards against excluding runners before they could load.

    That happens if the version counts as announced earlier than it was.
    """
    [router] = world.routers
    await asyncio.sleep(1.5)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    assert router.view.wanted[MODEL].since >= named - 0.1


def _stop_weights_watch(router):
    """Stops a router's watch of announced weights, but not that of servers."""
    router.kinds["weights"].close()


async def _request_before_bound(world, path, server):
    """Sends a request that waits at its runner past the bound.

    Returns the task of the request, and when the newer weights were announced.
    """
    [router] = world.routers
    _shorten_bound(router)
    for each in world.servers.values():
        each.silent_orders = 1000
        each.queue_seconds = 2.5
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    margin = cluster_views.WEIGHTS_MARGIN_SECONDS
    await asyncio.sleep(WEIGHTS_SECONDS - margin - 0.3)
    headers = router_world.stream_headers(**{"Deadline-Ms": "5000"})
    response = asyncio.ensure_future(world.request(path, headers=headers))
    await world.until(lambda: server(world) is not None)
    return response, named


def _runner_with_request(world):
    """Returns the first runner that got a request, or None."""
    found = [each for each in world.servers.values() if each.calls]
    return found[0] if found else None


def _begun_late(world, named):
    """Returns the requests that started on older weights past the bound."""
    return [
        call
        for call in world.executed_requests("runners")
        if call.weights == 1 and call.started_at > named + WEIGHTS_SECONDS
    ]


@with_world(routers=1, runners=1)
async def test_no_request_that_waits_begins_on_older_weights_past_the_bound(
    world,
):
    """Guards against a slow runner that starts requests past the bound.

    It started them seconds after they were sent.
    """
    response, named = await _request_before_bound(
        world, "/drafts/", _runner_with_request
    )
    answer = await response
    await asyncio.sleep(1.0)
    assert not _begun_late(world, named)
    # It was sent, so no status may claim that it has not run.
    assert answer.status not in (408, 421, 429, 503)


@with_world(routers=1, runners=2)
async def test_a_resumable_request_that_waits_too_long_goes_to_newer_weights(
    world,
):
    """Guards against a failure while other runners have the newer weights."""
    response, named = await _request_before_bound(
        world, "/lookups/", _runner_with_request
    )
    first = _runner_with_request(world)
    for each in world.servers.values():
        if each is not first:
            each.silent_orders = 0
            each.queue_seconds = 0.0
    answer = await response
    assert answer.status == 200
    assert not _begun_late(world, named)


@with_world(routers=1, runners=2)
async def test_a_bound_that_becomes_known_while_connecting_stops_the_request(
    world,
):
    """Guards against a request sent on weights that ended since the choice."""
    [router] = world.routers
    for each in world.servers.values():
        each.silent_orders = 1000
    request_task = await world.request_while_connecting(
        "r0", "r1", path="/lookups/", headers=router_world.stream_headers()
    )
    router.view.set_wanted_version(
        MODEL, 2, clocks.now() - router.view.bounds.weights_seconds
    )
    assert (await request_task).status == 503
    assert not world.executed_requests("runners")


@with_world(routers=1, runners=1)
async def test_a_runner_whose_entry_names_no_version_begins_on_the_newest(
    world,
):
    """Guards against older weights used without end, as none are named."""
    [router] = world.routers
    runner = world.servers["r0"]
    entry = runner.entry
    runner.entry = lambda **more: {**entry(**more), "models": []}
    world.write_registration(runner)
    known = router.view.servers.by_server["r0"]
    await world.until(lambda: not known.registration.weights)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    headers = router_world.stream_headers()
    await world.request("/lookups/", headers=headers)
    assert not world.executed_requests("runners")
    await world.until(lambda: runner.weights[MODEL] == 2)
    await world.until(lambda: known.usable(clocks.now()))
    answer = await world.request("/lookups/", headers=headers)
    assert answer.status == 200


class TestRollout:
    """Which runners load first as the bound approaches."""

    def ordered(self, rollout, now):
        return [
            each.backend.registration.incarnation for each in rollout.due(now)
        ]

    def test_runners_that_may_start_nothing_load_regardless_of_others(self):
        """Guards against runners that serve no requests but wait to load."""
        view = view_of(*[1] * 9)
        rollout = rollouts.Rollout(view=view)
        view.set_wanted_version(MODEL, 2, 0.0)
        assert len(self.ordered(rollout, 1.0)) == 3
        late = view.bounds.weights_seconds
        assert len(self.ordered(rollout, late)) == 9

    def test_the_runners_with_the_oldest_weights_load_first(self):
        """Guards against the oldest weights being used up to the bound.

        That happens if the least busy runners load first.
        """
        view = view_of(2, 2, 2, 2, 2, 2, 1, 1, 1)
        for each in view.servers.by_incarnation.values():
            each.open = 3 if each.registration.weights[MODEL] == 1 else 0
        view.set_wanted_version(MODEL, 2, 0.0)
        view.set_wanted_version(MODEL, 3, 2.0)
        rollout = rollouts.Rollout(view=view)
        assert sorted(self.ordered(rollout, 2.5)) == ["r6", "r7", "r8"]

    def test_a_verdict_on_a_runner_that_lapsed_meanwhile_is_recorded(self):
        """Guards against an order whose end is lost with its runner's entry."""
        view = view_of(1)
        rollout = rollouts.Rollout(view=view)
        view.set_wanted_version(MODEL, 2, 0.0)
        [due] = rollout.due(0.0)
        rollout.progress_of(due.backend).orders_taken = 0
        view.servers.remove("r0")
        assert not rollout.due(0.1)
        view.servers.put(registration(0, 1))
        rollout.note_verdict(due, rollouts.OrderVerdict.TAKEN, 0.2)
        assert not self.ordered(rollout, 0.3)
        assert self.ordered(rollout, 0.2 + rollouts.LOAD_SECONDS) == ["r0"]

    def test_a_runner_that_has_the_version_already_does_not_delay_others(self):
        """Guards against orders to it alone until its entry arrives."""
        view = view_of(1, 1, 1)
        rollout = rollouts.Rollout(view=view)
        view.set_wanted_version(MODEL, 2, 0.0)
        [first] = rollout.due(0.0)
        rollout.note_verdict(first, rollouts.OrderVerdict.HOLDS, 0.0)
        [second] = rollout.due(0.1)
        assert second.backend is not first.backend

    def test_a_runner_that_is_down_does_not_delay_idle_runners(
        self,
    ):
        """Guards against a rollout that stalls past the bound.

        With a third of the runners down, no second load started.
        """
        view = view_of(*[1] * 9)
        late = view.bounds.weights_seconds
        for number in (0, 1, 2):
            view.servers.by_server[f"r{number}"].note_connection_failure(
                late - 0.1
            )
        view.set_wanted_version(MODEL, 2, 0.0)
        rollout = rollouts.Rollout(view=view)
        assert len(self.ordered(rollout, late)) == 6
        assert (
            len(self.ordered(rollout, late + backends.FAILURE_BACKOFF_SECONDS))
            == 9
        )


def test_an_answer_that_has_arrived_is_not_withdrawn():
    """Guards against withdrawing a request whose answer has arrived.

    The request's task had not read the head of the answer yet.
    """
    connection = server_connections.ServerConnection(address="10.0.0.1:80")
    connection.busy = True
    connection.data_received(
        b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    view = view_of(1)
    client_request = test_router_decisions.TestOlderWeights().new_request(0.0)
    attempt = attempts.Attempt(
        client_request=client_request,
        backend=view.servers.by_server["r0"],
        dispatch=request_types.Dispatch(
            server="r0", organisation=None, seconds_left=1
        ),
        pool=server_connections.ConnectionPool(),
        connection=connection,
        max_idle=None,
        speeds=wait_estimates.Speeds(),
    )
    assert attempt.has_begun()


@attrs.define(kw_only=True)
class FormerHeartbeat:
    """A heartbeat of a former build, with only the newest version."""

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
    """Guards against a rolling update whose builds drop each other's messages.

    Each half of the routers then considers the other half dead.
    """
    fields = {
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
    former = codecs.Codec(numbers={1: FormerHeartbeat})
    given = {"sender": "tcp://x", "configuration": 1}
    old = former.encode(FormerHeartbeat(**fields), **given)
    assert isinstance(peers.CODEC.decode(old), result.Success)
    heartbeat = peer_messages.Heartbeat(**fields, named={MODEL: [(2, 300, 0)]})
    new = peers.CODEC.encode(heartbeat, **given)
    assert isinstance(former.decode(new), result.Success)


def _configuration(*services, version=1):
    """Returns a stored configuration whose services run the model."""
    engine = {"models": [{"name": MODEL}]}
    return registrations.Stored(
        name=names.CONFIGURATION_NAME,
        revision=version,
        value={
            "version": version,
            "routes": [],
            "services": [{"name": each, "engine": engine} for each in services],
        },
    )


def _runner(name, service, version):
    return registrations.Stored(
        name=name,
        revision=version % 1000,
        value={
            "service": service,
            "address": "10.0.0.1:80",
            "zone": "a",
            "models": [{"name": MODEL, "version": version}],
        },
    )


@pytest.mark.parametrize("first", ["configuration", "servers"])
@pytest.mark.parametrize("version", [7, 20261204130059123456])
def test_entries_of_undeclared_services_name_no_weights(first, version):
    """Guards against orders for weights that another writer has stored."""
    view = cluster_views.ClusterView(
        name="x", data_centre="a", started_at=clocks.now()
    )
    updater = view_updaters.ViewUpdater(
        view=view, lines=log_lines.Lines(counters=counters.Counters())
    )
    entries = [_runner("r1", "runners", 2), _runner("x1", "other", version)]
    if first == "servers":
        updater.apply_servers(entries, [])
    updater.apply_configuration([_configuration("runners")], [])
    if first == "configuration":
        updater.apply_servers(entries, [])
    assert view.wanted[MODEL].version == 2
    assert list(view.servers.by_server) == ["r1"]
    updater.apply_configuration(
        [_configuration("runners", "other", version=2)], []
    )
    assert ("x1" in view.servers.by_server) == (version == 7)


def test_an_entry_kept_aside_that_becomes_unreadable_names_no_server():
    """Guards against a server of a former entry that a configuration names."""
    view = cluster_views.ClusterView(
        name="x", data_centre="a", started_at=clocks.now()
    )
    updater = view_updaters.ViewUpdater(
        view=view, lines=log_lines.Lines(counters=counters.Counters())
    )
    updater.apply_configuration([_configuration("runners")], [])
    updater.apply_servers([_runner("x1", "other", 7)], [])
    unreadable = registrations.Stored(name="x1", revision=8, value=None)
    updater.apply_servers([unreadable], [])
    updater.apply_configuration(
        [_configuration("runners", "other", version=2)], []
    )
    assert not view.servers.by_server


def test_a_first_version_ever_named_is_shown_by_a_runner_too():
    """Guards against older weights used before any announcement.

    The store has no version until an operator announces one.
    """
    view = cluster_views.ClusterView(
        name="x", data_centre="a", started_at=clocks.now()
    )
    updater = view_updaters.ViewUpdater(
        view=view,
        lines=log_lines.Lines(counters=counters.Counters()),
    )
    updater.apply_configuration([_configuration("runners")], [])
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
    updater.apply_servers(entries, [])
    late = clocks.now() + view.bounds.weights_seconds
    assert not selections.weights_allow(
        view, MODEL, view.servers.by_server["r1"], late
    )


def _block_loop(seconds):
    """Blocks the event loop, and so all routers."""
    time.sleep(seconds)


@with_world(routers=2, runners=1)
async def test_a_version_announced_during_a_pause_of_all_counts_from_then(
    world,
):
    """Guards against old weights used for 10 s after a pause.

    The store's answer was in the socket while the routers were paused.
    """
    await asyncio.sleep(0.8)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    _block_loop(2.5)
    await world.until(
        lambda: all(
            each.view.wanted[MODEL].version == 2 for each in world.routers
        )
    )
    await asyncio.sleep(1.0)
    for each in world.routers:
        assert each.view.wanted[MODEL].since < named + 0.5


@with_world(routers=2, runners=2)
async def test_a_router_that_stood_still_ages_no_weights_elsewhere(world):
    """Guards against a version that counts as old as the pause of a router.

    The router reads the version when it resumes.
    """
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
    # The first router reports it again after the pause.
    await world.until(
        lambda: abs(second.view.wanted[MODEL].since - now) < 0.3,
        seconds=3.0,
    )
    assert abs(first.view.wanted[MODEL].since - now) < 0.3


@with_world(routers=1, runners=1)
async def test_no_part_of_older_weights_is_fetched_after_a_pause(world):
    """Guards against cached parts of mixed weights.

    Runners may have changed their weights during the pause.
    """
    [router] = world.routers
    await asyncio.sleep(0.8)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    _block_loop(2.5)
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    since = router.view.wanted[MODEL].since
    assert clocks.now() - since >= selections.SAFE_FETCH_SECONDS


class TestWatchers:
    """Upper bound of the age of changes that a call returns."""

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
        """Runs one step of a watcher; returns how old its changes may be."""

        async def watch(kind, revision, seconds):
            await asyncio.sleep(wait_seconds if seconds else look_seconds)
            return self.CHANGES

        async def play():
            cache = object_caches.ObjectCache(
                kind="versions", on_change=lambda changed, removed: None
            )
            cache.revision = 5
            cache.known_at = clocks.now() - known_age
            store = stores.StoreClient(
                address="127.0.0.1:9", caller=calls.Caller()
            )
            store.watch = watch
            watcher = watchers.Watcher(
                cache=cache,
                store=store,
                lines=log_lines.Lines(counters=counters.Counters()),
                bound_seconds=lambda: 8.0,
                answers=hedged_calls.AnswerSignal(),
                polls_in_outage=False,
            )
            watcher._relist = False
            await watcher._step()
            return cache.change_age_seconds

        return asyncio.run(play())

    def test_a_watch_that_is_answered_at_once_may_return_old_changes(self):
        """Guards against changes that count as new when a watch is late.

        The router relied on others' watches, and started its own when they
        died.
        """
        found = self.unseen_seconds(known_age=3.0, wait_seconds=0.0)
        assert found > 2.5

    def test_a_watch_that_is_answered_later_returns_new_changes(self):
        assert self.unseen_seconds(known_age=2.0, wait_seconds=0.6) < 0.1

    def test_a_read_beside_a_live_watch_does_not_age_a_new_version(self):
        """Guards against a read that ages a change just announced.

        The read returned 10 ms before the watch.
        """
        found = self.unseen_seconds(
            known_age=2.6, wait_seconds=0.65, look_seconds=0.04
        )
        assert found < 0.1


@with_world(routers=1, runners=2)
async def test_a_version_announced_in_an_outage_does_not_exclude_all_runners(
    world,
):
    """Guards against 503 for clients when the store is back.

    All weights counted as too old then.
    """
    [router] = world.routers
    _shorten_bound(router)
    _slow_loads(world)
    world.store.silent = True
    await asyncio.sleep(4.0)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    world.store.silent = False
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    answer = await world.request(
        "/lookups/", headers=router_world.stream_headers()
    )
    assert answer.status == 200


@with_world(routers=1, runners=2)
async def test_slow_retries_in_an_outage_do_not_exclude_all_runners(world):
    """Guards against 503 when the store returns between two retries."""
    [router] = world.routers
    _shorten_bound(router)
    _slow_loads(world)
    with mock.patch.object(watchers.random, "random", return_value=1.0):
        await _outage_until_poll(world, number=4)
        world.store.objects.latency = 0.1
        world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
        await world.until(lambda: router.view.wanted[MODEL].version == 2)
    answer = await world.request(
        "/lookups/", headers=router_world.stream_headers()
    )
    assert answer.status == 200


async def _outage_until_poll(world, *, number):
    """Ends an outage just after a poll of the configuration by number."""
    world.store.silent = True
    await asyncio.sleep(0.3)
    before = world.store.counts["GET config"]
    await world.until(
        lambda: world.store.counts["GET config"] >= before + number,
        seconds=9.0,
    )
    await asyncio.sleep(0.1)
    world.store.silent = False


@with_world(routers=1, runners=1)
async def test_a_version_announced_after_an_outage_counts_from_then(world):
    """Guards against older weights used past their bound after an outage."""
    [router] = world.routers
    _shorten_bound(router)
    await _outage_until_poll(world, number=6)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    assert router.view.wanted[MODEL].since <= named


@with_world(routers=1, runners=2)
async def test_a_pause_in_an_outage_does_not_exclude_all_runners(world):
    """Guards against 503 if the router stood still as its calls timed out."""
    [router] = world.routers
    _shorten_bound(router)
    _slow_loads(world)
    asyncio.get_running_loop().call_later(3.0, _block_loop, 0.6)
    await _outage_until_poll(world, number=7)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: router.view.wanted[MODEL].version == 2)
    answer = await world.request(
        "/lookups/", headers=router_world.stream_headers()
    )
    assert answer.status == 200


class TestLaterEvidence:
    """Evidence of a naming that arrives when the version is known already."""

    def applied(self, *, change_age):
        """Returns when version 2 counts as named, and what a peer reported.

        Args:
            change_age: greatest possible age of the change that the store
                returned, in seconds.
        """
        view = view_of(1)
        updater = view_updaters.ViewUpdater(
            view=view, lines=log_lines.Lines(counters=counters.Counters())
        )
        cache = object_caches.ObjectCache(
            kind="versions", on_change=updater.apply_weights
        )
        view.caches_by_kind["weights"] = cache
        cache.apply(registrations.Listing(objects=[], revision=1))
        named = clocks.now() - 6.0
        updater.set_wanted_version(
            MODEL, 2, named, "router", source=wanted_weights.Source.NOT_BEFORE
        )
        time.sleep(0.8)
        value = {"model": MODEL, "version": 2}
        stored = registrations.Stored(name=MODEL, revision=2, value=value)
        cache.apply(
            registrations.Changes(changed=[stored], removed=[], revision=2),
            change_age,
        )
        return view.wanted[MODEL].since, named

    def test_a_later_read_does_not_prolong_the_use_of_older_weights(self):
        """Guards against a bound that restarts when a router is back."""
        since, named = self.applied(change_age=0.1)
        assert since == named

    def test_a_delayed_change_does_not_prolong_the_use_of_older_weights(self):
        """Guards against a delayed answer that counts as just made."""
        since, named = self.applied(change_age=0.0)
        assert since == named

    def test_heartbeats_to_and_fro_do_not_prolong_the_use_of_older_weights(
        self,
    ):
        """Guards against a lower bound that each heartbeat makes later."""
        transit = 0.2
        routers = [
            wanted_weights.WantedWeights(
                wanted_weights.NamedVersion(
                    version=2,
                    since=100.0,
                    source=wanted_weights.Source.NOT_BEFORE,
                )
            )
            for _ in range(2)
        ]
        first, second = routers
        for _ in range(100):
            for sender, receiver in ((first, second), (second, first)):
                report = attrs.evolve(
                    sender.newest, since=sender.newest.since + transit
                )
                receiver.add(report)
        assert max(each.since for each in routers) < 100.5

    def test_a_slow_answer_does_not_prolong_the_use_of_older_weights(self):
        """Guards against a naming later than a router had the version."""
        read = wanted_weights.NamedVersion(
            version=2,
            since=100.0,
            source=wanted_weights.Source.NOT_BEFORE,
            known_at=105.0,
        )
        heard = wanted_weights.NamedVersion(
            version=2, since=105.45, known_at=105.45
        )
        assert read.merge(heard).since <= 105.0
        assert heard.merge(read).since <= 105.0


@with_world(routers=2, runners=1)
async def test_a_router_that_reads_a_version_again_prolongs_no_use(world):
    """Guards against a bound that restarts at all routers."""
    await asyncio.sleep(0.8)
    world.store.silence_watches()
    await asyncio.sleep(0.1)
    named = clocks.now()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(
        lambda: all(
            each.view.wanted[MODEL].version == 2 for each in world.routers
        ),
        seconds=8.0,
    )
    for router in world.routers:
        for watcher in router.watchers:
            watcher.catch_up()
    await asyncio.sleep(1.0)
    for router in world.routers:
        assert router.view.wanted[MODEL].since <= named + 0.1
