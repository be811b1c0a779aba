"""One attempt to have one server execute a request."""

from pimentoledge.platform import requests
from pimentoledge.routing import attempt_loads
from pimentoledge.routing import backends
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import clocks
from pimentoledge.routing import http_messages
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import server_connections
from pimentoledge.routing import wait_estimates
from pimentoledge.routing.fair_shares import organisation_shares

# How long an idle connection is kept if the server announces no idle timeout.
DEFAULT_IDLE_SECONDS = 3.0
# A connection is not reused in the last part of its idle timeout, since the
# server may close it while a request is in transit.
IDLE_MARGIN_SECONDS = 1.0


class BrokenError(Exception):
    """An attempt ended without a response to relay.

    Attributes:
        outcome: how the attempt ended.
        reason: text for the log.
        silent: whether the server acknowledged nothing for too long.
        exceeded: the bound that was exceeded, or None.
    """

    def __init__(
        self,
        outcome: retry_rules.AttemptOutcome,
        reason: str,
        *,
        silent: bool = False,
        exceeded: buffer_bounds.Exceeded | None = None,
    ):
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason
        self.silent = silent
        self.exceeded = exceeded

    def is_server_fault(self) -> bool:
        """Returns whether the server may have failed or crashed.

        The bound of the process is reached by all exchanges together, and the
        router itself then closes the connection to a server that is sound.
        """
        if self.outcome is not retry_rules.AttemptOutcome.BROKE:
            return False
        exceeded = self.exceeded
        return (
            exceeded is None
            or exceeded.bound is not buffer_bounds.Bound.BUFFERS
        )


def broken(reason: str) -> BrokenError:
    """Returns the error of a sent attempt whose outcome is unknown."""
    return BrokenError(retry_rules.AttemptOutcome.BROKE, reason)


def over_bound(bound: buffer_bounds.Bound, size: int) -> BrokenError:
    """Returns the error of a sent attempt whose response exceeds a bound."""
    exceeded = buffer_bounds.Exceeded(bound=bound, size=size)
    return BrokenError(
        retry_rules.AttemptOutcome.BROKE, str(exceeded), exceeded=exceeded
    )


