"""Ids of requests that may run only once."""

import collections

# Ids that a router keeps, of some 200 bytes each.
MAX_IDS = 20000
# A balancer or a client library repeats a request within this time after its
# deadline at the latest.
KEPT_SECONDS = 5.0


class ClaimedRequests:
    """Recognises a request that arrives again under the same id.

    An organisation can't claim the ids of another one.
    """

    def __init__(self):
        self._until: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def claim(
        self, organisation: str, request: str, deadline: float, now: float
    ) -> bool:
        """Claims an id; returns whether it was free.

        Args:
            organisation: name of the organisation, or "".
            request: the id.
            deadline: deadline of the request, in seconds of clocks.now.
            now: the time.
        """
        key = organisation, request
        if now < self._until.get(key, now):
            return False
        self._until[key] = deadline + KEPT_SECONDS
        self._until.move_to_end(key)
        while len(self._until) > MAX_IDS:
            self._until.popitem(last=False)
        return True

    def release(self, organisation: str, request: str) -> None:
        """Frees the id of a request that no server has run."""
        self._until.pop((organisation, request), None)

    def expire(self, now: float) -> None:
        """Frees ids whose time has passed."""
        for key, until in list(self._until.items()):
            if now >= until:
                del self._until[key]
