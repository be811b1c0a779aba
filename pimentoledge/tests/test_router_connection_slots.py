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
    ("descriptors", "memory_mb", "clients", "pages"),
    [
        (4200, 0, 1890, 64),
        (4200, 300, 1890, 64),
        (4200, 150, 1250, 64),
        (1024, 0, 460, 51),
        (300, 150, 135, 15),
        (64, 0, 28, 8),
    ],
)
def test_clients_leave_descriptors_and_memory_free(
    descriptors, memory_mb, clients, pages
):
    """Guards against connections that leave nothing for requests."""
    found = connection_slots.client_connections_of(descriptors, memory_mb)
    assert found == clients
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
