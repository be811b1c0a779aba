"""Short HTTP calls with JSON bodies, to the store and to servers."""

import asyncio
from collections.abc import Callable

import attrs
import msgspec

from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import clocks
from pimentoledge.routing import extra_responses
from pimentoledge.routing import http_messages
from pimentoledge.routing import json_documents
from pimentoledge.routing import log_lines
from pimentoledge.routing import server_connections
from pimentoledge.routing import transfers

# How long an idle connection is kept.
IDLE_SECONDS = 8.0


@attrs.frozen(kw_only=True)
class Reply:
    """A complete response.

    Attributes:
        status: HTTP status.
        body: decoded JSON, or None.
        headers: names, in lower case, and values, in order.
        transfer: how it arrived, or None.
    """

    status: int
    body: object
    headers: http_messages.Headers = attrs.field(factory=list)
    transfer: transfers.Transfer | None = None


class CallError(Exception):
    """A call got no complete response.

    Attributes:
        sent: whether the request may have arrived.
        overdue: whether the call timed out.
        unreadable: whether a complete response can't be decoded.
    """

    def __init__(
        self,
        reason: str,
        *,
        sent: bool,
        overdue: bool = False,
        unreadable: bool = False,
    ):
        super().__init__(reason)
        self.sent = sent
        self.overdue = overdue
        self.unreadable = unreadable


@attrs.define(kw_only=True, eq=False)
class OpenCall:
    """A call whose response is pending.

    Attributes:
        target: path and query.
        connection: its connection.
        sent_at: when it was sent.
        head_at: when the head of its response arrived, or None.
    """

    target: str
    connection: server_connections.ServerConnection
    sent_at: float
    head_at: float | None = None


class Caller:
    """Makes calls over its own connection pool.

    Attributes:
        pool: the connection pool.
        open_calls: the calls whose response is pending.
        lines: log of exceeded bounds, or None.
    """

    def __init__(self, *, lines: log_lines.Lines | None = None):
        self.lines = lines
        self.pool = server_connections.ConnectionPool(
            on_extra=extra_responses.logger_to(lines)
        )
        self.open_calls: set[OpenCall] = set()

    def close(self) -> None:
        """Closes the connections."""
        self.pool.close()

    async def call(
        self,
        *,
        address: str,
        method: str,
        target: str,
        body: object = None,
        headers: tuple[tuple[str, str], ...] = (),
        seconds: float,
        max_body_bytes: int = buffer_bounds.REPLY_BYTES,
        decode: Callable[[bytes], object] = json_documents.decode,
        exclusive: bool = False,
    ) -> Reply:
        """Makes one call; raises CallError.

        Args:
            address: IP:PORT.
            method: HTTP method.
            target: path and query.
            body: sent as JSON unless None.
            headers: further headers.
            seconds: timeout of the whole call.
            max_body_bytes: largest body of the response.
            decode: decodes the body; may raise UnreadableError.
            exclusive: whether its connection carries no other call. A server
                may answer a call again, and late, and responses to calls
                have no id that tells to which one they belong.
        """
        sent = False
        connection = None
        open_call = None
        try:
            async with asyncio.timeout(seconds):
                if exclusive:
                    connection = await self.pool.open(address)
                else:
                    connection = await self.pool.acquire(address)
                sent = True
                connection.send(_encode(address, method, target, body, headers))
                open_call = OpenCall(
                    target=target,
                    connection=connection,
                    sent_at=clocks.now(),
                )
                self.open_calls.add(open_call)
                reply = await _read(open_call, max_body_bytes, decode)
        except server_connections.CannotConnectError as error:
            raise CallError(str(error), sent=False) from error
        except buffer_bounds.BoundExceededError as error:
            self._log_exceeded(address, error.exceeded)
            raise CallError(str(error), sent=True) from error
        except TimeoutError as error:
            raise CallError(
                "no response in time", sent=sent, overdue=True
            ) from error
        finally:
            self.open_calls.discard(open_call)
            if connection is not None and connection.busy:
                done = "reply" in locals()
                if done:
                    self.pool.release(
                        connection,
                        idle_seconds=IDLE_SECONDS,
                        max_idle=0 if exclusive else None,
                    )
                else:
                    connection.abort()
        return reply

    def _log_exceeded(
        self, address: str, exceeded: buffer_bounds.Exceeded
    ) -> None:
        if self.lines is not None:
            self.lines.write(
                "bound_exceeded",
                server=address,
                bound=exceeded.bound.value,
                bytes=exceeded.size,
            )


def _encode(address, method, target, body, headers) -> bytes:
    data = b"" if body is None else msgspec.json.encode(body)
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(data)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


async def _read(
    open_call: OpenCall,
    max_body_bytes: int,
    decode: Callable[[bytes], object],
) -> Reply:
    head = None
    pieces = []
    size = 0
    while True:
        match await open_call.connection.next():
            case server_connections.HeadReceived(head=found):
                head = found
                open_call.head_at = clocks.now()
            case server_connections.BodyReceived(data=data):
                pieces.append(data)
                size += len(data)
                if size > max_body_bytes:
                    raise buffer_bounds.BoundExceededError(
                        buffer_bounds.Bound.BODY, size
                    )
            case server_connections.ResponseEnded():
                return _reply(open_call, head, b"".join(pieces), decode)
            case server_connections.ConnectionBroken() as broken:
                exceeded = broken.exceeded
                if exceeded is not None:
                    raise buffer_bounds.BoundExceededError(
                        exceeded.bound, exceeded.size
                    )
                raise CallError(broken.reason, sent=True)


def _reply(
    open_call: OpenCall,
    head: http_messages.ResponseHead,
    data: bytes,
    decode: Callable[[bytes], object],
) -> Reply:
    """Returns a complete response with its decoded body."""
    began = clocks.now()
    try:
        body = decode(data) if data else None
    except json_documents.UnreadableError as error:
        raise CallError(str(error), sent=True, unreadable=True) from error
    return Reply(
        status=head.status,
        body=body,
        headers=head.headers,
        transfer=transfers.Transfer(
            source="store",
            size=len(data),
            sent_at=open_call.sent_at,
            head_at=open_call.head_at,
            ended_at=open_call.connection.received_at,
            decode_seconds=clocks.now() - began,
        ),
    )
