"""Routers before stand-ins of the platform, for tests of the whole path."""

import asyncio
import contextlib
import random
import socket
import threading

from returns import result

from pimentoledge import settings
from pimentoledge.platform import stand_in_platforms
from pimentoledge.routing import clocks
from pimentoledge.routing import daemons

HOST = stand_in_platforms.HOST
KEY = stand_in_platforms.KEY
MODEL = stand_in_platforms.MODEL
route = stand_in_platforms.route
configuration = stand_in_platforms.configuration


# Below the ports that the system gives to clients' connections: one of those
# could be taken between its choice and its use.
PORTS = range(20000, 32000)
# Ports that one process takes at a time. It listens at the first of them for as
# long as it lives, so that no other process of tests gives them.
SHARE = 200
_guards = []
_ports = []


def _take_share():
    """Takes ports that no other process of tests gives."""
    for first in random.sample(PORTS[::SHARE], len(PORTS[::SHARE])):
        try:
            _guards.append(socket.create_server(("127.0.0.1", first)))
        except OSError:
            continue
        _ports.extend(range(first + 1, first + SHARE))
        return
    raise OSError("no share of the tests' ports is free")


def free_port():
    """Returns a port that nobody listens at, and that was not given before."""
    while True:
        if not _ports:
            _take_share()
        port = _ports.pop()
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue


