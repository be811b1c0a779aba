"""Drives the connection pool against a server whose every byte is scripted.

The server sends on real sockets of the loopback interface. Each piece is read
before the next one is sent, so that the script decides where reads end.
"""

import asyncio
import contextlib
import enum
import socket
import struct

import attrs

from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import server_connections
from pimentoledge.routing import wait_estimates

BODILESS_STATUSES = (204, 304)
# Turns of the event loop in which a piece that was sent is read.
READ_TURNS = 4
ANSWER_SECONDS = 2.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Framing(enum.Enum):
    """How a response tells where its body ends."""

    LENGTH = enum.auto()
    CHUNKED = enum.auto()
    TRAILERS = enum.auto()
    CLOSE = enum.auto()


class End(enum.Enum):
    """What the server does with the connection after its response."""

    KEEP = enum.auto()
    CLOSE = enum.auto()
    RESET = enum.auto()


class Moment(enum.Enum):
    """When bytes that belong to no request are sent."""

    AT_ONCE = enum.auto()
    IDLE = enum.auto()
    UNREAD = enum.auto()
    AWAITED = enum.auto()


@attrs.frozen(kw_only=True)
class Response:
    """A response of the server.

    Attributes:
        status: HTTP status.
        framing: how its end is found.
        filler: size of the body without its unique text.
        length_error: what a wrong Content-Length adds to the right one.
        id_first: whether the id is the first header field.
        interim: statuses of the interim responses before it.
        head_body: whether it has a body even if the request is a HEAD.
        closes: whether its head announces the end of the connection.
    """

    status: int = 200
    framing: Framing = Framing.LENGTH
    filler: int = 0
    length_error: int = 0
    id_first: bool = True
    interim: tuple[int, ...] = ()
    head_body: bool = False
    closes: bool = False

    def has_body(self) -> bool:
        """Returns whether its status allows a body."""
        return self.status not in BODILESS_STATUSES

    def body(self, text: str) -> bytes:
        """Returns a body that no other response of the example has."""
        return text.encode() + b"." * self.filler if self.has_body() else b""

    def encode(
        self, text: str, request: str | None, *, method: bytes = b"GET"
    ) -> bytes:
        """Returns its bytes.

        Args:
            text: what tells its body and signature from those of others.
            request: the id that it bears, or None.
            method: method of the request that it answers.
        """
        body = self.body(text)
        identity = [] if request is None else [f"Request-Id: {request}"]
        lines = [f"Server-Stamp: {text} of a scripted server"]
        lines = identity + lines if self.id_first else lines + identity
        if self.framing is Framing.LENGTH or not self.has_body():
            length = max(0, len(body) + self.length_error)
            lines.append(f"Content-Length: {length}")
        elif self.framing is not Framing.CLOSE:
            lines.append("Transfer-Encoding: chunked")
        if self.closes:
            lines.append("Connection: close")
        interim = b"".join(
            b"HTTP/1.1 %d Wait\r\nRequest-Id: interim\r\n\r\n" % each
            for each in self.interim
        )
        lines.insert(0, f"HTTP/1.1 {self.status} Scripted")
        head = interim + "\r\n".join(lines).encode() + b"\r\n\r\n"
        if not self.has_body() or (method == b"HEAD" and not self.head_body):
            return head
        return head + self._encode_body(body)

    def _encode_body(self, body: bytes) -> bytes:
        if self.framing not in (Framing.CHUNKED, Framing.TRAILERS):
            return body
        half = len(body) // 2
        chunks = [each for each in (body[:half], body[half:]) if each]
        encoded = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
        if self.framing is Framing.TRAILERS:
            return encoded + b"0\r\nRequest-Id: x\r\nServer-Stamp: y\r\n\r\n"
        return encoded + b"0\r\n\r\n"


@attrs.frozen(kw_only=True)
class Extra:
    """Bytes that belong to no request.

    Attributes:
        moment: when they are sent.
        response: a response, or None for `raw`.
        names: its id: 0 none, 1 unknown, 2 of the request that the connection
            carried last, 3 of the one that it carried first.
        raw: other bytes.
        cut: number of bytes of the response that are sent, or None for all.
    """

    moment: Moment
    response: Response | None
    names: int = 2
    raw: bytes = b""
    cut: int | None = None


@attrs.frozen(kw_only=True)
class Exchange:
    """A request and what the server sends.

    Attributes:
        request: its id.
        method: its method.
        response: the server's response.
        extras: what the server sends in addition.
        end: what happens to the connection afterwards.
        cut: number of bytes of the response that are sent, or None for all.
        speaks_first: whether AWAITED bytes are sent before the request.
        pieces: sizes into which what is sent is split, repeated.
    """

    request: str
    method: bytes
    response: Response
    extras: tuple[Extra, ...] = ()
    end: End = End.KEEP
    cut: int | None = None
    speaks_first: bool = False
    pieces: tuple[int, ...] = (4096,)


