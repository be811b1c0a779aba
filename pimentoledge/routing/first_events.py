"""How long the tokens that a runner has yet to read keep a first event."""

import attrs

# What a stream weighs after one more: some fifty back still count, ten to
# twenty seconds at a router that begins a few streams a second.
DECAY = 0.98
# First guesses: engines read 32 to 157 tokens in a ms, between steps of 4 to 7
# ms; a prompt that is all kept has its first event after some 0.09 s.
FIRST_BASE_SECONDS = 0.09
FIRST_TOKEN_SECONDS = 3e-5
# Streams that the first guess counts for, at none and at so many tokens.
GUESS_WEIGHT = 2.0
GUESS_TOKENS = 10000.0
# Engines five times as fast, and five times as slow, as any that was measured.
MIN_TOKEN_SECONDS = 1e-6
MAX_TOKEN_SECONDS = 2.5e-4
# One first event counts for so many times what was expected at most.
MAX_OUTLIER_FACTOR = 4.0


@attrs.define(kw_only=True)
class FirstEventFit:
    """A line through first events, by the tokens to read before each.

    Least squares, in which older streams count less and a first guess always
    counts a little: without it a few streams of one length would leave the
    line's slope to chance.

    Attributes:
        weight: sum of the streams' weights.
        tokens: sum of the tokens to read, weighted.
        seconds: sum of the times to the first event, weighted.
        squares: sum of the tokens' squares, weighted.
        products: sum of tokens times seconds, weighted.
    """

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    @property
    def token_seconds(self) -> float:
        """Seconds for each token that is to be read before a first event."""
        return self._line()[1]

    def expected_seconds(self, tokens: int) -> float:
        """Returns the expected time to a first event.

        Args:
            tokens: that the runner reads before it.
        """
        base, each = self._line()
        return base + each * tokens

    def note(self, first_seconds: float, tokens: int) -> None:
        """Takes a first event.

        Args:
            first_seconds: from sending the request until it came.
            tokens: that the runner was believed to read before it.
        """
        most = MAX_OUTLIER_FACTOR * self.expected_seconds(tokens)
        found = min(first_seconds, most)
        self.weight = DECAY * self.weight + 1
        self.tokens = DECAY * self.tokens + tokens
        self.seconds = DECAY * self.seconds + found
        self.squares = DECAY * self.squares + tokens * tokens
        self.products = DECAY * self.products + tokens * found

    def _line(self) -> tuple[float, float]:
        """Returns the line's value at no tokens, and its slope."""
        far = FIRST_BASE_SECONDS + GUESS_TOKENS * FIRST_TOKEN_SECONDS
        weight = self.weight + 2 * GUESS_WEIGHT
        tokens = self.tokens + GUESS_WEIGHT * GUESS_TOKENS
        seconds = self.seconds + GUESS_WEIGHT * (FIRST_BASE_SECONDS + far)
        squares = self.squares + GUESS_WEIGHT * GUESS_TOKENS**2
        products = self.products + GUESS_WEIGHT * GUESS_TOKENS * far
        slope = (weight * products - tokens * seconds) / (
            weight * squares - tokens**2
        )
        slope = min(MAX_TOKEN_SECONDS, max(MIN_TOKEN_SECONDS, slope))
        return max(0.0, (seconds - slope * tokens) / weight), slope
