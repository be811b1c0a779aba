"""Accounts for the load of one attempt at its server."""

from pimentoledge.routing import backends
from pimentoledge.routing import first_events
from pimentoledge.routing import request_types
from pimentoledge.routing import wait_estimates
from pimentoledge.routing.fair_shares import organisation_shares
from pimentoledge.routing.fair_shares import share_counters


class AttemptLoad:
    """Adds an attempt to the load of its server while it is open.

    Attributes:
        client_request: the client's request.
        backend: the server.
        dispatch: routing data sent along with the request.
        fair_shares: counts what organisations receive; None where load control
            is not in effect.
        work: what the request takes of its service.
        prompt_read: whether the prefill has finished or was given up.
    """

    def __init__(
        self,
        *,
        client_request: request_types.ClientRequest,
        backend: backends.Backend,
        dispatch: request_types.Dispatch,
        fair_shares: organisation_shares.FairShares | None = None,
    ):
        self.client_request = client_request
        self.backend = backend
        self.dispatch = dispatch
        self.fair_shares = fair_shares
        self.work = share_counters.work_of(client_request)
        self.prompt_read = False
        self._started = False
        self._reading = 0
        self._unbegun = False
        self._ahead = 0
        self._sent = 0.0

    def start(self, speeds: wait_estimates.Speeds, now: float) -> None:
        """Adds the attempt to the server's load when its request is sent.

        Args:
            speeds: speeds estimated from first events.
            now: the time.
        """
        backend = self.backend
        reading = self.dispatch.to_read
        self._ahead = int(
            wait_estimates.tokens_ahead(backend, reading, speeds, now)
        )
        self._sent = now
        self._started = True
        self._reading = reading
        if not backend.outstanding():
            backend.read_since = now
        backend.open += 1
        backend.open_tokens += self.work.memory
        backend.unbegun += 1
        self._unbegun = True
        backend.unread_tokens += self._reading
        if self.fair_shares is not None:
            self.fair_shares.note_started(*self._owner(), self.work, now)

    def note_first_event(
        self, fit: first_events.FirstEventFit, now: float
    ) -> None:
        """Records the first event: the server has prefilled the prompt."""
        tokens = self._reading + self._ahead
        self.backend.speed.note_first_event(
            now - self._sent, fit.expected_seconds(tokens), now
        )
        fit.note(now - self._sent, tokens)
        self.backend.read_since = now
        self.end_prompt_reading()

    def end_prompt_reading(self) -> None:
        """Removes the prompt from the server's unfinished prefill."""
        self.backend.unbegun -= self._unbegun
        self._unbegun = False
        self.backend.unread_tokens -= self._reading
        self._reading = 0
        self.prompt_read = True

    def close(self, now: float) -> None:
        """Removes the ended attempt from the server's load.

        Nothing is removed if `start` has failed before it added anything.
        """
        self.end_prompt_reading()
        if not self._started:
            return
        self._started = False
        self.backend.open -= 1
        self.backend.open_tokens -= self.work.memory
        if self.fair_shares is not None:
            self.fair_shares.note_ended(*self._owner(), self.work, now)

    def _owner(self) -> tuple[str, str]:
        """Returns the service and the organisation that receives it."""
        service = self.backend.registration.service
        return service, self.dispatch.organisation or ""
