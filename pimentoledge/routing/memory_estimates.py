"""Estimates of the runner memory that requests use."""

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import request_types

# Weight of the newest request in the moving mean, an effective window of about
# 50 requests.
NEWEST_WEIGHT = 0.02


def unshared_tokens(client_request: request_types.ClientRequest) -> int:
    """Returns the prompt and answer tokens that no other request shares."""
    return (
        max(0, client_request.unshared_tokens()) + client_request.answer_tokens
    )


def known_requests(backend: backends.Backend) -> int:
    """Returns a server's open requests whose memory is known."""
    return backend.open + backend.peer_loads.sized


def known_tokens(backend: backends.Backend) -> int:
    """Returns the memory of these requests, in tokens."""
    return backend.open_tokens + backend.peer_loads.tokens


def held_tokens(
    backend: backends.Backend, requests: float, mean: float
) -> float:
    """Returns the estimated memory in use at a runner, in tokens.

    The number of requests times their mean would be wrong where few of them
    are long: the mean of many short and few long ones makes 30 short requests
    look like a full memory.

    Args:
        backend: the runner.
        requests: estimated requests there.
        mean: mean tokens of the requests that no router has reported.
    """
    unknown = max(0.0, requests - known_requests(backend))
    return known_tokens(backend) + mean * unknown


@attrs.define(kw_only=True)
class MeanTokens:
    """A moving mean of the unshared tokens of a model's requests.

    Runners report their number of requests but not their sizes, so requests of
    other routers are assumed to be the same size as this router's.

    Attributes:
        tokens: the mean, or None before the first request.
    """

    tokens: float | None = None

    def mean(self) -> float:
        """Returns the mean; 0 before the first request."""
        return self.tokens or 0.0

    def note(self, tokens: int) -> None:
        """Adds the unshared tokens of a request to the mean."""
        if self.tokens is None:
            self.tokens = float(tokens)
        self.tokens += NEWEST_WEIGHT * (tokens - self.tokens)
