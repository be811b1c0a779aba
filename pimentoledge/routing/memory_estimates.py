"""Estimates of the runner memory that requests use."""

import attrs

from pimentoledge.routing import request_types

# Weight of the newest request in the moving mean, an effective window of about
# 50 requests.
NEWEST_WEIGHT = 0.02


def unshared_tokens(client_request: request_types.ClientRequest) -> int:
    """Returns the prompt and answer tokens that no other request shares."""
    return (
        max(0, client_request.unshared_tokens()) + client_request.answer_tokens
    )


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
