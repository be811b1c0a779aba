"""Finds how many requests a server takes well, by a latency gradient."""

import attrs

from pimentoledge.routing.server_speeds import observations
from pimentoledge.routing.server_speeds import paces

# Least limit: a server with fewer requests wastes its steps.
MIN_LIMIT = 4.0
# Events and time of one comparison.
WINDOW_EVENTS = 10
WINDOW_SECONDS = 0.5
# Growth of latency beyond the service's line that counts as too much. Chunks
# of prompts let the time between events vary by less.
TOLERANCE = 1.5
# Factor on the limit after a comparison with too much growth.
DECREASE = 0.9
# Growth of the limit after one without, as a share of it.
INCREASE = 0.1
# Without comparisons for this long, the limit grows by RISE a second. A server
# short of slots gets no requests, so no comparison would ever raise it.
RISE_AFTER_SECONDS = 1.0
RISE = 0.1
# Growth stops after this time: it exceeds any number of slots by then.
MAX_RISE_SECONDS = 100.0
# Weight of the newest comparison in the latency at few requests.
FEW_WEIGHT = 0.2
# Half-life of that latency while it has grown though the requests are fewer:
# the server has become slower, which a lower limit doesn't change.
SLOWED_HALF_LIFE_SECONDS = 10.0
# The same at more requests. With a short one, the limit of a server that slows
# down from a third of its slots rises to all of them time and again.
MORE_HALF_LIFE_SECONDS = 300.0


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """The number of requests that a server takes well.

    The latency at the present number of requests is compared with that at few.
    It may grow as the service's line does, but no faster than the requests:
    beyond that more requests make fewer events. Latencies are multiples of the
    line, so that one that grows at all servers at once lowers no limit.

    Attributes:
        pace: the line of the service.
        value: the limit, or None while it is the number of slots.
        few_running: requests at which `few_ratio` was observed.
        few_ratio: time between events at few requests, as a multiple of the
            line; 0 if unknown.
        few_usual: the same at the VM's usual speed.
        compared_at: time of the last comparison.
    """

    pace: paces.ServicePace
    value: float | None = None
    few_running: float = 0.0
    few_ratio: float = 0.0
    few_usual: float = 0.0
    compared_at: float = 0.0
    _events: int = 0
    _running: float = 0.0
    _seconds: float = 0.0
    _usual: float = 0.0
    _since: float = 0.0

    def note(
        self,
        seconds: float,
        running: float,
        slots: int,
        now: float,
        slowdown: float = 1.0,
    ) -> None:
        """Adds a time between two events.

        Args:
            seconds: the time.
            running: number of requests at the server.
            slots: number of its slots.
            now: the time.
            slowdown: slowdown that the server's VM reports.
        """
        line = self.pace.gap_seconds(running)
        if line:
            seconds = min(seconds, observations.MAX_OUTLIER_FACTOR * line)
        if not self._events:
            self._since = now
        self._events += 1
        self._running += running
        self._seconds += seconds
        self._usual += seconds / slowdown
        if self._events < WINDOW_EVENTS or now - self._since < WINDOW_SECONDS:
            return
        mean_running = max(1.0, self._running / self._events)
        mean_seconds = self._seconds / self._events
        mean_usual = self._usual / self._events
        self._events = 0
        self._running = self._seconds = self._usual = 0.0
        if mean_seconds > 0:
            self._compare(mean_seconds, mean_usual, mean_running, slots, now)

    def _compare(
        self,
        seconds: float,
        usual: float,
        running: float,
        slots: int,
        now: float,
    ) -> None:
        line = self.pace.gap_seconds(running)
        if not line:
            return
        ratio, usual_ratio = seconds / line, usual / line
        if not self.few_ratio:
            self.few_running, self.few_ratio = running, ratio
            self.few_usual = usual_ratio
        is_least = running <= MIN_LIMIT + 1
        most_growth = self._most_growth(running, line)
        # A VM that became slow lowers no limit, nor does a false report.
        growth = min(ratio / self.few_ratio, usual_ratio / self.few_usual)
        grown = not is_least and growth > most_growth
        limit = self.limit(slots, now)
        elapsed = max(0.0, now - self.compared_at)
        self.compared_at = now
        if grown:
            self.value = max(MIN_LIMIT, DECREASE * limit)
        else:
            self.value = limit + max(1.0, INCREASE * limit)
            if self.value >= slots:
                self.value = None
        few = is_least or (running <= self.few_running and not grown)
        share = FEW_WEIGHT
        if not few:
            half_life = (
                SLOWED_HALF_LIFE_SECONDS
                if running <= self.few_running - 1
                else MORE_HALF_LIFE_SECONDS
            )
            share = 1 - 0.5 ** (elapsed / half_life)
        self.few_running += share * (running - self.few_running)
        self.few_ratio += share * (ratio - self.few_ratio)
        self.few_usual += share * (usual_ratio - self.few_usual)

    def _most_growth(self, running: float, line: float) -> float:
        """Returns the growth beyond the line up to which the limit rises."""
        requests = max(TOLERANCE, running / self.few_running)
        return max(TOLERANCE, requests * self._few_line() / line)

    def _few_line(self) -> float:
        return self.pace.gap_seconds(self.few_running) or 0.0

    def limit(self, slots: int, now: float) -> float:
        """Returns the number of requests that the server takes well."""
        if self.value is None:
            return slots
        idle = now - self.compared_at - RISE_AFTER_SECONDS
        idle = min(MAX_RISE_SECONDS, max(0.0, idle))
        return min(slots, self.value * (1 + RISE) ** idle)
