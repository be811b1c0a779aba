"""What requests hold of a runner's memory."""

import attrs

from pimentoledge.routing import request_types

# Weight of the newest request in the mean: some fifty back still count.
NEWEST_WEIGHT = 0.02


def unshared_tokens(client_request: request_types.ClientRequest) -> int:
    """Returns the tokens of a request that no other request shares."""
    return (
        max(0, client_request.unshared_tokens()) + client_request.answer_tokens
    )


@attrs.define(kw_only=True)
class MeanTokens:
    """The mean of what a model's requests don't share.

    A runner tells how many requests it has and not what they hold; those of
    the other routers are taken to be like this one's.

    Attributes:
        tokens: the mean, or None before the first request.
    """

    tokens: float | None = None

    def mean(self) -> float:
        """Returns the mean; 0 before the first request."""
        return self.tokens or 0.0

    def note(self, tokens: int) -> None:
        """Takes a request."""
        if self.tokens is None:
            self.tokens = float(tokens)
        self.tokens += NEWEST_WEIGHT * (tokens - self.tokens)
