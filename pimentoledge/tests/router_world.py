"""Routers with fakes of the platform, for tests of the request path."""

import asyncio
import contextlib
import itertools
import random
import socket
import threading

import attrs
from returns import result

from pimentoledge import settings
from pimentoledge.platform import stand_in_platforms
from pimentoledge.routing import clocks
from pimentoledge.routing import daemons

# Time for which a client waits.
DEADLINE_MS = 2500
HOST = stand_in_platforms.HOST
KEY = stand_in_platforms.KEY
MODEL = stand_in_platforms.MODEL
route = stand_in_platforms.route
configuration = stand_in_platforms.configuration


# Below the ephemeral ports of the system: one of those could be assigned to a
# connection between its choice and its use.
PORTS = range(10000, 20000)
# Number of ports that a test process reserves at a time. It listens on the
# first of them until it ends, so that no other test process uses the block.
BLOCK_SIZE = 200
_block_sockets = []
# No two requests of a test process have the same id.
_numbers = itertools.count(1)
_ports = []


def _reserve_block():
    """Reserves a block of ports that no other test process uses."""
    for first in random.sample(PORTS[::BLOCK_SIZE], len(PORTS[::BLOCK_SIZE])):
        try:
            _block_sockets.append(socket.create_server(("127.0.0.1", first)))
        except OSError:
            continue
        _ports.extend(range(first + 1, first + BLOCK_SIZE))
        return
    raise OSError("no block of test ports is free")


def free_port():
    """Returns a port that is not in use and was not returned before."""
    while True:
        if not _ports:
            _reserve_block()
        port = _ports.pop()
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue


class RouterWorld:
    """A fake store, fake servers and real routers.

    Attributes:
        store: the fake store.
        servers: the fake backend servers by incarnation.
        kv_server: the fake KV cache server.
        routers: the routers, which run on the test's event loop.
    """

    def __init__(self):
        self.platform = stand_in_platforms.StandInPlatform()
        self.store = self.platform.store
        self.servers = self.platform.servers
        self.kv_server = self.platform.kv_server
        self.write_registration = self.platform.write_registration
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
        await self.until(self.all_servers_known)

    async def until_retries_allowed(self, service, count=1):
        """Waits until the retry budgets of new routers hold some retries."""
        await self.until(
            lambda: all(
                each.view.budget(service).allowance(
                    clocks.now(), each.view.members
                )
                >= count
                for each in self.routers
            )
        )

    def all_servers_known(self):
        return all(
            len(each.view.servers.by_incarnation) == len(self.servers)
            and each.view.wanted
            for each in self.routers
        )

    async def add_router(self, name, port, ports, **more):
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
            **more,
        }
        checked = settings.check_settings(
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
        """Waits for a condition; raises TimeoutError if it isn't met."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self):
        for each in self._tasks:
            each.cancel()
        for router in self.routers:
            router.close()
        # Lets cancelled tasks close their connections; closing the fakes waits
        # for them.
        await asyncio.sleep(0.05)
        self.platform.close()
        await asyncio.sleep(0)

    def client(self, number=0, **more):
        return Client(self.routers[number].chosen.text("listen"), **more)

    async def request(self, path, number=0, **more):
        """Sends one request on a new connection and returns the response."""
        client = self.client(number)
        await client.open()
        try:
            return await client.request(path, **more)
        finally:
            client.close()

    async def request_while_connecting(
        self, server, other, path="/cards/", **more
    ):
        """Starts a request and waits until it is connecting to `server`.

        The other server of the service is avoided for the first 0.3 s.

        Args:
            server: incarnation of the server.
            other: incarnation of the other server.
            path: path of the request.
            **more: further arguments of `request`.

        Returns:
            The task of the request.
        """
        [router] = self.routers
        backends = router.view.servers.by_incarnation
        opened = asyncio.Event()
        open_connection = router.pool._open

        async def open_slowly(address, seconds):
            connection = await open_connection(address, seconds)
            if address == backends[server].registration.address:
                opened.set()
                await asyncio.sleep(0.4)
            return connection

        router.pool._open = open_slowly
        backends[other].avoid_until = clocks.now() + 0.3
        request_task = asyncio.ensure_future(
            self.request(path, **({"body": b"c"} | more))
        )
        await opened.wait()
        return request_task

    async def roll_out(self, version):
        """Announces new weights; returns the orders that load them.

        Fails the test if a runner doesn't get them by exactly one order, or
        if two routers sent orders.
        """
        announced = {"model": MODEL, "version": version}
        self.store.put("versions", MODEL, announced)
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

    def executed_requests(self, service):
        """Returns the requests that servers of a service have run."""
        return [
            call
            for server in self.servers.values()
            if server.service == service
            for call in server.calls
            if call.ran
        ]


class ClientResponse:
    """The response that a client received.

    Attributes:
        status: HTTP status, or None without a response.
        headers: values by lower-case name.
        body: the received part of the body.
        complete: whether the whole response was received.
    """

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Client:
    """A client's connection to a router."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.port
        )

    def close(self):
        self.writer.close()

    def send(
        self,
        path,
        *,
        method="POST",
        body=b"",
        key=KEY,
        headers=(),
        version="1.1",
    ):
        """Sends a request without reading the response."""
        fields = {
            "Host": HOST,
            "Request-Id": f"q-{next(_numbers)}",
            "Deadline-Ms": str(DEADLINE_MS),
            "Content-Length": str(len(body)),
        }
        if key is not None:
            fields["Authorization"] = f"Bearer {key}"
        fields.update(headers)
        lines = [f"{method} {path} HTTP/{version}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def request(self, path, **more):
        """Sends a request and returns the response."""
        self.send(path, **more)
        async with asyncio.timeout(8):
            return await self.read()

    async def read(self):
        """Reads a response until its end or the connection's end."""
        head = await self._read_head()
        if head is None:
            return ClientResponse(None, {}, b"", complete=False)
        status, headers = head
        if "transfer-encoding" in headers:
            body, complete = await self._read_chunks()
        else:
            length = int(headers.get("content-length", 0))
            body = await self.reader.read(0)
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                body = await self.reader.readexactly(length)
            complete = len(body) == length
        return ClientResponse(status, headers, body, complete)

    async def _read_head(self):
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

    async def read_to_close(self):
        """Reads a response whose body ends with the connection."""
        status, headers = await self._read_head()
        body, complete = b"", False
        with contextlib.suppress(ConnectionError):
            while data := await self.reader.read(65536):
                body += data
            complete = True
        return ClientResponse(status, headers, body, complete)

    async def _read_chunks(self):
        body = b""
        while True:
            try:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                chunk = await self.reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError):
                return body, False
            if not size:
                return body, True
            body += chunk[:-2]


def with_world(**sizes):
    """Returns a decorator that runs a coroutine with a started RouterWorld.

    Args:
        **sizes: numbers of routers and servers; see RouterWorld.start.
    """

    def decorate(test):
        def run():
            async def run_in_world():
                world = RouterWorld()
                try:
                    await world.start(**sizes)
                    await test(world)
                finally:
                    await world.close()

            asyncio.run(run_in_world())
            # Leaked threads would keep ports of the next test in use.
            assert threading.active_count() < 200

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate


def bounds_without_slack(bounds):
    """Returns bounds whose retry budget consists of the ratio alone."""
    return attrs.evolve(bounds, budget_slack=0.0)


def stream_headers(parts="aa:600,bb:900,own:40", **more):
    """Returns the headers of a request to a model."""
    return {
        "Model": MODEL,
        "Token-Usage": "1540,20",
        "Prompt-Prefix": parts,
        **more,
    }
