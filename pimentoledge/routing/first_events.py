"""Estimates the time to a first event from the tokens to prefill."""

import attrs

# Factor applied to a stream's weight by each later one: an effective window of
# about 50 streams, or 10 to 20 seconds at a few streams a second.
DECAY = 0.98
# Initial estimates: engines prefill 32 to 157 tokens a ms, between decode steps
# of 4 to 7 ms; a fully cached prompt has its first event after about 0.09 s.
FIRST_BASE_SECONDS = 0.09
FIRST_TOKEN_SECONDS = 3e-5
# Weight of the initial estimate in streams, at zero and at GUESS_TOKENS tokens.
GUESS_WEIGHT = 2.0
GUESS_TOKENS = 10000.0
# Bounds of the estimate: five times as fast and five times as slow as any known
# engine.
MIN_TOKEN_SECONDS = 1e-6
MAX_TOKEN_SECONDS = 2.5e-4
# A first event is capped at this multiple of the expected time, so that one
# stalled stream does not distort the estimate.
MAX_OUTLIER_FACTOR = 4.0


@attrs.define(kw_only=True)
class FirstEventFit:
    """A linear fit of time to first event against tokens to prefill.

    Uses weighted least squares with exponential decay of older streams. The
    initial estimate keeps a constant weight: without it, a few streams of the
    same length would leave the slope undetermined.

    Attributes:
        weight: sum of the streams' weights.
        tokens: weighted sum of the tokens to prefill.
        seconds: weighted sum of the times to the first event.
        squares: weighted sum of the squared tokens.
        products: weighted sum of tokens times seconds.
    """

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    @property
    def token_seconds(self) -> float:
        """Time for each token to prefill before a first event, in seconds."""
        return self._line()[1]

    def expected_seconds(self, tokens: int) -> float:
        """Returns the expected time to a first event, in seconds.

        Args:
            tokens: tokens that the runner prefills before it.
        """
        base, slope = self._line()
        return base + slope * tokens

    def note(self, first_seconds: float, tokens: int) -> None:
        """Adds a first event to the fit.

        Args:
            first_seconds: time from sending the request to its first event.
            tokens: estimated tokens that the runner prefilled before it.
        """
        max_seconds = MAX_OUTLIER_FACTOR * self.expected_seconds(tokens)
        capped = min(first_seconds, max_seconds)
        self.weight = DECAY * self.weight + 1
        self.tokens = DECAY * self.tokens + tokens
        self.seconds = DECAY * self.seconds + capped
        self.squares = DECAY * self.squares + tokens * tokens
        self.products = DECAY * self.products + tokens * capped

    def _line(self) -> tuple[float, float]:
        """Returns the time at zero tokens and the time per token."""
        guess_seconds = FIRST_BASE_SECONDS + GUESS_TOKENS * FIRST_TOKEN_SECONDS
        weight = self.weight + 2 * GUESS_WEIGHT
        tokens = self.tokens + GUESS_WEIGHT * GUESS_TOKENS
        seconds = self.seconds + GUESS_WEIGHT * (
            FIRST_BASE_SECONDS + guess_seconds
        )
        squares = self.squares + GUESS_WEIGHT * GUESS_TOKENS**2
        products = self.products + GUESS_WEIGHT * GUESS_TOKENS * guess_seconds
        slope = (weight * products - tokens * seconds) / (
            weight * squares - tokens**2
        )
        slope = min(MAX_TOKEN_SECONDS, max(MIN_TOKEN_SECONDS, slope))
        return max(0.0, (seconds - slope * tokens) / weight), slope
