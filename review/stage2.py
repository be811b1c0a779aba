"""Stand-ins and processes for the scripts in review/4 to review/8.

Only the standard library is used. Everything listens on loopback addresses and
on ports that the kernel picks. The stand-ins do what the users' pages say, and
a fault only when a script asks for it.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
IP = "127.0.0.1"
STORE_SECONDS = 0.004
BEAT_SECONDS = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The sheet of the site `trznica-ljubljana`.
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 54,
    "leaseMs": 3000,
    "versionMs": 8000,
}
MACHINE = {"linkMbps": 1000.0, "memoryMb": 300, "maxFds": 4100}


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """The file record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self._file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def free_port():
    with socket.socket() as found:
        found.bind((IP, 0))
        return found.getsockname()[1]


# -- HTTP -------------------------------------------------------------------


class Request:
    """A request as a stand-in received it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_json(status, value):
    headers = [("Content-Type", "application/json")]
    return encode(status, headers, json.dumps(value).encode())


class Server:
    """An HTTP server; `serve` answers one request and may return None."""

    def __init__(self, serve):
        self._serve = serve
        self._server = None
        self._writers = set()
        self.port = 0

    @property
    def address(self):
        return f"{IP}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._connected, IP, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()
        for each in list(self._writers):
            each.transport.abort()

    async def _connected(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                answer = await self._serve(request, reader, writer)
                if answer is None:
                    return
                if answer:
                    writer.write(answer)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


# -- The platform's store -----------------------------------------------------


class Store:
    """The platform's store. Each machine reaches it by a door of its own.

    Attributes:
        turned_away: doors whose calls get 503.
        loses: called with the door and each write that was done; returns
            whether its answer is lost. The connection then returns nothing
            further.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.turned_away = set()
        self.loses = lambda door, request: False
        self.writes = []
        self.doors = {}

    async def open_door(self, name):
        async def serve(request, reader, writer):
            return await self._serve(name, request)

        server = self.doors[name] = Server(serve)
        await server.start()
        return server.address

    async def close(self):
        for each in self.doors.values():
            await each.close()

    def _item(self, stored):
        return {
            "metadata": {
                "name": stored["name"],
                "rev": stored["rev"],
                "createRev": stored["createRev"],
                "finalizers": [],
                "deleting": False,
            },
            "spec": stored["spec"],
            "status": None,
        }

    async def put(self, kind, name, spec):
        """Writes an object as the operator or a runner does."""
        async with self.changed:
            stored = self.objects.get((kind, name))
            if stored is not None and stored["spec"] == spec:
                return stored
            self.revision += 1
            stored = {
                "name": name,
                "spec": spec,
                "rev": self.revision,
                "createRev": self.revision
                if stored is None
                else stored["createRev"],
            }
            self.objects[kind, name] = stored
            self.history.append((self.revision, kind, stored, False))
            self.changed.notify_all()
            return stored

    async def remove(self, kind, name):
        async with self.changed:
            stored = self.objects.pop((kind, name), None)
            if stored is None:
                return
            self.revision += 1
            stored = stored | {"rev": self.revision}
            self.history.append((self.revision, kind, stored, True))
            self.changed.notify_all()

    async def _serve(self, door, request):
        await asyncio.sleep(STORE_SECONDS)
        if door in self.turned_away:
            return encode_json(503, {})
        if not request.path.startswith("/-/objects/"):
            return encode_json(404, {})
        kind, _, name = request.path.removeprefix("/-/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if request.method == "GET" and name:
            stored = self.objects.get((kind, name))
            if stored is None:
                return encode_json(404, {})
            return encode_json(200, self._item(stored))
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(door, kind, request.query)
        if request.method == "GET":
            items = [
                self._item(stored)
                for (each, _), stored in self.objects.items()
                if each == kind
            ]
            return encode_json(
                200,
                {"items": items, "more": False, "storeRevision": self.revision},
            )
        return await self._write(door, kind, name, request)

    async def _watch(self, door, kind, query):
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = {}
            for revision, each, stored, deleted in self.history:
                if revision > after and each == kind:
                    events[stored["name"]] = {
                        "object": self._item(stored),
                        "deleted": deleted,
                    }
            left = until - time.monotonic()
            if events or left <= 0:
                break
            async with self.changed:
                try:
                    async with asyncio.timeout(min(left, 0.1)):
                        await self.changed.wait()
                except TimeoutError:
                    pass
            if door in self.turned_away:
                # A watch that waits may be cut off.
                return None
        return encode_json(
            200,
            {"events": list(events.values()), "storeRevision": self.revision},
        )

    async def _write(self, door, kind, name, request):
        if request.method == "DELETE":
            stored = self.objects.get((kind, name))
            if stored is None:
                return encode_json(404, {})
            expected = request.query.get("rev")
            if expected is not None and int(expected) != stored["rev"]:
                return encode_json(409, self._item(stored))
            await self.remove(kind, name)
            return encode_json(200, {})
        body = json.loads(request.body)
        name = name or body["metadata"]["name"]
        stored = self.objects.get((kind, name))
        if request.method == "POST":
            if stored is not None:
                return encode_json(409, self._item(stored))
        else:
            if stored is None:
                return encode_json(404, {})
            expected = body["metadata"].get("rev")
            if expected is not None and expected != stored["rev"]:
                return encode_json(409, self._item(stored))
        stored = await self.put(kind, name, body["spec"])
        lost = self.loses(door, request)
        self.writes.append((self.record.now(), door, kind, name, lost))
        self.record.write(
            f"store: {door} writes {kind}/{name} rev {stored['rev']}"
            f" {json.dumps(body['spec'])}{' ANSWER LOST' if lost else ''}"
        )
        if lost:
            await asyncio.sleep(3600)
        return encode_json(200, self._item(stored))


# -- Routers ------------------------------------------------------------------


def _value(name, fields):
    found = fields
    for part in name.split("."):
        if isinstance(found, list):
            found = found[int(part)] if int(part) < len(found) else None
        else:
            found = found.get(part) if isinstance(found, dict) else None
        if found is None:
            return None
    return found


def render(template, fields):
    """Fills in a settings template as the page on deployment says."""

    def inverted(match):
        return "" if _value(match[1], fields) else match[2]

    def plain(match):
        value = _value(match[1], fields)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return str(value)

    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", inverted, template)
    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


class Routers:
    """Routers as separate processes, started as the deploy file says."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.fields = {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["router"]

    def declare(self, names, zones=("a",)):
        """Chooses the addresses of some routers."""
        control = {name: free_port() for name in names}
        for index, name in enumerate(names):
            self.fields[name] = {
                "node": name,
                "zone": zones[index % len(zones)],
                "ip": IP,
                "listen": {
                    "front": f"{IP}:{free_port()}",
                    "ready": f"{IP}:{free_port()}",
                    "control": f"{IP}:{control[name]}",
                },
                "portRange": [free_port(), free_port()],
                "seeds": [f"{IP}:{port}" for port in control.values()][:3],
                "limits": dict(MACHINE),
                "bounds": dict(BOUNDS),
            }

    def start(self, name, store):
        """Starts a router whose store is at an address."""
        fields = self.fields[name]
        fields["provider"] = {"address": store}
        template = (ROOT / self.role["template"]).read_text()
        settings = self.folder / f"{name}.toml"
        settings.write_text(render(template, fields))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PIMENTOLEDGE_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            self.role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"router {name} starts")

    def front(self, name):
        host, _, port = self.fields[name]["listen"]["front"].rpartition(":")
        return host, int(port)

    def holder_of(self, order_holder):
        """Returns which router a name in an order belongs to."""
        return order_holder.partition("@")[0]

    def signal(self, name, number):
        self.record.write(f"router {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def ready(self, name, seconds=20.0):
        """Waits until a router answers its readiness probe with 200."""
        host, _, port = self.fields[name]["listen"]["ready"].rpartition(":")
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.processes[name].poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                async with asyncio.timeout(1):
                    line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record.write(f"router {name} is ready")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"router {name} is not ready")

    def close(self):
        """Ends all routers, and removes the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            self.record.write(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# -- Configuration --------------------------------------------------------------


def route(name, service, kind, **more):
    """Returns a route as the operator writes it."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 6000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    } | more


def manifest(version, routes, services, **more):
    """Returns a manifest as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "acme", "apiKeys": ["key-of-acme"], "priority": 1}
        ],
    } | more


def run(main, folder):
    """Runs a case; returns the exit status that the review asks for."""
    record = Record(folder)
    routers = Routers(record)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(_limited(main(record, routers, trouble)))
    except CannotRunError as error:
        record.write(f"the case could not run: {error}")
        print(f"could not run: {error}")
        status = NOT_RUN
    except Exception as error:  # The stand-ins failed, not the routers.
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        status = NOT_RUN
    finally:
        routers.close()
    text = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.write(text.get(status, "no verdict"))
    print(text.get(status, "no verdict"))
    record.close()
    return status


async def _limited(coroutine):
    async with asyncio.timeout(110):
        return await coroutine
