"""The state of one client request that its stages share."""

from collections.abc import Callable

from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import charges
from pimentoledge.routing import client_responses
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import log_lines
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import server_connections
from pimentoledge.routing import server_deaths
from pimentoledge.routing import server_notices
from pimentoledge.routing import server_permits
from pimentoledge.routing import stream_bindings
from pimentoledge.routing import stream_relays
from pimentoledge.routing import stream_version_exchanges
from pimentoledge.routing import suspects
from pimentoledge.routing.admission import gates
from pimentoledge.routing.admission import reservations
from pimentoledge.routing.quotas import limiters


class Context:
    """One client request: its state, and what its stages work with.

    Attributes:
        answer: the response to the client.
        view: cached state of the cluster.
        pool: connections to servers.
        lines: writes the decision log.
        died: called with the incarnation of a server that has ended, or that
            accepts no connections.
        broke: called with the subjects of the request, the incarnation of a
            server that gave no complete response to it, when it was sent, and
            whether the server was silent rather than closed the connection.
        check_alive: called with a server of which a connection broke.
        recheck: called with a server whose state differs from the cached one.
        prompt_changed: called with the number of tokens of a prompt that was
            sent to or read by a server, and the time.
        limiter: enforces the organisations' limits.
        notices: applies what responses report about their servers.
        permits: enforces the limits that servers have announced.
        admission: the queue for places at servers.
        place: the place that the request has until it is sent, or None.
        refusal: log fields of a refusal by the queue, or empty.
        place_seconds: time until a place is expected, in seconds, or None.
        binding: the software version to which its stream is bound.
        subjects: what the request may crash servers by, its content first;
            empty before it is accepted.
        history: the attempts made so far.
        client_request: the decoded request, or None before it is available.
        route: the route that matched when the request was accepted.
        organisation: the organisation that the API key belongs to, or None.
        charge: what the request acquires of the organisation's limit, or None
            without a limit.
        ends_at: deadline of the request, in seconds of clocks.now.
        chosen: log fields that explain the newest choice of a server.
        shortages: what the usable servers lacked when none could be chosen.
        limit_refusals: number of permits that servers' limits refused.
        counted: whether the retry budget has counted this request.
        claimed: whether the request has claimed its id.
        sent_at: when the newest attempt was sent, in seconds of clocks.now.
        relay: the stream of the newest attempt, if it got one.
        current_attempt: the attempt in progress, or None.
        failed_answer: a failure response of a server and its body, which is
            sent to the client if no further attempt succeeds.
    """

    def __init__(
        self,
        *,
        client,
        view: cluster_views.ClusterView,
        pool: server_connections.ConnectionPool,
        lines: log_lines.Lines,
        died: Callable[[str], None],
        broke: Callable[
            [tuple[server_deaths.Subject, ...], str, float, bool], None
        ],
        check_alive: Callable[[backends.Backend], None],
        recheck: Callable[[backends.Backend], None],
        prompt_changed: Callable[[int, float], None],
        limiter: limiters.Limiter,
        notices: server_notices.ServerNotices,
        permits: server_permits.Permits,
        admission: gates.AdmissionGate,
        stream_versions: stream_version_exchanges.StreamVersionExchange,
    ):
        self.died = died
        self.broke = broke
        self.check_alive = check_alive
        self.recheck = recheck
        self.prompt_changed = prompt_changed
        self.limiter = limiter
        self.notices = notices
        self.permits = permits
        self.admission = admission
        self.place: reservations.Reservation | None = None
        self.refusal: dict[str, object] = {}
        self.place_seconds: float | None = None
        self.binding = stream_bindings.StreamBinding(versions=stream_versions)
        self.answer = client_responses.ClientResponse(client=client)
        self.view = view
        self.pool = pool
        self.lines = lines
        self.subjects: tuple[server_deaths.Subject, ...] = ()
        self.history = retry_rules.AttemptHistory()
        self.client_request: request_types.ClientRequest | None = None
        self.route: configurations.Route | None = None
        self.organisation: configurations.Organisation | None = None
        self.charge: charges.Charge | None = None
        self.ends_at = 0.0
        self.chosen: dict[str, object] = {}
        self.shortages: dict[capacity_checks.Shortage, int] = {}
        self.limit_refusals = 0
        self.counted = False
        self.claimed = False
        self.sent_at = 0.0
        self.relay: stream_relays.StreamRelay | None = None
        self.current_attempt: attempts.Attempt | None = None
        self.last_attempt: attempts.Attempt | None = None
        self.failed_answer: (
            tuple[request_types.ServerResponse, bytes] | None
        ) = None

    def log(self, message: str, **fields: object) -> None:
        """Writes a log line that names the request."""
        if self.client_request is not None:
            fields["request"] = self.client_request.request
            fields["ms"] = milliseconds(
                clocks.now() - self.client_request.arrived
            )
        if self.route is not None:
            fields["route"] = self.route.name
        fields["sends"] = self.history.sends
        self.lines.write(message, **fields)

    def connection_fields(self) -> dict[str, int] | None:
        """Returns what the log tells of the last attempt's connection."""
        if self.last_attempt is None:
            return None
        return self.last_attempt.log_fields()

    def claim_request(self, now: float) -> bool:
        """Returns whether the request isn't here already under its id."""
        if self.route.repeatable() or self.claimed:
            return True
        self.claimed = self.view.claimed.claim(
            self.organisation_name(),
            self.client_request.request,
            self.ends_at,
            now,
        )
        return self.claimed

    def end_claim(self) -> None:
        """Frees the request's id unless a server may have run it."""
        if self.claimed and not self.history.runs():
            self.view.claimed.release(
                self.organisation_name(), self.client_request.request
            )

    def release_place(self) -> None:
        """Ends the reservation of a place, if there is one."""
        if self.place is not None:
            self.place.release()
            self.place = None

    def keep_failed_answer(
        self, answer: request_types.ServerResponse, body: bytes
    ) -> None:
        """Keeps a failure response until `take_failed_answer`."""
        self.failed_answer = (answer, body)
        self.answer.client.holder.note(
            buffer_budgets.Part.FAILED_ANSWER, len(body)
        )

    def take_failed_answer(
        self,
    ) -> tuple[request_types.ServerResponse, bytes] | None:
        """Returns the kept failure response, or None, and ends its keeping."""
        found, self.failed_answer = self.failed_answer, None
        if found is not None:
            self.answer.client.holder.note(buffer_budgets.Part.FAILED_ANSWER, 0)
        return found

    def organisation_name(self) -> str:
        """Returns the organisation's name, or ""."""
        return "" if self.organisation is None else self.organisation.name

    def blocking_subject(self) -> str | None:
        """Returns the quarantined subject of the request, or None."""
        return self.view.suspects.blocking(self.subjects, clocks.now())

    def check_quarantine(self) -> None:
        """Raises QuarantinedError if the request must not be sent any more.

        Its subjects may have crashed servers while it waited here, or by its
        own attempts.
        """
        subject = self.blocking_subject()
        if subject is not None:
            raise suspects.QuarantinedError(subject)

    def has_proved_sound(self) -> bool:
        """Returns whether the server's answer has gone on after it began."""
        return self.relay is not None and self.relay.has_proved_sound()


def milliseconds(seconds: float | None) -> float | None:
    """Returns seconds as rounded milliseconds for a log line."""
    return None if seconds is None else round(seconds * 1000, 1)
