"""Counts of refusals by organisation in bounded memory."""

# Organisations that are counted. Any with more than a hundredth of all recent
# refusals is among them.
MAX_COUNTED = 100
# Counts are halved at this interval, so that the newest trouble is shown.
HALVING_SECONDS = 60.0


class RefusalCounts:
    """Finds the organisations with most recent refusals.

    An organisation that is not counted replaces the one with fewest refusals
    and takes over its count (space saving): counts may be too high, never too
    low.
    """

    def __init__(self):
        self._counts: dict[str, float] = {}
        self._next_halving = 0.0

    def add(self, organisation: str, now: float) -> None:
        """Counts a refusal."""
        self._halve(now)
        count = self._counts.get(organisation, 0.0)
        if not count and len(self._counts) >= MAX_COUNTED:
            least = min(self._counts, key=self._counts.get)
            count = self._counts.pop(least)
        self._counts[organisation] = count + 1

    def largest(self, number: int, now: float) -> dict[str, float]:
        """Returns the largest counts by organisation."""
        self._halve(now)
        ordered = sorted(self._counts.items(), key=lambda each: -each[1])
        return dict(ordered[:number])

    def _halve(self, now: float) -> None:
        if not self._counts:
            self._next_halving = now + HALVING_SECONDS
        while self._counts and now >= self._next_halving:
            self._next_halving += HALVING_SECONDS
            self._counts = {
                name: count / 2
                for name, count in self._counts.items()
                if count >= 1
            }
