"""Servers that send without end and clients that don't read."""

import asyncio
import contextlib
import itertools
import socket
import time

import pytest

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_servers
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import calls
from pimentoledge.routing import client_responses
from pimentoledge.routing import clocks
from pimentoledge.routing import event_streams
from pimentoledge.routing import http_messages
from pimentoledge.routing import server_connections
from pimentoledge.tests import router_world

with_world = router_world.with_world
PIECE = 65536
# Sockets of the loopback interface may buffer this much unread, in bytes.
SOCKET_BYTES = 16 * 1024 * 1024
FILLER = b"x" * PIECE
LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class EndlessServer:
    """Answers each request with a head and pieces, until it is closed.

    Attributes:
        fields: header lines of the response.
        status: status and reason of the response.
        pieces: returns the iterator of pieces that follow the head.
        bare: whether the pieces are sent without a head.
        closes: whether it closes the connection after the pieces.
        sent: number of bytes written.
        requests: number of requests received.
        ended: number of connections that the router has closed.
    """

    def __init__(self, *, fields=b"", pieces, bare=False, status=b"200 OK"):
        self.fields = fields
        self.status = status
        self.pieces = pieces
        self.bare = bare
        self.closes = False
        self.sent = 0
        self.requests = 0
        self.ended = 0

    async def start(self, world, service, name="x0"):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        entry = stand_in_servers.StandInServer(
            incarnation=name,
            service=service,
            weights={router_world.MODEL: 1} if service == "runners" else {},
        ).entry() | {"address": f"{host}:{port}"}
        world.store.put(names.SERVER_KIND, name, entry)
        [router] = world.routers
        await world.until(lambda: name in router.view.servers.by_incarnation)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            if not self.bare:
                writer.write(self._head(request))
            for piece in self.pieces():
                writer.write(piece)
                self.sent += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
            if not self.closes:
                await reader.read()
        self.ended += 1
        writer.close()

    def _head(self, request):
        lines = [
            line + b"\r\n"
            for line in request.split(b"\r\n")
            if line.lower().startswith(names.REQUEST_ID + b":")
        ]
        signature = names.SIGNATURE + b": s\r\n"
        head = b"HTTP/1.1 %b\r\nConnection: close\r\n" % self.status
        head += signature
        return head + lines[0] + self.fields + b"\r\n"


def repeated(piece, first=b""):
    """Returns a function that returns first and then a piece without end."""
    return lambda: itertools.chain([first], itertools.repeat(piece))


def counted(router, bound):
    return router.counters.decisions.get(("bound_exceeded", bound.value), 0)


OK = b"HTTP/1.1 200 OK\r\n"
BOUNDS = buffer_bounds.Bound
# What a server sends after the request, and the bound that ends it.
HEAD_FAULTS = {
    "one header": (repeated(FILLER, OK + b"A: "), BOUNDS.HEAD),
    "long lines": (repeated(b"A: %b\r\n" % (b"x" * 900), OK), BOUNDS.HEAD),
    "short lines": (repeated(b"A: b\r\n" * 99, OK), BOUNDS.HEAD_LINES),
    "interim": (
        repeated(b"HTTP/1.1 102 Processing\r\n\r\n" * 999),
        BOUNDS.HEAD,
    ),
    "reason": (repeated(FILLER, b"HTTP/1.1 200 "), BOUNDS.HEAD),
    "empty lines": (repeated(b"\r\n" * 9999), BOUNDS.HEAD),
}


@pytest.mark.parametrize("fault", sorted(HEAD_FAULTS))
def test_an_endless_head_ends_the_attempt(fault):
    """Guards against heads that fill the memory or occupy the event loop."""
    pieces, bound = HEAD_FAULTS[fault]

    @with_world(plain=0, runners=1)
    async def run(world):
        server = EndlessServer(pieces=pieces, bare=True)
        await server.start(world, "plain")
        unsafe = asyncio.ensure_future(world.request("/cards/", body=b"c"))
        await check_other_client(world, "/drafts/")
        # It was sent and may have run: neither repeated nor "not run".
        assert (await unsafe).status == 502
        assert server.requests == 1
        await check_closed(world, server, bound)

    run()


async def check_other_client(world, path):
    """Checks that a request of another client is served in time."""
    began = time.monotonic()
    headers = router_world.stream_headers() if path == "/drafts/" else {}
    answer = await world.request(path, body=b"d", headers=headers)
    assert (answer.status, answer.complete) == (200, True)
    assert time.monotonic() - began < 1.0


