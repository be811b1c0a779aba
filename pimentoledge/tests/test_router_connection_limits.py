"""Routers that get more connections than they can serve."""

import asyncio
import time

from pimentoledge.routing import clocks
from pimentoledge.routing import connection_limits
from pimentoledge.routing import loop_loads
from pimentoledge.tests import router_world

with_world = router_world.with_world


class TestConnectionLimit:
    """Connections accepted by how busy the router is."""

    def _fill(self, limit, busy, now, most=1000):
        """Accepts connections until one is refused; returns their number."""
        for number in range(most):
            if not limit.accepts(number, busy, now):
                return number
        return most

    def test_all_connections_are_accepted_without_overload(self):
        limit = connection_limits.ConnectionLimit()
        for second in range(100):
            assert self._fill(limit, 0.4, second) == 1000

    def test_an_overloaded_router_accepts_fewer_than_it_has(self):
        limit = connection_limits.ConnectionLimit()
        limit.accepts(100, 1.0, 1.0)
        assert self._fill(limit, 1.0, 1.01) == 80

    def test_the_limit_falls_as_long_as_the_overload_lasts(self):
        """Guards against a limit above what the router can serve."""
        limit = connection_limits.ConnectionLimit()
        in_progress = 100
        for step in range(100):
            limit.accepts(in_progress, 1.0, 0.1 * step)
            in_progress = min(in_progress, int(limit.limit))
        assert limit.limit == connection_limits.MIN_LIMIT

    def test_the_limit_does_not_fall_for_what_kept_connections_need(self):
        """Guards against a router that stays nearly idle after an overload."""
        limit = connection_limits.ConnectionLimit()
        for step in range(100):
            limit.accepts(100, 1.0, 0.1 * step)
        assert limit.limit == 100 * connection_limits.FALL_FACTOR

    def test_the_limit_rises_while_the_router_has_time(self):
        """Guards against a router that stays at a limit that is too low."""
        limit = connection_limits.ConnectionLimit()
        limit.accepts(100, 1.0, 0.1)
        low = limit.limit
        for step in range(2, 40):
            limit.accepts(int(limit.limit) + 1, 0.1, 0.1 * step)
        assert limit.limit > 2 * low

    def test_the_limit_ends_with_the_overload(self):
        limit = connection_limits.ConnectionLimit()
        limit.accepts(10, 1.0, 1.0)
        later = 1.1 + connection_limits.FORGET_SECONDS
        assert self._fill(limit, 0.5, later) == 1000

    def test_some_connection_is_accepted_however_many_are_kept(self):
        """Guards against a ready router that accepts nothing for seconds."""
        limit = connection_limits.ConnectionLimit()
        accepted = [limit.accepts(500, 1.0, 0.01 * step) for step in range(500)]
        span = int(100 * connection_limits.MIN_INTERVAL_SECONDS) + 1
        assert all(
            any(accepted[begin : begin + span])
            for begin in range(len(accepted) - span)
        )


class TestLoopLoad:
    """The share of time that an event loop spends in long iterations."""

    def test_the_share_is_that_of_the_last_second(self):
        load = loop_loads.LoopLoad()
        for step in range(1, 11):
            load.add_iteration(0.1, 0.1 * step)
        assert load.late_share(1.05) > 0.8
        assert load.late_share(3.0) == 0.0

    def test_short_iterations_are_not_late(self):
        """Guards against connections refused by a busy router in time."""
        load = loop_loads.LoopLoad()
        for step in range(1, 101):
            load.add_iteration(0.01, 0.01 * step)
        assert load.late_share(1.0) == 0.0

    def test_one_long_iteration_is_no_overload(self):
        """Guards against connections refused for one large configuration."""
        load = loop_loads.LoopLoad()
        load.add_iteration(0.4, 1.0)
        assert load.late_share(1.1) < connection_limits.MAX_LATE

    def test_a_selector_observes_iterations(self):
        load = loop_loads.LoopLoad()
        selector = loop_loads.TimedSelector(load)
        selector.select(0.01)
        time.sleep(2 * loop_loads.LONG_SECONDS)
        selector.select(0.0)
        assert load.late_share(clocks.now()) > loop_loads.LONG_SECONDS
        selector.close()


async def _is_reset(client):
    """Returns whether a connection was closed without a response."""
    try:
        await client.open()
    except ConnectionError:
        return True
    client.send("/notices/", body=b"n")
    try:
        return not await client.reader.read(1)
    except ConnectionError:
        return True
    finally:
        client.close()


@with_world(routers=2, plain=2, runners=0)
async def test_an_overloaded_router_leaves_connections_to_the_others(world):
    """Guards against requests that a router reads and can't serve."""
    first, _ = world.routers
    first.listener.late_share = lambda now: 1.0
    first.connection_limit.accepts = lambda *_: False
    assert await _is_reset(world.client(0))
    assert (await world.request("/notices/", number=1)).status == 200
    assert not first.exchanges


@with_world(plain=2, runners=0)
async def test_kept_connections_are_served_by_an_overloaded_router(world):
    """Guards against clients cut off for the connections of others."""
    [router] = world.routers
    kept = world.client()
    await kept.open()
    assert (await kept.request("/notices/", body=b"1")).status == 200
    router.connection_limit.accepts = lambda *_: False
    assert await _is_reset(world.client())
    assert (await kept.request("/notices/", body=b"2")).status == 200
    kept.close()


@with_world(plain=2, runners=0)
async def test_an_overloaded_router_stays_ready(world):
    """Guards against a balancer that takes out a router that serves others."""
    [router] = world.routers
    router.listener.late_share = lambda now: 1.0
    router.connection_limit.limit = 0.0
    host, _, port = router.chosen.text("ready-listen").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()


@with_world(plain=2, runners=0)
async def test_without_overload_open_connections_are_not_counted(world):
    """Guards against a cost of each connection that grows with their number."""
    [router] = world.routers
    counts = []
    router.listener.in_progress = lambda: counts.append(1) or 0
    assert (await world.request("/notices/")).status == 200
    assert not counts
    router.listener.late_share = lambda now: 1.0
    assert (await world.request("/notices/")).status == 200
    assert counts
