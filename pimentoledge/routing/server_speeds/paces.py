"""The pace of a service's streams: time between events, tokens per event."""

import attrs

# Factor applied to an event's weight by each later one: an effective window
# of some 2,000 events, or 10 s at 200 events a second.
DECAY = 0.9995
# Events before the line counts as known, about one short stream.
MIN_EVENTS = 30
# Assumed growth of the time between events by each running request, as a
# share of the time at an idle server, and the variance of the number of
# running requests that this assumption is worth. Without it, the slope would
# be undetermined while all servers run equally many.
GUESS_SLOPE = 0.03
GUESS_VARIANCE = 4.0
# The line is computed again after this many events.
REFRESH_EVENTS = 20
# Assumed tokens of an event before a stream has ended, and the weight of the
# assumption in tokens.
GUESS_EVENT_TOKENS = 7.0
GUESS_TOKENS = 300.0
# Factor applied to a stream's weight by each later one.
STREAM_DECAY = 0.98
# Servers observed within this time count for the mean factor, which is
# computed again at the interval.
RECENT_SECONDS = 3.0
MEAN_INTERVAL_SECONDS = 0.25


@attrs.define(kw_only=True)
class ServicePace:
    """A line of the time between two events over the running requests.

    A step of a server takes a base and a time for each running request, so
    their number decides how long a stream takes. The line is that of a server
    of the service's mean speed.

    Attributes:
        weight: sum of the events' weights.
        running: weighted sum of the running requests.
        seconds: weighted sum of the times between events.
        squares: weighted sum of the squared running requests.
        products: weighted sum of running requests times seconds.
        events: weighted sum of the events of ended streams.
        tokens: weighted sum of the tokens that these might have had.
        line: time between events at an idle server and for each running
            request, in seconds, or None if unknown.
    """

    weight: float = 0.0
    running: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0
    events: float = GUESS_TOKENS / GUESS_EVENT_TOKENS
    tokens: float = GUESS_TOKENS
    line: tuple[float, float] | None = None
    _unused: int = 0
    _factors: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    _mean_factor: float = 1.0
    _mean_until: float = float("-inf")

    def note_gap(self, seconds: float, running: float) -> None:
        """Adds the time between two events of a server of mean speed.

        Args:
            seconds: the time.
            running: number of requests at the server.
        """
        self.weight = DECAY * self.weight + 1
        self.running = DECAY * self.running + running
        self.seconds = DECAY * self.seconds + seconds
        self.squares = DECAY * self.squares + running * running
        self.products = DECAY * self.products + running * seconds
        self._unused += 1
        if self.weight >= MIN_EVENTS and (
            self.line is None or self._unused >= REFRESH_EVENTS
        ):
            self._unused = 0
            self.line = self._fit()

    def note_observed_gap(
        self,
        seconds: float,
        running: float,
        *,
        server: int,
        factor: float,
        now: float,
    ) -> None:
        """Adds the time between two events of a server.

        Factors are relative to the line. Divided by its server's factor alone,
        a time would confirm any level of the line; the mean of the factors
        corrects the level.

        Args:
            seconds: the time.
            running: number of requests at the server.
            server: identifies the server.
            factor: the server's factor.
            now: the time.
        """
        self._factors[server] = factor, now
        if now >= self._mean_until:
            self._mean_until = now + MEAN_INTERVAL_SECONDS
            self._factors = {
                key: (each, at)
                for key, (each, at) in self._factors.items()
                if now - at <= RECENT_SECONDS
            }
            total = sum(each for each, _ in self._factors.values())
            self._mean_factor = total / len(self._factors)
        self.note_gap(seconds * self._mean_factor / factor, running)

    def _fit(self) -> tuple[float, float]:
        """Returns the time at an idle server and the time per request."""
        running = self.running / self.weight
        seconds = self.seconds / self.weight
        variance = max(0.0, self.squares / self.weight - running**2)
        covariance = self.products / self.weight - running * seconds
        guess = GUESS_SLOPE * seconds / (1 + GUESS_SLOPE * running)
        slope = (covariance + GUESS_VARIANCE * guess) / (
            variance + GUESS_VARIANCE
        )
        slope = min(max(0.0, slope), seconds / max(1.0, running))
        return seconds - slope * running, slope

    def gap_seconds(self, running: float) -> float | None:
        """Returns the expected time between events, or None if unknown."""
        if self.line is None:
            return None
        base, slope = self.line
        return base + slope * running

    def mean_seconds(self) -> float:
        """Returns the mean time between events; 0 if unknown."""
        return self.seconds / self.weight if self.weight else 0.0

    def note_stream(self, events: int, answer_tokens: int) -> None:
        """Adds a complete stream's events and maximum of tokens."""
        if not answer_tokens:
            return
        self.events = STREAM_DECAY * self.events + events
        self.tokens = STREAM_DECAY * self.tokens + answer_tokens

    def expected_events(self, answer_tokens: int) -> float:
        """Returns the expected number of events of an answer."""
        return answer_tokens * self.events / self.tokens