async def check_closed(world, server, bound):
    """Checks that a server's connection was closed early, for a bound."""
    [router] = world.routers
    await world.until(lambda: server.ended == server.requests)
    assert server.sent < SOCKET_BYTES
    assert counted(router, bound) == server.requests
    assert router.view.servers.by_incarnation["x0"].failure_rate
    assert not router.view.servers.by_incarnation["x0"].open
    assert not router.buffers.held


STREAM_FAULTS = {
    "extension": (
        CHUNKED,
        repeated(FILLER, b"5\r\nid: 1\r\n2\r\n\n\n\r\n5;"),
        BOUNDS.FRAMING,
    ),
    "trailer": (
        CHUNKED,
        repeated(FILLER, b"7\r\nid: 1\n\n\r\n0\r\nA: "),
        BOUNDS.FRAMING,
    ),
    "event": (b"", repeated(FILLER, b"id: 1\n\ndata: "), BOUNDS.EVENT),
    "comments": (b"", repeated(b":c\n" * 9999, b"id: 1\n\n"), BOUNDS.EVENT),
    "chunked event": (
        CHUNKED,
        repeated(b"1\r\nx\r\n" * 9999, b"7\r\nid: 1\n\n\r\n"),
        BOUNDS.FRAMING,
    ),
}


@pytest.mark.parametrize("fault", sorted(STREAM_FAULTS))
def test_an_endless_part_of_a_stream_aborts_it(fault):
    """Guards against endless events, and broken streams that look complete."""
    fields, pieces, bound = STREAM_FAULTS[fault]

    @with_world(plain=1, runners=0)
    async def run(world):
        server = EndlessServer(fields=fields, pieces=pieces)
        await server.start(world, "runners")
        headers = router_world.stream_headers()
        stream = asyncio.ensure_future(
            world.request("/drafts/", headers=headers)
        )
        await check_other_client(world, "/notices/")
        answer = await stream
        assert (answer.status, answer.complete) == (200, False)
        assert server.requests == 1
        await check_closed(world, server, bound)
        assert world.routers[0].buffers.peak < 4 * buffer_bounds.EVENT_BYTES

    run()


@pytest.mark.parametrize("path", ["/notices/", "/cards/"])
def test_only_a_safe_request_is_sent_again_after_a_bound(path):
    """Guards against unsafe requests that run twice, and safe ones lost."""

    @with_world(plain=1, runners=0)
    async def run(world):
        [router] = world.routers
        await world.until_retries_allowed("plain")
        backends = router.view.servers.by_incarnation

        def pieces():
            backends["p0"].avoid_until = 0.0
            return HEAD_FAULTS["reason"][0]()

        server = EndlessServer(pieces=pieces, bare=True)
        await server.start(world, "plain")
        backends["p0"].avoid_until = clocks.now() + 9
        answer = await world.request(path, body=b"c")
        assert server.requests == 1
        assert answer.status == (200 if path == "/notices/" else 502)
        assert len(world.executed_requests("plain")) == (path == "/notices/")

    run()


ENDLESS_BODIES = {
    "length": (b"Content-Length: 99999999999\r\n", FILLER),
    "no length": (b"", FILLER),
    "chunks": (CHUNKED, b"10000\r\n%b\r\n" % FILLER),
    "small chunks": (CHUNKED, b"9\r\n123456789\r\n" * 9999),
}


@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("fault", sorted(ENDLESS_BODIES))
def test_an_endless_body_is_not_held(fault, reads):
    """Guards against bodies that fill the memory while a client reads."""
    fields, piece = ENDLESS_BODIES[fault]

    @with_world(plain=0, runners=1)
    async def run(world):
        server = EndlessServer(fields=fields, pieces=repeated(piece))
        await server.start(world, "plain")
        client = world.client()
        await client.open()
        client.send("/cards/", body=b"c", headers={"Deadline-Ms": "1500"})
        received = 0
        last = b""
        await check_other_client(world, "/drafts/")
        if reads:
            status, headers = await client._read_head()
            assert status == 200
        with contextlib.suppress(ConnectionError):
            while reads and (data := await client.reader.read(PIECE)):
                received += len(data)
                last = (last + data)[-len(LAST_CHUNK) :]
        await world.until(lambda: server.ended == 1)
        client.close()
        [router] = world.routers
        assert server.requests == 1
        if reads:
            # The deadline ends it, and far more than the bound was passed on.
            assert received > 4 * buffer_bounds.COLLECTED_BYTES
            # The client sees that the response is incomplete.
            if "transfer-encoding" in headers:
                assert last != LAST_CHUNK
            else:
                assert received < int(headers["content-length"])
        assert router.buffers.peak < 2 * buffer_bounds.COLLECTED_BYTES
        await world.until(lambda: not router.buffers.held)

    run()


