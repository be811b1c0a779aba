"""Tests that routers apply the notices in servers' responses.

A server announces in the store and in its responses that it is leaving; the
store may be down, or behind.
"""

import asyncio

import attrs
import pytest

from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import counters
from pimentoledge.routing import log_lines
from pimentoledge.routing import rechecks
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import rollouts
from pimentoledge.routing import server_limits
from pimentoledge.routing import server_notices
from pimentoledge.routing import server_permits
from pimentoledge.tests import router_world

with_world = router_world.with_world
MODEL = router_world.MODEL
REGISTRATION = registrations.Registration(
    server="s0",
    service="runners",
    address="10.0.0.1:80",
    data_centre="a",
    slots=8,
    leaving=False,
    weights={MODEL: 1},
    born=100,
)


def answer(**more):
    fields = {
        "status": 200,
        "request": "q",
        "not_run": False,
        "signed": True,
        "encoded": False,
        "load": None,
        "weights": None,
        "server": None,
        "idle_seconds": None,
        "leaving": False,
        "retry_seconds": None,
        "retry_text": "",
        "limit": None,
        "limit_text": "",
        "passed_on": [],
    }
    return request_types.ServerResponse(**{**fields, **more})


def new_notices(servers):
    return server_notices.ServerNotices(
        servers=servers,
        limits=server_limits.ServerLimits(),
        lines=log_lines.Lines(counters=counters.Counters()),
    )


def leaving_server():
    """Returns known servers and the one of them that announced leaving."""
    servers = backends.Backends()
    backend = servers.put(REGISTRATION)
    new_notices(servers).apply(backend, answer(leaving=True))
    return servers, backend


@pytest.mark.parametrize(
    ("path", "fault"),
    [
        pytest.param("/notices/", None, id="served"),
        pytest.param("/notices/", "fail", id="failed"),
        pytest.param("/notices/", "refuse", id="refused"),
        pytest.param("/lookups/", None, id="streamed"),
    ],
)
def test_no_request_goes_to_a_server_whose_answer_announced_leaving(
    path, fault
):
    @with_world(plain=2, runners=2)
    async def test(world):
        kind, headers = "p", {}
        if path == "/lookups/":
            kind, headers = "r", router_world.stream_headers()
        server = world.servers[f"{kind}0"]
        [router] = world.routers
        world.store.silent = True
        server.leaving = True
        if fault is not None:
            setattr(server, fault, 1)
        while not server.calls:
            await world.request(path, body=b"n", headers=headers)
        got = len(server.calls)
        other = router.view.servers.by_incarnation[f"{kind}1"]
        other.avoid_until = clocks.now() + 60.0
        for _ in range(4):
            await world.request(path, body=b"n", headers=headers)
        assert len(server.calls) == got

    test()


@with_world(plain=2, runners=1)
async def test_a_server_that_leaves_during_the_connect_gets_no_request(
    world,
):
    [router] = world.routers
    known = router.view.servers.by_incarnation
    request_task = await world.request_while_connecting("p0", "p1")
    router.notices.apply(known["p0"], answer(leaving=True))
    assert (await request_task).status == 200
    assert not world.servers["p0"].calls


@with_world(plain=2, runners=2)
async def test_a_report_with_a_leaving_header_ends_requests_to_its_runner(
    world,
):
    [router] = world.routers
    runner = world.servers["r0"]
    known = router.view.servers.by_incarnation["r0"]
    runner.leaving = True
    router.rechecks.recheck(known)
    await world.until(lambda: not router.rechecks.pending)
    assert known.is_leaving()


@with_world(plain=2, runners=2)
async def test_a_report_with_a_leaving_body_ends_requests_to_its_runner(world):
    """Guards against a missed notice that is only in a report's body."""
    [router] = world.routers
    known = router.view.servers.by_incarnation["r0"]
    world.servers["r0"].reports_leaving = True
    router.rechecks.recheck(known)
    await world.until(lambda: not router.rechecks.pending)
    assert known.is_leaving()