@attrs.define(kw_only=True, eq=False)
class Peer:
    """The server's side of a connection.

    Attributes:
        connection: the pool's side.
        socket: its socket.
        carried: ids of the requests that the pool sent on it.
        polluted: whether it has carried bytes that belong to no request.
        open: whether the server has neither closed nor reset it.
        due: extras that wait for the next request on it.
    """

    connection: server_connections.ServerConnection
    socket: socket.socket
    carried: list[str] = attrs.field(factory=list)
    polluted: bool = False
    open: bool = True
    due: list[tuple[bytes, bool]] = attrs.field(factory=list)

    def send(self, data: bytes) -> None:
        """Sends bytes; the pool may have closed the connection."""
        if self.open:
            with contextlib.suppress(OSError):
                self.socket.sendall(data)

    def end(self, end: End) -> None:
        """Closes or resets the connection."""
        if end is End.KEEP or not self.open:
            return
        self.open = False
        if end is End.RESET:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        else:
            # Unread bytes would turn the close into a reset.
            with contextlib.suppress(OSError):
                self.socket.setblocking(False)
                while self.socket.recv(65536):
                    pass
        self.socket.close()


@attrs.frozen(kw_only=True)
class Delivered:
    """What a request got.

    Attributes:
        status: status of the response.
        body: its body, which was complete.
    """

    status: int
    body: bytes


@attrs.frozen(kw_only=True)
class Failed:
    """A request that got no complete response."""

    reason: str


async def turn() -> None:
    """Lets the pool read what was sent."""
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)