BIG = b"".join(b"%07d\n" % number for number in range(400_000))
LARGE_BODIES = {
    "length": (b"Content-Length: %d\r\n" % len(BIG), BIG),
    "chunks": (CHUNKED, b"%x\r\n%b\r\n0\r\n\r\n" % (len(BIG), BIG)),
    "cut length": (b"Content-Length: %d\r\n" % (len(BIG) + 1), BIG),
    "cut chunks": (CHUNKED, b"%x\r\n%b\r\n" % (len(BIG), BIG)),
}


@pytest.mark.parametrize("form", sorted(LARGE_BODIES))
def test_a_large_body_passes_through(form):
    """Guards against large bodies that are held, changed, or look complete."""
    fields, body = LARGE_BODIES[form]

    @with_world(plain=1, runners=0)
    async def run(world):
        await world.until_retries_allowed("plain")
        backends = world.routers[0].view.servers.by_incarnation

        def pieces():
            backends["p0"].avoid_until = 0.0
            return [body]

        server = EndlessServer(fields=fields, pieces=pieces)
        server.closes = form.startswith("cut")
        await server.start(world, "plain")
        backends["p0"].avoid_until = clocks.now() + 9
        # A client that resumes streams may retry them, but no bodies.
        answer = await world.request(
            "/notices/", headers={"Last-Event-ID": "1"}
        )
        assert answer.status == 200
        assert answer.complete == (not form.startswith("cut"))
        # An abort may discard bytes that the client has not read.
        assert BIG.startswith(answer.body)
        assert answer.body == BIG or not answer.complete
        assert server.requests == 1
        assert not world.executed_requests("plain")
        peak = world.routers[0].buffers.peak
        assert peak < 2 * buffer_bounds.COLLECTED_BYTES

    run()


@pytest.mark.parametrize("form", ["chunks", "cut chunks"])
def test_a_large_body_for_http_1_0_ends_with_the_connection(form):
    """Guards against chunk sizes in a body, and cut bodies that look whole."""
    fields, body = LARGE_BODIES[form]

    @with_world(plain=0, runners=0)
    async def run(world):
        server = EndlessServer(fields=fields, pieces=lambda: [body])
        await server.start(world, "plain")
        client = world.client()
        await client.open()
        headers = {"Deadline-Ms": "900", "Connection": "keep-alive"}
        client.send("/notices/", headers=headers, version="1.0")
        async with asyncio.timeout(8):
            answer = await client.read_to_close()
        client.close()
        assert answer.status == 200
        assert "transfer-encoding" not in answer.headers
        assert answer.headers["connection"] == "close"
        assert answer.complete == (form == "chunks")
        # A reset may discard bytes that the client has not read.
        assert BIG.startswith(answer.body)
        assert answer.body == BIG or not answer.complete

    run()


@pytest.mark.parametrize(
    "path,fields,status",
    [
        ("/notices/", b"", 200),
        ("/cards/", b"", 500),
        ("/cards/", names.NOT_RUN + b": 1\r\n", 502),
    ],
)
def test_a_large_failure_follows_the_rules_of_retries(path, fields, status):
    """Guards against large failures that aren't retried, or run twice."""

    @with_world(plain=1, runners=0)
    async def run(world):
        await world.until_retries_allowed("plain")
        backends = world.routers[0].view.servers.by_incarnation

        def pieces():
            backends["p0"].avoid_until = 0.0
            return [BIG]

        server = EndlessServer(
            fields=LARGE_BODIES["length"][0] + fields,
            pieces=pieces,
            status=b"500 Failed",
        )
        await server.start(world, "plain")
        backends["p0"].avoid_until = clocks.now() + 9
        answer = await world.request(path, body=b"c")
        assert (answer.status, answer.complete) == (status, True)
        assert (answer.body == BIG) == (status == 500)
        assert server.requests == 1
        assert len(world.executed_requests("plain")) == (status == 200)

    run()


SLOW_CLIENTS = 120
SLOW_BOUND = 4_000_000


