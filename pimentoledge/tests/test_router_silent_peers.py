"""Tests that silent connections between routers are reopened."""

import asyncio
import random

import pytest

from pimentoledge.routing import clocks
from pimentoledge.routing import watch_shares
from pimentoledge.tests import router_world

with_world = router_world.with_world
# Time limit for routers to reconnect after their connections went silent.
TOUCH_SECONDS = 3.0
# Time within which routers must know that a server leaves.
DRAIN_SECONDS = 2.0


class SilentSocket:
    """A socket whose connection stays open and loses all messages.

    Attributes:
        real: the socket that it replaces.
    """

    def __init__(self, real):
        self.real = real

    def send(self, data, block):
        """Drops a message."""

    def close(self):
        """Closes the connection."""
        self.real.close()


def silence(router):
    """Makes all connections that a router has opened drop their messages."""
    for peer in router.peers._mailbox.peers.values():
        peer.socket = SilentSocket(peer.socket)


def all_connected(world, since):
    """Returns whether all routers got heartbeats of all others since a time."""
    return all(
        sum(
            peer.last_heard_at > since
            for peer in each.peers.roster.known.values()
        )
        == len(world.routers) - 1
        for each in world.routers
    )


@pytest.mark.parametrize("both", [True, False])
def test_routers_reconnect_after_connections_went_silent(both):
    """Guards against routers that each count themselves as the whole fleet."""

    @with_world(routers=3, plain=1, runners=0)
    async def test(world):
        began = clocks.now()
        await world.until(lambda: all_connected(world, began))
        for each in world.routers if both else world.routers[:1]:
            silence(each)
        later = clocks.now() + 0.1
        await world.until(
            lambda: all_connected(world, later), seconds=TOUCH_SECONDS
        )

    test()


@with_world(routers=2, plain=1, runners=0)
async def test_working_connections_stay_open(world):
    """Guards against connections that are reopened without a reason."""
    began = clocks.now()
    await world.until(lambda: all_connected(world, began))
    boxes = [each.peers._mailbox for each in world.routers]
    before = [
        {name: peer.generation for name, peer in box.peers.items()}
        for box in boxes
    ]
    later = clocks.now() + 4.0
    await world.until(lambda: clocks.now() > later, seconds=6.0)
    after = [
        {name: peer.generation for name, peer in box.peers.items()}
        for box in boxes
    ]
    assert after == before


@with_world(routers=13, plain=2, runners=1)
async def test_followers_know_of_changes_after_connections_went_silent(world):
    """Guards against routers that follow watchers they no longer hear."""
    await world.until(
        lambda: sum(each.peers.replicator.follows() for each in world.routers)
        >= len(world.routers) - watch_shares.STANDBYS,
        seconds=15,
    )
    for each in random.sample(world.routers, 9):
        silence(each)
    await asyncio.sleep(TOUCH_SECONDS)
    world.store.put("config", "main", router_world.configuration(9))
    world.write_registration(world.servers["p0"], leaving=True)
    await world.until(
        lambda: all(
            each.view.configuration.version == 9
            and each.view.servers.by_server["p0"].is_leaving()
            for each in world.routers
        ),
        seconds=DRAIN_SECONDS,
    )