class World:
    """A store, servers and routers.

    Attributes:
        store: the stand-in of the store.
        servers: the stand-ins of backend servers, by incarnation.
        kept: the stand-in of the KV cache server.
        routers: the routers; their loop is the test's.
    """

    def __init__(self):
        self.platform = stand_in_platforms.StandInPlatform()
        self.store = self.platform.store
        self.servers = self.platform.servers
        self.kept = self.platform.kept
        self.tell = self.platform.tell
        self.routers = []
        self._tasks = []

    async def start(self, *, routers=1, plain=2, runners=2):
        self.platform.start(plain=plain, runners=runners)
        ports = [free_port() for _ in range(routers)]
        for number in range(routers):
            await self.add_router(f"router-{number}", ports[number], ports)
        await self.until(
            lambda: all(each.view.ready() for each in self.routers)
        )
        await self.until(self.all_known)

    def all_known(self):
        return all(
            len(each.view.servers.by_incarnation) == len(self.servers)
            and each.view.wanted
            for each in self.routers
        )

    async def add_router(self, name, port, ports):
        flags = {
            "name": name,
            "data-centre": "a",
            "listen": f"127.0.0.1:{free_port()}",
            "ready-listen": f"127.0.0.1:{free_port()}",
            "metrics-listen": f"127.0.0.1:{free_port()}",
            "peer-listen": f"127.0.0.1:{port}",
            "peer-seeds": ",".join(f"127.0.0.1:{each}" for each in ports),
            "store-address": self.store.address,
            "lease-ms": "200",
        }
        checked = settings.check(
            program=settings.ROUTER, flags={}, environment={}, file=flags
        )
        match checked:
            case result.Success(chosen):
                router = daemons.Router(chosen=chosen)
        self.routers.append(router)
        await router.start()
        self._tasks.append(asyncio.ensure_future(self._tick(router)))
        return router

    async def _tick(self, router):
        while True:
            router.tick()
            await asyncio.sleep(daemons.TICK_SECONDS)

    async def until(self, condition, seconds=5.0):
        """Waits for a condition; fails the test if it doesn't come."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self):
        for each in self._tasks:
            each.cancel()
        for router in self.routers:
            router.close()
        # Lets cancelled tasks close their connections, for which the
        # stand-ins' ends would wait.
        await asyncio.sleep(0.05)
        self.platform.close()
        await asyncio.sleep(0)

    def client(self, number=0, **more):
        return Client(self.routers[number].chosen.text("listen"), **more)

    async def ask(self, path, number=0, **more):
        """Sends one request on a connection of its own."""
        client = self.client(number)
        await client.open()
        try:
            return await client.ask(path, **more)
        finally:
            client.close()

    async def ask_while_opening(self, server, other):
        """Returns a request whose connection to a server is being opened.

        The other server of the service takes no request at first.
        """
        [router] = self.routers
        known = router.view.servers.by_incarnation
        opened = asyncio.Event()
        open_connection = router.pool._open

        async def slowly(address, seconds):
            connection = await open_connection(address, seconds)
            if address == known[server].registration.address:
                opened.set()
                await asyncio.sleep(0.4)
            return connection

        router.pool._open = slowly
        known[other].avoid_until = clocks.now() + 0.3
        asked = asyncio.ensure_future(self.ask("/cards/", body=b"c"))
        await opened.wait()
        return asked

    async def roll_out(self, version):
        """Names new weights; returns the orders that brought them everywhere.

        Fails the test if a runner doesn't get them by exactly one order, or
        if two routers gave orders.
        """
        named = {"model": MODEL, "version": version}
        self.store.put("versions", MODEL, named)
        runners = [
            each for each in self.servers.values() if each.service == "runners"
        ]
        await self.until(
            lambda: all(each.weights[MODEL] == version for each in runners),
            seconds=9,
        )
        orders = [order for each in runners for order in each.orders]
        assert len(orders) == len(runners)
        assert len({order["holder"] for order in orders}) == 1
        return orders

    def ran(self, service):
        """Returns the requests that servers of a service worked on."""
        return [
            call
            for server in self.servers.values()
            if server.service == service
            for call in server.calls
            if call.ran
        ]


class WorldAnswer:
    """What a client got.

    Attributes:
        status: HTTP status, or None without an answer.
        headers: by lower-case name.
        body: the body as far as it came.
        whole: whether the answer has its end.
    """

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


class Client:
    """A client's connection."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.number = 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.port
        )

    def close(self):
        self.writer.close()

    def send(self, path, *, method="POST", body=b"", key=KEY, headers=()):
        """Sends a request's bytes."""
        self.number += 1
        given = {
            "Host": HOST,
            "Request-Id": f"q-{id(self)}-{self.number}",
            "Deadline-Ms": "2500",
            "Content-Length": str(len(body)),
        }
        if key is not None:
            given["Authorization"] = f"Bearer {key}"
        given.update(headers)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in given.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def ask(self, path, **more):
        """Sends a request and reads its answer."""
        self.send(path, **more)
        async with asyncio.timeout(8):
            return await self.read()

    async def read(self):
        """Reads an answer to its end, or to the connection's."""
        head = await self._head()
        if head is None:
            return WorldAnswer(None, {}, b"", whole=False)
        status, headers = head
        if "transfer-encoding" in headers:
            body, whole = await self._chunks()
        else:
            length = int(headers.get("content-length", 0))
            body = await self.reader.read(0)
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                body = await self.reader.readexactly(length)
            whole = len(body) == length
        return WorldAnswer(status, headers, body, whole)

    async def _head(self):
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        first, *rest = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {}
        for line in rest:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        return int(first.split()[1]), headers

    async def _chunks(self):
        body = b""
        while True:
            try:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                piece = await self.reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError):
                return body, False
            if not size:
                return body, True
            body += piece[:-2]


def played(**sizes):
    """Makes a test of a coroutine that is given a started world."""

    def decorate(test):
        def run():
            async def whole():
                world = World()
                try:
                    await world.start(**sizes)
                    await test(world)
                finally:
                    await world.close()

            asyncio.run(whole())
            # A thread left behind would hold up the next test's ports.
            assert threading.active_count() < 200

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate


def stream_headers(parts="aa:600,bb:900,own:40", **more):
    """Returns the headers of a request for a model."""
    return {
        "Model": MODEL,
        "Token-Usage": "1540,20",
        "Prompt-Prefix": parts,
        **more,
    }