@pytest.mark.parametrize("size", [200_000, 4_000_000])
def test_many_slow_clients_take_no_place(size):
    """Guards against slow clients that fill the memory or get others closed."""

    @with_world(plain=1, runners=0)
    async def run(world):
        [router] = world.routers
        router.buffers.bound = SLOW_BOUND
        # Small buffers of the sockets, so that the router has to hold the rest.
        router.listener._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
        )
        server = EndlessServer(
            fields=b"Content-Length: %d\r\n" % size,
            pieces=lambda: [b"x" * size],
        )
        await server.start(world, "plain")
        backends = router.view.servers.by_incarnation
        backends["p0"].avoid_until = clocks.now() + 99
        slow_clients = [world.client() for _ in range(SLOW_CLIENTS)]
        for client in slow_clients:
            await open_slow(client)
            client.send("/notices/", headers={"Deadline-Ms": "9000"})
        await world.until(lambda: server.requests == SLOW_CLIENTS)
        backends["p0"].avoid_until = 0.0
        backends["x0"].avoid_until = clocks.now() + 99
        for _ in range(5):
            await check_other_client(world, "/notices/")
        assert router.buffers.held <= SLOW_BOUND
        assert router.buffers.peak < SLOW_BOUND + 2 * PIECE
        if size <= buffer_bounds.COLLECTED_BYTES:
            # Shows that the test reaches the bound.
            assert counted(router, buffer_bounds.Bound.BUFFERS)
        for client in slow_clients:
            client.close()
        await world.until(lambda: not router.buffers.held)

    run()


@pytest.mark.parametrize("end", ["answered", "failed", "left"])
def test_a_kept_failure_is_counted(end):
    """Guards against failures that fill the memory during other attempts."""
    size = 200_000

    @with_world(plain=0, runners=0)
    async def run(world):
        await world.until_retries_allowed("plain")
        [router] = world.routers
        servers = router.view.servers.by_incarnation
        again = asyncio.Event()

        def failure():
            servers["x1"].avoid_until = 0.0
            return [b"x" * size]

        failed = EndlessServer(
            fields=b"Content-Length: %d\r\n" % size,
            pieces=failure,
            status=b"500 Failed",
        )
        other = EndlessServer(
            fields=b"Content-Length: 2\r\n",
            pieces=lambda: [b"ok"],
            status=b"200 OK" if end == "answered" else b"500 Failed",
        )
        serve = other._serve

        async def serve_later(reader, writer):
            await again.wait()
            await serve(reader, writer)

        other._serve = serve_later
        await failed.start(world, "plain")
        await other.start(world, "plain", name="x1")
        servers["x1"].avoid_until = clocks.now() + 9
        client = world.client()
        await client.open()
        client.send("/notices/")
        # It is sent to the other server, which doesn't answer yet.
        await world.until(lambda: servers["x1"].open)
        assert router.buffers.held == size
        if end == "left":
            client.close()
        else:
            again.set()
            answer = await client.read()
            assert answer.status == (200 if end == "answered" else 500)
            assert other.requests == 1
            client.close()
        await world.until(lambda: not router.buffers.held)
        again.set()

    run()


def test_the_bound_of_the_process_is_not_the_fault_of_a_server():
    """Guards against sound servers that are avoided or count as crashed."""

    @with_world(plain=0, runners=1)
    async def run(world):
        [router] = world.routers
        broke = []
        router.peers.server_broke = lambda *args: broke.append(args)
        router.buffers.bound = PIECE
        server = EndlessServer(
            fields=b"Content-Length: 250000\r\n",
            pieces=lambda: [FILLER, FILLER],
        )
        await server.start(world, "plain")
        answer = await world.request("/cards/", body=b"c")
        assert answer.status == 502
        await world.until(lambda: server.ended == 1)
        assert counted(router, buffer_bounds.Bound.BUFFERS) == 1
        assert not router.view.servers.by_incarnation["x0"].failure_rate
        assert not broke
        assert server.requests == 1
        assert not router.buffers.held

    run()


async def open_slow(client):
    """Opens a client's connection that takes a few KB without being read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((client.host, client.port))
    client.reader, client.writer = await asyncio.open_connection(
        sock=sock, limit=1024
    )


def test_a_listing_of_some_megabytes_is_read():
    """Guards against the bound of a router's own calls hitting the store."""

    async def run(size):
        server = EndlessServer(pieces=lambda: [b'"%b"' % (b"x" * size)])
        server.fields = b"Content-Length: %d\r\n" % (size + 2)
        server._head = lambda request: OK + server.fields + b"\r\n"
        server.server = await asyncio.start_server(
            server._serve, "127.0.0.1", 0
        )
        host, port = server.server.sockets[0].getsockname()
        caller = calls.Caller()
        try:
            reply = await caller.call(
                address=f"{host}:{port}",
                method="GET",
                target="/",
                seconds=5,
                max_body_bytes=buffer_bounds.LISTING_BYTES,
            )
            return len(reply.body)
        finally:
            caller.close()
            server.server.close()

    assert asyncio.run(run(6_000_000)) == 6_000_000
    with pytest.raises(calls.CallError, match="body"):
        asyncio.run(run(buffer_bounds.LISTING_BYTES))