class Attempt:
    """Sends a request to a server and reads its response.

    Attributes:
        client_request: the request.
        backend: the server.
        dispatch: the data sent along with the client's request.
        pool: the pool that the connection returns to.
        connection: the connection, used by this attempt alone.
        max_idle: maximum number of idle connections to the server, or None.
        speeds: prefill speeds estimated from earlier first events.
        account: adds the attempt to the server's estimated load.
        begun: whether the response head has arrived.
        withdrawn: whether the router cancelled the attempt before that.
        sent: when the request was sent, in seconds of clocks.now; 0 before.
        skipped: number of responses to other requests that arrived before its
            own.
    """

    def __init__(
        self,
        *,
        client_request: request_types.ClientRequest,
        backend: backends.Backend,
        dispatch: request_types.Dispatch,
        pool: server_connections.ConnectionPool,
        connection: server_connections.ServerConnection,
        max_idle: int | None,
        speeds: wait_estimates.Speeds,
        fair_shares: organisation_shares.FairShares | None = None,
    ):
        self.client_request = client_request
        self.backend = backend
        self.dispatch = dispatch
        self.pool = pool
        self.connection = connection
        self.max_idle = max_idle
        self.speeds = speeds
        self.account = attempt_loads.AttemptLoad(
            client_request=client_request,
            backend=backend,
            dispatch=dispatch,
            fair_shares=fair_shares,
        )
        self.begun = False
        self.withdrawn = False
        self.sent = 0.0
        self.skipped = 0

    def start(self) -> None:
        """Sends the request."""
        self.sent = clocks.now()
        self.account.start(self.speeds, self.sent)
        self.connection.expects_body = self.client_request.method != b"HEAD"
        self.connection.send(
            requests.encode_request(self.client_request, self.dispatch),
            request=self.client_request.request,
        )

    def close(self) -> None:
        """Ends the attempt; aborts the connection if the server is still busy.

        The abort makes the server cancel the request.
        """
        self.account.close(clocks.now())
        if self.connection.busy:
            self.connection.abort()

    def log_fields(self) -> dict[str, int]:
        """Returns what tells on which connection the response came, and when.

        Returns:
            the connection's number, how many requests it has carried, and the
            number of skipped responses.
        """
        return {
            "number": self.connection.number,
            "requests": self.connection.request_count,
            "skipped": self.skipped,
        }

    def has_begun(self) -> bool:
        """Returns whether response data or the connection's end has arrived."""
        return self.begun or self.connection.has_unread_input()

    def withdraw(self, reason: str) -> None:
        """Cancels the attempt, so that the server doesn't start it."""
        self.withdrawn = True
        self.connection.break_off(reason)

    async def read_head(
        self,
    ) -> tuple[request_types.ServerResponse, http_messages.ResponseHead]:
        """Returns the head of the response to this request.

        A server may send a second, late response to an earlier request in the
        place of this one. Such a response has another request id and is
        skipped.

        Raises:
            BrokenError: the connection ended, or the skipped response has no
                request id or no defined end, or there are too many of them.
        """
        skipped_bytes = 0
        while True:
            match await self.connection.next():
                case server_connections.HeadReceived(head=head):
                    answer = requests.decode_response_head(head)
                    if answer.request == self.client_request.request:
                        self.begun = True
                        return answer, head
                    self.connection.reusable = False
                    self.connection.on_extra(self.connection, head, 0)
                    if head.ends_by_close or answer.request is None:
                        raise BrokenError(
                            retry_rules.AttemptOutcome.BROKE,
                            "response to another request",
                        )
                    self.skipped += 1
                    if self.skipped > buffer_bounds.SKIPPED_RESPONSES:
                        raise over_bound(
                            buffer_bounds.Bound.SKIPPED, self.skipped
                        )
                case server_connections.BodyReceived(data=data):
                    if http_messages.STATUS_LINE.search(data):
                        # It was cut, and has taken the begin of this one.
                        raise BrokenError(
                            retry_rules.AttemptOutcome.BROKE,
                            "cut response to another request",
                        )
                    skipped_bytes += len(data)
                    if skipped_bytes > buffer_bounds.COLLECTED_BYTES:
                        raise over_bound(
                            buffer_bounds.Bound.SKIPPED, skipped_bytes
                        )
                case server_connections.ConnectionBroken() as broken:
                    outcome = retry_rules.AttemptOutcome.BROKE
                    if self.withdrawn:
                        outcome = retry_rules.AttemptOutcome.WITHDRAWN
                    raise BrokenError(
                        outcome,
                        broken.reason,
                        silent=broken.silent,
                        exceeded=broken.exceeded,
                    )

    async def next_chunk(self) -> bytes | None:
        """Returns the next bytes of the body, or None at its regular end.

        Raises:
            BrokenError: the connection ended before.
        """
        while True:
            match await self.connection.next():
                case server_connections.BodyReceived(data=data):
                    return data
                case server_connections.ResponseEnded():
                    return None
                case server_connections.ConnectionBroken() as broken:
                    raise BrokenError(
                        retry_rules.AttemptOutcome.BROKE,
                        broken.reason,
                        silent=broken.silent,
                        exceeded=broken.exceeded,
                    )

    async def collect_body(self, length: int | None) -> tuple[bytes, bool]:
        """Returns the body, or its begin if it is too large to be held.

        Args:
            length: the announced length of the body, or None.

        Returns:
            the bytes, and whether they are the complete body.

        Raises:
            BrokenError: the connection ended before, or another response has
                completed the body.
        """
        most = buffer_bounds.COLLECTED_BYTES
        if length is not None and length > most:
            return b"", False
        chunks = []
        size = 0
        while size <= most:
            chunk = await self.next_chunk()
            if chunk is None:
                if await self.connection.was_cut():
                    raise broken("cut before another response")
                return b"".join(chunks), True
            chunks.append(chunk)
            size += len(chunk)
            holder = self.connection.holder
            if holder is not None:
                holder.note(buffer_budgets.Part.COLLECTED, size)
        return b"".join(chunks), False

    def release(self, answer: request_types.ServerResponse) -> None:
        """Returns the connection to the pool after a complete response."""
        idle = answer.idle_seconds
        if idle is None:
            idle = DEFAULT_IDLE_SECONDS + IDLE_MARGIN_SECONDS
        self.pool.release(
            self.connection,
            idle_seconds=max(0.0, idle - IDLE_MARGIN_SECONDS),
            max_idle=self.max_idle,
        )
