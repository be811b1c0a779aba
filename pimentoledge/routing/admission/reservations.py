"""Places given to requests that are not sent yet."""

from pimentoledge.routing import backends


class Reservation:
    """Counts a request at its server until it is sent.

    A permit and a connection take up to a second. Without the reservation, all
    requests that wait would get the same place meanwhile.

    Attributes:
        backend: the server.
        tokens: prompt tokens that it will have to prefill.
    """

    def __init__(self, *, backend: backends.Backend, tokens: int):
        self.backend = backend
        self.tokens = tokens
        self._held = True
        backend.reserved += 1
        backend.reserved_tokens += tokens

    def release(self) -> None:
        """Ends the reservation, if it is in effect."""
        if self._held:
            self._held = False
            self.backend.reserved -= 1
            self.backend.reserved_tokens -= self.tokens
