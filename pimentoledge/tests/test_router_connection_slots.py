"""The number of connections that clients may open."""

import asyncio
import contextlib

from hypothesis import given
from hypothesis import strategies
import pytest

from pimentoledge.routing import connection_slots
from pimentoledge.tests import router_world

with_world = router_world.with_world


class _Connection:

    def __init__(self, slots, idle_since, served, busy):
        self.slots = slots
        self.idle_since = idle_since
        self.served = served
        self.busy = busy
        slots.connections.add(self)

    def is_busy(self):
        return self.busy

    def abort(self):
        assert not self.busy
        self.slots.connections.discard(self)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=12,
    )
)
def test_the_oldest_unserved_connection_makes_room_first(drawn):
    """Guards against requests in progress that end for silent clients."""
    slots = connection_slots.ConnectionSlots(maximum=1)
    connections = [_Connection(slots, *each) for each in drawn]
    idle = [each for each in connections if not each.busy]
    while slots.make_room():
        [ended] = [each for each in idle if each not in slots.connections]
        idle.remove(ended)
        assert not any(
            (each.served, each.idle_since) < (ended.served, ended.idle_since)
            for each in idle
        )
    assert not idle
    assert slots.connections == {each for each in connections if each.busy}


@pytest.mark.parametrize(
    ("descriptors", "clients", "pages"),
    [(4200, 2520, 64), (1024, 614, 51), (300, 180, 15), (64, 38, 8)],
)
def test_most_descriptors_are_for_clients_and_some_are_not(
    descriptors, clients, pages
):
    assert connection_slots.client_connections_of(descriptors) == clients
    assert connection_slots.page_connections_of(descriptors) == pages


@with_world(plain=1, runners=0)
async def test_silent_clients_keep_nobody_out(world):
    """Guards against connections that stay open up to the limit."""
    [router] = world.routers
    router.client_slots.maximum = 5
    kept = world.client()
    await kept.open()
    assert (await kept.request("/notices/")).status == 200
    silent = [world.client() for _ in range(12)]
    for client in silent:
        await client.open()
    assert (await world.request("/notices/")).status == 200
    assert len(router.client_slots.connections) <= 5
    assert (await kept.request("/notices/")).status == 200
    for client in [kept, *silent]:
        client.close()


@with_world(plain=1, runners=0)
async def test_busy_connections_are_not_ended_for_new_ones(world):
    """Guards against requests in progress that end for new connections."""
    [router] = world.routers
    router.client_slots.maximum = 2
    for server in world.servers.values():
        server.work_seconds = 0.5
    busy = [asyncio.ensure_future(world.request("/cards/")) for _ in "ab"]
    await world.until(lambda: len(router.exchanges) == 2)
    # It is reset, while it is opened or after.
    with contextlib.suppress(ConnectionError):
        assert (await world.request("/notices/")).status is None
    assert [(await each).status for each in busy] == [200, 200]
    assert (await world.request("/notices/")).status == 200