class Script:
    """Plays exchanges and checks what each request gets.

    Attributes:
        pool: the pool.
        peers: the server's sides of all connections.
        played: number of exchanges so far.
        reused: number of requests that were sent on a used connection.
        delivered: number of complete responses.
    """

    def __init__(self):
        self.pool = server_connections.ConnectionPool()
        self.peers: list[Peer] = []
        self.played = 0
        self.reused = 0
        self.delivered = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        port = self._listener.getsockname()[1]
        self._address = f"127.0.0.1:{port}"
        self._backend = backends.Backend(
            registration=registrations.Registration(
                server="r",
                service="s",
                address=self._address,
                data_centre="a",
                slots=8,
                leaving=False,
                weights={},
            )
        )

    def close(self) -> None:
        """Closes all connections."""
        self.pool.close()
        for peer in self.peers:
            peer.connection.abort()
            peer.end(End.RESET)
        self._listener.close()

    async def play(self, exchange: Exchange) -> None:
        """Sends a request and checks what it gets."""
        self.played += 1
        peer = await self._acquire(exchange)
        attempt = self._attempt(exchange, peer)
        due, peer.due = peer.due, []
        if exchange.speaks_first:
            await self._send_extras(peer, due, exchange.pieces)
        attempt.start()
        peer.carried.append(exchange.request)
        reading = asyncio.ensure_future(read(attempt))
        await turn()
        if not exchange.speaks_first:
            await self._send_extras(peer, due, exchange.pieces)
        text = f"<{self.played}>"
        sent = exchange.response.encode(
            text, exchange.request, method=exchange.method
        )[: exchange.cut]
        extras = [
            (each, *self._encode(each, index, peer))
            for index, each in enumerate(exchange.extras)
        ]
        following = b""
        for extra, data, alters in extras:
            if extra.moment is Moment.AT_ONCE:
                if exchange.cut is None:
                    # Else they would complete the response that is cut.
                    following += data
                    peer.polluted |= alters
            elif extra.moment is Moment.AWAITED:
                peer.due.append((data, alters))
        await self._send(peer, sent + following, exchange.pieces)
        peer.end(exchange.end)
        await turn()
        found = await self._outcome(reading, attempt, exchange, bool(due))
        self._check(exchange, text, sent + following, found, bool(due))
        for extra, data, alters in extras:
            if extra.moment in (Moment.IDLE, Moment.UNREAD):
                peer.polluted |= alters
                peer.send(data)
                if extra.moment is Moment.IDLE:
                    await turn()

    async def _acquire(self, exchange: Exchange) -> Peer:
        connection = await self.pool.acquire(
            self._address, request=exchange.request
        )
        for peer in self.peers:
            if peer.connection is connection:
                assert peer.open, "reused after its end"
                assert not peer.polluted, "reused after extra bytes"
                assert exchange.request not in peer.carried, "id sent twice"
                self.reused += 1
                return peer
        accepted, _ = self._listener.accept()
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer = Peer(connection=connection, socket=accepted)
        self.peers.append(peer)
        return peer

    def _attempt(self, exchange: Exchange, peer: Peer) -> attempts.Attempt:
        body = b"question" if exchange.method == b"POST" else b""
        return attempts.Attempt(
            client_request=request_types.ClientRequest(
                request=exchange.request,
                method=exchange.method,
                host="h",
                target=b"/",
                path="/",
                key=None,
                wait_seconds=None,
                model="",
                prompt_tokens=0,
                answer_tokens=0,
                parts=(),
                resume_after=None,
                passed_on=[],
                body=body,
                arrived=0.0,
            ),
            backend=self._backend,
            dispatch=request_types.Dispatch(
                server="r", organisation=None, seconds_left=1.0
            ),
            pool=self.pool,
            connection=peer.connection,
            max_idle=None,
            speeds=wait_estimates.Speeds(),
        )

    def _encode(self, extra: Extra, index: int, peer: Peer):
        """Returns an extra's bytes, and whether they show an error."""
        if extra.moment is Moment.AWAITED and is_interim(extra.raw):
            # It is one to the request that waits then.
            return extra.raw, False
        if extra.response is None:
            # Line ends between two responses change neither.
            return extra.raw, bool(extra.raw.strip(b"\r\n"))
        name = (None, "unknown", peer.carried[-1], peer.carried[0])[extra.names]
        data = extra.response.encode(f"<{self.played}+{index}>", name)
        data = data[: extra.cut]
        awaited = extra.moment is Moment.AWAITED
        return data, not (awaited and is_interim(data))

    async def _send(self, peer: Peer, data: bytes, sizes) -> None:
        position = 0
        for index in range(len(data)):
            size = sizes[index % len(sizes)]
            peer.send(data[position : position + size])
            await turn()
            position += size
            if position >= len(data):
                return

    async def _send_extras(self, peer: Peer, due, pieces) -> None:
        for data, alters in due:
            peer.polluted |= alters
            await self._send(peer, data, pieces)

    async def _outcome(self, reading, attempt, exchange, disturbed: bool):
        due = not disturbed and is_sound(exchange)
        if due and not reading.done():
            await asyncio.wait([reading], timeout=ANSWER_SECONDS)
        if not reading.done():
            reading.cancel()
            await asyncio.wait([reading])
            attempt.close()
            return Failed(reason="no end")
        return reading.result()

    def _check(
        self,
        exchange: Exchange,
        text: str,
        sent: bytes,
        found: Delivered | Failed,
        disturbed: bool,
    ) -> None:
        """Checks that a request got the response to it, whole, or none."""
        if isinstance(found, Failed):
            assert disturbed or not is_sound(exchange), found.reason
            return
        self.delivered += 1
        response = exchange.response
        assert found.status == response.status, "status of another response"
        expected = response.body(text)
        if exchange.method == b"HEAD" or not response.has_body():
            assert found.body == b"", "body of a response without one"
            return
        if response.framing is Framing.CLOSE:
            # The server itself ended the body with other bytes, or too early.
            assert exchange.end is End.CLOSE, "complete without an end"
            expected = sent.partition(b" of a scripted server")[2]
            expected = expected.partition(b"\r\n\r\n")[2]
        elif response.framing is Framing.LENGTH and response.length_error:
            # What the announced length covers is what the server announced.
            after = sent.partition(b" of a scripted server")[2]
            after = after.partition(b"\r\n\r\n")[2]
            length = max(0, len(expected) + response.length_error)
            assert len(after) >= length, "a truncated body is complete"
            expected = after[:length]
        assert found.body == expected, "another body, or a part of it"


def is_interim(data: bytes) -> bool:
    """Returns whether bytes are complete interim responses."""
    *heads, rest = data.split(b"\r\n\r\n")
    starts = [each.startswith(b"HTTP/1.1 1") for each in heads]
    return bool(heads) and not rest and all(starts)


def is_sound(exchange: Exchange) -> bool:
    """Returns whether the response to a request must be delivered."""
    response = exchange.response
    if exchange.cut is not None or response.length_error:
        return False
    if response.framing is Framing.CLOSE and response.has_body():
        return exchange.end is End.CLOSE or exchange.method == b"HEAD"
    # A reset may overtake what was sent before it.
    return exchange.end is not End.RESET


async def read(attempt: attempts.Attempt) -> Delivered | Failed:
    """Reads the response as the router does."""
    try:
        answer, head = await attempt.read_head()
        body, complete = await attempt.collect_body(head.body_length())
        assert complete
        attempt.release(answer)
        return Delivered(status=answer.status, body=body)
    except attempts.BrokenError as error:
        return Failed(reason=error.reason)
    finally:
        attempt.close()


def play(exchanges: list[Exchange]) -> Script:
    """Plays exchanges; raises AssertionError if one gets what isn't its own."""

    async def run():
        script = Script()
        try:
            for exchange in exchanges:
                await script.play(exchange)
        finally:
            script.close()
            await asyncio.sleep(0)
        return script

    return asyncio.run(run())