class TestClientResponse:
    """Tests of the passing on of bodies."""

    def test_the_body_for_a_client_that_left_lets_others_run(self):
        """Guards against endless bodies that occupy the event loop unread."""

        class GoneClient:
            gone = True

            def send(self, data):
                pytest.fail("sent to a client that has left")

            async def drained(self):
                """Returns at once, as for a closed connection."""

        async def run():
            response = client_responses.ClientResponse(client=GoneClient())
            ran = []
            for number in range(3):
                asyncio.get_running_loop().call_soon(ran.append, number)
                await response.pass_body(FILLER)
                assert len(ran) == number + 1

        asyncio.run(run())


class TestSplitter:
    """Tests of the splitting of events."""

    def test_an_event_in_small_pieces_takes_linear_time(self):
        """Guards against copying the bytes of an event at every read."""
        splitter = event_streams.Splitter()
        began = time.process_time()
        for _ in range(buffer_bounds.EVENT_BYTES // 16):
            assert splitter.feed(b"0123456789abcdef") == []
        assert time.process_time() - began < 2
        with pytest.raises(buffer_bounds.BoundExceededError):
            splitter.feed(b"x")

    @pytest.mark.parametrize("size", [1, 2, 3, 7])
    def test_pieces_give_the_same_events_as_the_whole(self, size):
        """Guards against events that depend on how their bytes arrive."""
        data = b"id: 1\n\n\n\ndata: a\n\n\ndata: b\n\n:c\nid: 12\n\nrest"
        whole, pieces = event_streams.Splitter(), event_streams.Splitter()
        events = [
            event
            for start in range(0, len(data), size)
            for event in pieces.feed(data[start : start + size])
        ]
        assert events == whole.feed(data)
        assert bytes(pieces.rest) == bytes(whole.rest) == b"rest"


class TestResponseParser:
    """Tests of the counting of heads."""

    def test_a_head_does_not_count_for_the_next_one(self):
        """Guards against kept connections that reach a bound by and by."""
        ends = []
        parser = http_messages.ResponseParser(
            heads=lambda head: None,
            pieces=lambda data: None,
            ends=ends.append,
        )
        line = b"A: %b\r\n" % (b"x" * 30000)
        body = b"Content-Length: 9\r\n\r\n123456789"
        for _ in range(9):
            parser.feed(OK + line + body)
        assert len(ends) == 9

    @pytest.mark.parametrize("piece", [1000, 65536])
    @pytest.mark.parametrize("excess", [0, 1])
    @pytest.mark.parametrize("kind", ["bytes", "lines"])
    def test_a_head_at_the_bound_passes(self, kind, excess, piece):
        """Guards against refusing the largest honest heads."""
        heads = []
        parser = http_messages.ResponseParser(
            heads=heads.append,
            pieces=lambda data: None,
            ends=lambda count: None,
        )
        length = b"Content-Length: 0\r\n"
        if kind == "lines":
            most = buffer_bounds.HEAD_LINES
            fields = length + b"A: b\r\n" * (most - 1 + excess)
        else:
            most = buffer_bounds.HEAD_BYTES
            size = most - len(OK + length + b"A: \r\n\r\n") - 1
            # The status line and the empty line are counted with a part of
            # the head only.
            size += excess * len(OK + b"\r\n\r\n")
            fields = length + b"A: %b\r\n" % (b"x" * size)
        data = OK + fields + b"\r\n"
        assert kind == "lines" or excess or len(data) == most - 1

        def feed():
            for start in range(0, len(data), piece):
                parser.feed(data[start : start + piece])

        if not excess:
            feed()
            [head] = heads
            assert len(head.headers) == fields.count(b"\r\n")
            return
        with pytest.raises(buffer_bounds.BoundExceededError):
            feed()
        assert not heads


class TestServerConnection:
    """Tests of how much is read at a time."""

    def test_slow_handling_gives_smaller_reads(self):
        """Guards against one connection that occupies the event loop."""
        seconds = 2 * server_connections.HANDLING_SECONDS

        def relay(data):
            until = time.thread_time() + seconds
            while time.thread_time() < until:
                pass

        connection = server_connections.ServerConnection(address="")
        connection.busy = True
        connection.relay = relay
        connection.data_received(OK + b"\r\n")
        connection._events.clear()
        sizes = []
        for _ in range(9):
            size = len(connection.get_buffer(-1))
            connection.get_buffer(-1)[:] = b"x" * size
            connection.buffer_updated(size)
            sizes.append(size)
            if size == server_connections.MIN_READ_BYTES:
                seconds = 0
        assert min(sizes) == server_connections.MIN_READ_BYTES
        assert sizes[-1] == server_connections.MAX_READ_BYTES

    @pytest.mark.parametrize("ended", [False, True])
    def test_a_connection_closed_by_the_budget_breaks(self, ended):
        """Guards against waiting for a connection whose end was discarded."""

        async def run():
            budget = buffer_budgets.BufferBudget(bound=2_000_000)
            holder = buffer_budgets.Holder(
                budget=budget,
                unsent_bytes=lambda: 0,
                close_client=lambda exceeded: pytest.fail("client closed"),
            )
            connection = server_connections.ServerConnection(address="")
            connection.busy = True
            connection.count_for(holder)
            connection.data_received(OK + b"\r\n" + b"x" * 1000)
            if ended:
                connection.connection_lost(None)
            assert budget.held == 1000
            holder.note(buffer_budgets.Part.COLLECTED, 2_000_000)
            assert budget.held == 0
            event = await asyncio.wait_for(connection.next(), 1.0)
            assert isinstance(event, server_connections.ConnectionBroken)
            assert event.exceeded.bound is buffer_bounds.Bound.BUFFERS
            assert not connection.has_unread_input()

        asyncio.run(run())


class TestBufferBudget:
    """Tests of the order in which holders are closed."""

    def holder(self, budget, unsent, closed, name):
        holder = buffer_budgets.Holder(
            budget=budget,
            unsent_bytes=lambda: unsent,
            close_client=lambda exceeded: closed.append(name),
        )
        holder.note(buffer_budgets.Part.UNSENT, unsent)
        return holder

    def test_a_server_is_closed_if_its_client_reads_all(self):
        """Guards against closing clients for what a server has sent."""
        closed = []
        budget = buffer_budgets.BufferBudget(bound=2_000_000)
        large = self.holder(budget, 0, closed, "client")
        large.close_server = closed.append
        large.note(buffer_budgets.Part.FAILED_ANSWER, 1000)
        large.note(buffer_budgets.Part.COLLECTED, 1_000_000)
        small = self.holder(budget, 0, closed, "other client")
        small.close_server = lambda exceeded: pytest.fail("small was closed")
        small.note(buffer_budgets.Part.QUEUED, 100_000)
        small.note(buffer_budgets.Part.COLLECTED, 800_000)
        assert not closed
        large.note(buffer_budgets.Part.INCOMPLETE_EVENT, 500_000)
        [exceeded] = closed
        assert exceeded.bound is buffer_bounds.Bound.BUFFERS
        assert exceeded.size == 1_501_000
        assert large.close_server is None
        # What isn't held of the server's connection stays counted.
        assert (large.held, budget.held) == (1000, 901_000)

    def test_closing_a_client_frees_its_kept_failure(self):
        """Guards against closing further clients until the first has ended."""
        closed = []
        budget = buffer_budgets.BufferBudget(bound=500_000)
        for number in range(3):
            holder = self.holder(budget, 0, closed, number)
            holder.progress_at = number
            holder.note(buffer_budgets.Part.FAILED_ANSWER, 200_000)
            holder.progress_at = number
        assert len(closed) == 1
        assert budget.held == 400_000

    def test_the_largest_and_then_the_slowest_is_closed(self):
        """Guards against closing clients that read before those that don't."""
        closed = []
        budget = buffer_budgets.BufferBudget(bound=2_000_000)
        slow = self.holder(budget, 200_000, closed, "slow")
        self.holder(budget, 250_000, closed, "reads")
        slow.progress_at -= 5
        self.holder(budget, 1_000_000, closed, "large")
        assert not closed
        self.holder(budget, 900_000, closed, "new")
        assert closed == ["large"]
        self.holder(budget, 700_000, closed, "other")
        assert closed == ["large", "new"]
        for number in range(5):
            self.holder(budget, 200_000, closed, f"n{number}")
        assert closed[2] == "other"
        assert budget.held <= budget.bound
