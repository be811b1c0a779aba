"""The sums of other routers' loads at a server."""

from hypothesis import given
from hypothesis import strategies

from pimentoledge.routing import peer_loads

NUMBERS = strategies.integers(0, 9)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.none() | strategies.tuples(NUMBERS, NUMBERS, NUMBERS),
        )
    )
)
def test_the_sums_are_those_of_the_newest_loads(changes):
    """Guards against servers that seem busy with what has ended."""
    known = peer_loads.PeerLoads()
    newest = {}
    for router, numbers in changes:
        newest.pop(router, None)
        if numbers is None:
            known.remove(router)
            continue
        newest[router] = numbers
        open_, unbegun, unread = numbers
        known.set(
            router,
            peer_loads.PeerLoad(open=open_, unbegun=unbegun, unread=unread),
        )
    sums = [sum(each) for each in zip(*newest.values(), strict=True)]
    assert [known.open, known.unbegun, known.unread] == (sums or [0, 0, 0])
