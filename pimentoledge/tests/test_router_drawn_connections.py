"""Draws what servers send on connections that carry several requests."""

from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentoledge.tests import scripted_connections

MOST_EXCHANGES = 6
CI_EXAMPLES = 300
# Shrinking would take minutes: many variants wait for a response in vain.
NO_SHRINKING = (Phase.explicit, Phase.generate)


def mostly(usual, rare):
    """Draws the usual value in about two of three cases."""
    return strategies.one_of(
        strategies.just(usual), strategies.just(usual), rare
    )


def rarely(usual, rare):
    """Draws the usual value in about eight of nine cases."""
    return mostly(usual, mostly(usual, rare))


responses = strategies.builds(
    scripted_connections.Response,
    status=strategies.sampled_from([200, 500, 204, 304]),
    framing=mostly(
        scripted_connections.Framing.LENGTH,
        strategies.sampled_from(scripted_connections.Framing),
    ),
    filler=mostly(0, strategies.sampled_from([1, 40, 5000])),
    length_error=rarely(0, strategies.integers(-6, 6)),
    id_first=strategies.booleans(),
    interim=mostly(
        (), strategies.sampled_from([(100,), (103, 102), (102, 100, 103)])
    ),
    head_body=strategies.booleans(),
    closes=rarely(False, strategies.booleans()),
)
extras = strategies.one_of(
    strategies.builds(
        scripted_connections.Extra,
        moment=mostly(
            scripted_connections.Moment.AWAITED,
            strategies.sampled_from(scripted_connections.Moment),
        ),
        response=responses,
        names=mostly(2, strategies.integers(0, 3)),
        cut=strategies.none() | strategies.integers(1, 150),
    ),
    strategies.builds(
        scripted_connections.Extra,
        moment=strategies.sampled_from(scripted_connections.Moment),
        response=strategies.none(),
        raw=strategies.sampled_from(
            [
                b"\r\n",
                b"0\r\n\r\n",
                b"HTTP/1.1 100 Continue\r\n\r\n",
                b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n",
            ]
        )
        | strategies.binary(min_size=1, max_size=8),
    ),
)
exchanges = strategies.builds(
    scripted_connections.Exchange,
    request=strategies.sampled_from(["a", "b", "c"]),
    method=mostly(b"POST", mostly(b"GET", strategies.just(b"HEAD"))),
    response=responses,
    extras=strategies.just(())
    | strategies.lists(extras, min_size=1, max_size=2).map(tuple),
    end=rarely(
        scripted_connections.End.KEEP,
        strategies.sampled_from(scripted_connections.End),
    ),
    cut=rarely(None, strategies.integers(0, 200)),
    speaks_first=rarely(False, strategies.booleans()),
    pieces=mostly(
        (4096,),
        strategies.lists(
            strategies.integers(20, 200), min_size=1, max_size=3
        ).map(tuple),
    ),
)


@settings(
    max_examples=max(CI_EXAMPLES, settings.default.max_examples),
    phases=NO_SHRINKING,
)
@given(strategies.lists(exchanges, min_size=2, max_size=MOST_EXCHANGES))
def test_each_request_gets_the_whole_response_to_it_or_none(drawn):
    """Guards against bytes of one exchange in the response to another."""
    scripted_connections.play(drawn)
