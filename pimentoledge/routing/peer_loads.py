"""Load that other routers have reported at one server."""

import attrs


@attrs.frozen(kw_only=True)
class PeerLoad:
    """Another router's load at a server, from its last report.

    Attributes:
        open: requests that have not ended.
        unbegun: open requests without a first event.
        unread: prompt tokens of these that the server has not prefilled yet.
        tokens: memory of the open requests in tokens, or None if not reported.
    """

    open: int
    unbegun: int
    unread: int
    tokens: int | None = None


class PeerLoads:
    """The loads by router, and their sums.

    Each placement reads the sums at many servers, so they are kept rather than
    taken anew: else a placement would cost more with each router.

    Attributes:
        open: sum of their open requests.
        unbegun: sum of their open requests without a first event.
        unread: sum of the prompt tokens of these.
        sized: sum of the open requests whose memory was reported.
        tokens: sum of the memory of these.
    """

    def __init__(self):
        self.open = 0
        self.unbegun = 0
        self.unread = 0
        self.sized = 0
        self.tokens = 0
        self._loads: dict[str, PeerLoad] = {}

    def set(self, router: str, load: PeerLoad) -> None:
        """Replaces the load of a router, given its mailbox."""
        self.remove(router)
        self._loads[router] = load
        self._add(load, 1)

    def remove(self, router: str) -> None:
        """Removes the load of a router, if there is one."""
        load = self._loads.pop(router, None)
        if load is not None:
            self._add(load, -1)

    def _add(self, load: PeerLoad, sign: int) -> None:
        self.open += sign * load.open
        self.unbegun += sign * load.unbegun
        self.unread += sign * load.unread
        if load.tokens is not None:
            self.sized += sign * load.open
            self.tokens += sign * load.tokens
