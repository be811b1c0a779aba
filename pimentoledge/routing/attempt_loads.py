"""What one attempt adds to what its server is believed to have."""

from pimentoledge.routing import backends
from pimentoledge.routing import first_events
from pimentoledge.routing import request_types
from pimentoledge.routing import wait_estimates


class AttemptLoad:
    """Counts an attempt at its server while it is open.

    Attributes:
        client_request: the request.
        backend: the server.
        dispatch: what is sent besides the request.
        prompt_read: whether the server has read the prompt.
    """

    def __init__(
        self,
        *,
        client_request: request_types.ClientRequest,
        backend: backends.Backend,
        dispatch: request_types.Dispatch,
    ):
        self.client_request = client_request
        self.backend = backend
        self.dispatch = dispatch
        self.prompt_read = False
        self._reading = 0
        self._unbegun = False
        self._ahead = 0
        self._sent = 0.0

    def start(self, speeds: wait_estimates.Speeds, now: float) -> None:
        """Takes that the request is being sent.

        Args:
            speeds: what first events have shown.
            now: the time.
        """
        backend = self.backend
        self._reading = self.dispatch.to_read
        self._ahead = int(
            wait_estimates.tokens_ahead(backend, self._reading, speeds, now)
        )
        self._sent = now
        if not backend.outstanding():
            backend.read_since = now
        backend.open += 1
        backend.unbegun += 1
        self._unbegun = True
        backend.unread_tokens += self._reading

    def note_first_event(
        self, found: first_events.FirstEventFit, now: float
    ) -> None:
        """Takes the first event: the server has read the prompt."""
        found.note(now - self._sent, self._reading + self._ahead)
        self.backend.read_since = now
        self.end_prompt_reading()

    def end_prompt_reading(self) -> None:
        """Notes that the server does not, or no longer, read the prompt."""
        self.backend.unbegun -= self._unbegun
        self._unbegun = False
        self.backend.unread_tokens -= self._reading
        self._reading = 0
        self.prompt_read = True

    def close(self) -> None:
        """Takes the end of the attempt."""
        self.end_prompt_reading()
        self.backend.open -= 1