def rechecks_with(report_of):
    """Returns rechecks whose reports come from a function of the runner."""

    class Runners:

        async def report(self, runner):
            return report_of(runner)

    class Permits:

        async def acquire(self, backend):
            return server_permits.Permit(granted=True)

    return rechecks.Rechecks(
        runners=Runners(),
        permits=Permits(),
        lines=log_lines.Lines(counters=counters.Counters()),
    )


def test_a_late_report_does_not_bring_older_weights_back():
    """Guards against exclusion of a runner whose weights are new enough."""

    async def play():
        backend = backends.Backend(
            registration=attrs.evolve(REGISTRATION, weights={MODEL: 2})
        )
        late = rollouts.RunnerReport(
            weights={MODEL: 1}, loading=False, orders_taken=0
        )
        rechecked = rechecks_with(lambda runner: late)
        rechecked.recheck(backend)
        await asyncio.gather(*rechecked.pending.values())
        return backend.registration.weights

    assert asyncio.run(play()) == {MODEL: 2}


@with_world(plain=1, runners=2)
async def test_a_report_of_newer_weights_shows_that_they_were_named(world):
    """Guards against older weights used without end where no news arrive."""
    [router] = world.routers
    for name in ("weights", "servers"):
        router.kinds[name].close()
    world.servers["r0"].weights[MODEL] = 2
    router.rechecks.recheck(router.view.servers.by_incarnation["r0"])
    await world.until(lambda: router.view.wanted[MODEL].version == 2)


@with_world(plain=1, runners=2)
async def test_an_order_answer_with_a_leaving_header_ends_requests(
    world,
):
    [router] = world.routers
    known = router.view.servers.by_incarnation
    world.servers["r0"].leaving = True
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: known["r0"].is_leaving())
    await world.until(lambda: world.servers["r1"].weights[MODEL] == 2)
    assert not known["r1"].is_leaving()


def test_an_entry_that_says_ready_brings_no_leaving_server_back():
    servers, backend = leaving_server()
    servers.put(attrs.evolve(REGISTRATION, slots=9))
    assert not backend.usable(1.0)


def test_an_entry_that_lapsed_and_is_back_brings_no_leaving_server_back():
    servers, _ = leaving_server()
    servers.remove("s0")
    assert not servers.put(REGISTRATION).usable(1.0)


def test_an_answer_that_came_after_its_entry_lapsed_still_counts():
    servers = backends.Backends()
    before = servers.put(REGISTRATION)
    servers.remove("s0")
    present = servers.put(REGISTRATION)
    new_notices(servers).apply(before, answer(leaving=True))
    assert not present.usable(1.0)


def test_a_new_incarnation_of_a_server_that_left_is_used():
    servers, _ = leaving_server()
    present = servers.put(attrs.evolve(REGISTRATION, born=200))
    assert present.usable(1.0)


def test_a_notice_of_a_former_incarnation_is_not_applied():
    servers = backends.Backends()
    former = servers.put(REGISTRATION)
    present = servers.put(attrs.evolve(REGISTRATION, born=200))
    new_notices(servers).apply(former, answer(leaving=True))
    assert present.usable(1.0)


def test_a_leaving_notice_of_another_server_applies_to_that_one():
    servers = backends.Backends()
    requested = servers.put(REGISTRATION)
    other = servers.put(attrs.evolve(REGISTRATION, server="s1"))
    found = answer(status=421, not_run=True, leaving=True)
    new_notices(servers).apply(requested, found)
    assert not requested.is_leaving()
    assert not other.is_leaving()
    new_notices(servers).apply(requested, attrs.evolve(found, server="s1"))
    assert not requested.notice.leaving
    assert other.is_leaving()


def test_no_order_goes_to_a_runner_that_said_it_leaves():
    view = cluster_views.ClusterView(name="b", data_centre="a", started_at=0.0)
    view.set_wanted_version(MODEL, 2, 0.0)
    leaves = view.servers.put(REGISTRATION)
    stays = view.servers.put(attrs.evolve(REGISTRATION, server="s1"))
    new_notices(view.servers).apply(leaves, answer(leaving=True))
    rollout = rollouts.Rollout(view=view)
    assert rollout.behind(MODEL) == [stays]
