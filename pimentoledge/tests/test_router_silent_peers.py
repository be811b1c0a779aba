"""Connections between routers that go silent are opened anew."""

import pytest

from pimentoledge.routing import clocks
from pimentoledge.tests import router_world

played = router_world.played
# Within this routers that were cut off from each other count as in touch.
TOUCH_SECONDS = 3.0


class Silent:
    """A socket whose connection stands and carries nothing.

    Attributes:
        real: the socket that it stands for.
    """

    def __init__(self, real):
        self.real = real

    def send(self, data, block):
        """Loses a message."""

    def close(self):
        """Closes the connection."""
        self.real.close()


def silence(router):
    """Lets all connections that a router has opened go silent for good."""
    for peer in router.peers._mailbox.peers.values():
        peer.socket = Silent(peer.socket)


def hear_each_other(world, since):
    """Returns whether all routers have heard all others since a time."""
    return all(
        sum(
            peer.last_heard_at > since
            for peer in each.peers.roster.known.values()
        )
        == len(world.routers) - 1
        for each in world.routers
    )


@pytest.mark.parametrize("both", [True, False])
def test_routers_hear_each_other_again_after_connections_fell_silent(both):
    """Guards against routers that count themselves as all, each for itself."""

    @played(routers=3, plain=1, runners=0)
    async def test(world):
        began = clocks.now()
        await world.until(lambda: hear_each_other(world, began))
        for each in world.routers if both else world.routers[:1]:
            silence(each)
        later = clocks.now() + 0.1
        await world.until(
            lambda: hear_each_other(world, later), seconds=TOUCH_SECONDS
        )

    test()


@played(routers=2, plain=1, runners=0)
async def test_connections_that_are_heard_stay_open(world):
    """Guards against connections opened anew without a reason."""
    began = clocks.now()
    await world.until(lambda: hear_each_other(world, began))
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
