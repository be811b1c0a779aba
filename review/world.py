"""Stand-ins of the platform's store, runners and requesters, on loopback.

They follow the users' pages. Routers run as separate processes, with the run
line of deploy/system.toml and settings rendered from deploy/router.toml.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
PORTS = range(20000, 32000)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = "shop.example"
KEY = "key-of-acme"
MODEL = "m0"

# Bounds of the sheet of jadran-pimento-grown; ms, s or shares.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "outerMs": 6000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 98,
    "recoverS": 15,
    "leaseMs": 3000,
    "thawMs": 300,
    "versionMs": 12000,
    "versionAllMs": 17000,
}
LIMITS = {"cpuShare": 0.817, "memoryMb": 136, "linkMbps": 100.0}
ZONES = ("koper-a", "koper-b", "izola-c")


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        self.file.close()


_taken = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in _taken:
            continue
        with socket.socket() as tried:
            try:
                tried.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, self.query = target.partition("?")

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([each async for each in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.port = free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**20, backlog=512
        )

    def close(self):
        """Closes all sockets, as the end of the process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        # By kind and name: metadata, and the text of the spec as JSON.
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object as the operator or a runner does: the ack."""
        self.put_text(kind, name, json.dumps(spec))

    def beat(self, name, spec):
        """Writes a runner's entry; it changes when more than `seq` changes."""
        known = self.objects.get(("servers", name))
        if known is not None:
            with contextlib.suppress(ValueError, TypeError):
                before = json.loads(known["text"])
                if {**before, "seq": 0} == {**spec, "seq": 0}:
                    known["text"] = json.dumps(spec)
                    return
        self.put("servers", name, spec)

    def put_text(self, kind, name, text):
        """Writes an object whose spec is any JSON text."""
        known = self.objects.get((kind, name))
        if known is not None and known["text"] == text:
            return
        self.revision += 1
        meta = {
            "name": name,
            "rev": self.revision,
            "createRev": self.revision if known is None else known["meta"]["createRev"],
            "finalizers": [],
            "deleting": False,
        }
        self.objects[kind, name] = {"meta": meta, "text": text}
        self._note(kind, name, False)

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.revision += 1
            gone = self.objects.pop((kind, name))
            gone["meta"] = {**gone["meta"], "rev": self.revision}
            self._note(kind, name, True, gone)

    def _note(self, kind, name, deleted, stored=None):
        stored = stored or self.objects[kind, name]
        self.history.append((self.revision, kind, deleted, self._text(stored)))
        self.changed.set()
        self.changed = asyncio.Event()

    def _text(self, stored):
        return '{"metadata":%s,"spec":%s,"status":null}' % (
            json.dumps(stored["meta"]),
            stored["text"],
        )

    async def handle(self, request, reader, writer):
        await asyncio.sleep(0.004)
        parts = request.path.removeprefix("/-/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        query = dict(
            each.partition("=")[::2] for each in request.query.split("&") if each
        )
        status, text = 200, ""
        if request.method == "GET" and name:
            stored = self.objects.get((kind, name))
            status, text = (404, "{}") if stored is None else (200, self._text(stored))
        elif request.method == "GET" and "watch" in query:
            text = await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        elif request.method == "GET":
            items = [
                self._text(each)
                for (of_kind, _), each in sorted(self.objects.items())
                if of_kind == kind
            ]
            text = '{"items":[%s],"more":false,"storeRevision":%d}' % (
                ",".join(items),
                self.revision,
            )
        elif request.method == "DELETE":
            known = self.objects.get((kind, name))
            if known is None:
                status, text = 404, "{}"
            elif "rev" in query and int(query["rev"]) != known["meta"]["rev"]:
                status, text = 409, self._text(known)
            else:
                self.remove(kind, name)
                text = "{}"
        else:
            status, text = self._write(request.method, kind, json.loads(request.body))
        writer.write(
            encode(status, text.encode(), [("Content-Type", "application/json")])
        )
        await writer.drain()
        return True

    def _write(self, method, kind, body):
        name = body["metadata"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known is not None:
                return 409, self._text(known)
        elif known is None:
            return 404, "{}"
        else:
            rev = body["metadata"].get("rev")
            if rev is not None and rev != known["meta"]["rev"]:
                return 409, self._text(known)
        self.put(kind, name, body["spec"])
        return 200, self._text(self.objects[kind, name])

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            found = [
                each for each in self.history if each[0] > since and each[1] == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        events = ",".join(
            '{"object":%s,"deleted":%s}' % (text, "true" if deleted else "false")
            for _, _, deleted, text in found
        )
        return '{"events":[%s],"storeRevision":%d}' % (events, self.revision)


class Runner(HttpServer):
    """A runner: of a plain service, or one that serves a model."""

    def __init__(self, record, store, name, service, *, zone=ZONES[0], weights=None):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.weights = weights
        self.named = {}
        self.state = "ready"
        self.slots = 8
        self.work_s = 0.03
        self.events = 6
        self.event_s = 0.03
        self.seq = 0
        self.beats = 0
        self.loading = False
        self.running = 0
        self.beating = None
        self.born = int(1000 * time.time())
        self.on_request = lambda request: None
        self.answer = lambda request: b"done by " + name.encode()

    def register(self):
        """Writes its own entry, as it does about every 1,200 ms."""
        self.beats += 1
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.beats,
            "born": self.born,
        }
        if self.weights is not None:
            spec["models"] = self._models()
        self.store.beat(self.name, spec)

    async def keep_registered(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def retire(self):
        """Ends the process and removes its entry."""
        if self.beating is not None:
            self.beating.cancel()
        self.store.remove("servers", self.name)
        self.close()

    def _models(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.weights.items()
        ]

    async def handle(self, request, reader, writer):
        expected = request.get("expect-instance")
        if expected not in (None, self.name):
            writer.write(encode(421, headers=self._head(request) + [("Not-Run", "1")]))
            return True
        if request.path == "/-/report":
            body = {
                "stage": "both",
                "models": self._models(),
                "busy": self.loading,
                "seq": self.seq,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
                "state": self.state,
                "born": self.born,
            }
            writer.write(encode(200, json.dumps(body).encode()))
            return True
        if request.path == "/-/order":
            status = self._order(json.loads(request.body))
            writer.write(encode(status, b"{}"))
            return True
        if request.path.startswith("/-/"):
            writer.write(encode(404))
            return True
        model = request.get("model")
        wanted = request.get("expect-version")
        if wanted is not None and int(wanted) != (self.weights or {}).get(model):
            writer.write(encode(421, headers=self._head(request) + [("Not-Run", "1")]))
            return True
        if self.loading or self.running >= 4 * self.slots:
            writer.write(encode(503, headers=self._head(request) + [("Not-Run", "1")]))
            return True
        self.running += 1
        self.record.write(
            f"run      {request.get('request-id')} at {self.name}"
            f" ({self.service}), {len(request.body)} bytes"
        )
        self.on_request(request)
        try:
            await self._run(request, writer)
        finally:
            self.running -= 1
        return self.state == "ready"

    def _head(self, request):
        head = [
            ("Request-Id", request.get("request-id", "")),
            ("Server-Stamp", f"stamp.{self.name}"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", "timeout=15"),
        ]
        if self.state != "ready":
            head.append(("Connection", "close"))
        return head

    async def _run(self, request, writer):
        if self.weights is None:
            await asyncio.sleep(self.work_s)
            writer.write(encode(200, self.answer(request), self._head(request)))
            await writer.drain()
            return
        head = self._head(request) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("Weight-Versions", self.weights[request.get("model")]),
        ]
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _order(self, body):
        model, version = body.get("model"), body.get("version")
        status = 202
        if version > self.named.get(model, 0) or version <= 0:
            # A version that was not named.
            status = 400
        elif self.weights.get(model) == version:
            status = 200
        elif self.loading or body.get("precondition", self.seq) != self.seq:
            status = 409
        if status == 202:
            self.seq += 1
            asyncio.get_running_loop().create_task(self._load(model, version))
        self.record.write(
            f"order    {body.get('op')} {model} version {version} to {self.name}"
            f" from {body.get('holder')} fence {body.get('fence')}: {status}"
        )
        return status

    async def _load(self, model, version):
        self.loading = True
        await asyncio.sleep(0.55)
        self.weights[model] = version
        self.loading = False
        self.register()


def render(template, fields):
    """Fills in a settings template as the users' platform does."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(found):
        return found[2] if look_up(found[1]) in (None, False) else ""

    def text(found):
        value = look_up(found[1])
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return str(value)

    filled = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", text, filled)


class Router:
    """A router process, as the deploy file runs it."""

    def __init__(self, record, folder, store, name, zone, ports, seeds):
        self.record = record
        self.name = name
        self.zone = zone
        self.folder = folder
        self.front, self.ready_port, self.control, self.metrics = ports
        fields = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready_port}",
                "control": f"127.0.0.1:{self.control}",
            },
            "portRange": [self.metrics, self.metrics],
            "seeds": seeds,
            "provider": {"address": store.address},
            "bounds": BOUNDS,
            "limits": LIMITS,
        }
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["router"]
        template = (ROOT / self.role["template"]).read_text()
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.settings.write_text(render(template, fields))
        self.process = None
        self.starts = 0
        self.ends = []
        self.stopping = False
        self.ended = asyncio.Event()
        self._watching = None

    async def start(self):
        self.starts += 1
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PIMENTOLEDGE_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        program, *arguments = self.role["run"].split()
        self.process = await asyncio.create_subprocess_exec(
            program,
            *arguments,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"platform starts {self.name}")
        self._watching = asyncio.get_running_loop().create_task(
            self._watch(self.process)
        )

    async def _watch(self, process):
        """Restarts the process after a short delay when it has ended."""
        status = await process.wait()
        self.ends.append((self.record.now(), status))
        self.ended.set()
        if self.stopping:
            return
        self.record.say(f"{self.name} has ended, status {status}")
        await asyncio.sleep(0.5)
        if not self.stopping:
            await self.start()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def resident_mb(self):
        """Returns the resident memory of the process, in MB."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

    async def stop(self):
        self.stopping = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        answer = await call(self.ready_port, "GET", "/-/ready", seconds=1.0)
        return answer.status == 200


class Answer:
    """What a requester got: status 0 means a connection without an answer."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, why=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole
        self.why = why

    def served(self):
        return self.whole and self.status == 200 and "server-stamp" in self.headers


class Connection:
    """A requester's kept connection."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def send(self, method, target, headers=(), body=b"", seconds=5.0):
        """Sends a request and returns its answer."""
        try:
            async with asyncio.timeout(seconds):
                if self.writer is None or self.writer.is_closing():
                    self.reader, self.writer = await asyncio.open_connection(
                        "127.0.0.1", self.port, limit=2**20
                    )
                lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body:
                    lines.append(f"Content-Length: {len(body)}")
                self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await self.writer.drain()
                return await self._read()
        except TimeoutError:
            self.close()
            return Answer(why="no answer in time")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(why=f"closed: {type(error).__name__}")

    async def _read(self):
        head = await read_head(self.reader)
        if head is None:
            self.close()
            return Answer(why="closed without an answer")
        first, headers = head
        status = int(first.split(" ")[1])
        try:
            body = await read_body(self.reader, headers)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return Answer(status, headers, why="the answer ended early")
        if headers.get("connection") == "close":
            self.close()
        return Answer(status, headers, body, whole=True)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def call(port, method, target, headers=(), body=b"", seconds=5.0):
    connection = Connection(port)
    try:
        return await connection.send(method, target, headers, body, seconds)
    finally:
        connection.close()


def route(name, service, kind, **more):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind != "safe" else 2,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
        **more,
    }


def manifest(version=1, kv_store="", tenants=None):
    services = [
        {"name": "yard-orders", "maxConns": 230},
        {
            "name": "lm-fleet",
            "maxConns": 490,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 114380,
                "kvBytes": 18432,
                "linkMbps": 550000,
                "models": [{"name": MODEL}],
            },
        },
    ]
    if kv_store:
        services.append({"name": "prompt-keep", "kvStore": kv_store, "zone": ZONES[0]})
    return {
        "version": version,
        "routes": [
            route("order", "yard-orders", "unsafe"),
            route("stock", "yard-orders", "safe"),
            route(
                "check",
                "lm-fleet",
                "stream",
                timeoutMs=4000,
                targetLatencyMs=400,
                gapAimMs=300,
                resumable=True,
                maxAttempts=2,
            ),
            route(
                "note",
                "lm-fleet",
                "stream",
                timeoutMs=12000,
                targetLatencyMs=600,
                gapAimMs=300,
            ),
        ],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants or [{"name": "acme", "apiKeys": [KEY], "priority": 2}],
    }


class World:
    """A store, runners and routers; ends all of them when it closes."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.runners = {}
        self.routers = []
        self.named = {}

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for each in self.routers:
            await each.stop()
        for each in self.runners.values():
            each.beating.cancel()
            each.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_runner(self, name, service, **more):
        runner = Runner(self.record, self.store, name, service, **more)
        runner.named = self.named
        await runner.start()
        runner.register()
        runner.beating = asyncio.get_running_loop().create_task(
            runner.keep_registered()
        )
        self.runners[name] = runner
        return runner

    async def add_runners(self):
        """Starts three runners of each service."""
        for index, zone in enumerate(ZONES):
            await self.add_runner(f"i-o{index}", "yard-orders", zone=zone)
            runner = await self.add_runner(
                f"i-m{index}", "lm-fleet", zone=zone, weights={MODEL: 1}
            )
            runner.slots = 64
            runner.register()

    def name_weights(self, version):
        """Names a version of the weights, as the operator does."""
        self.named[MODEL] = version
        self.store.put("versions", MODEL, {"model": MODEL, "version": version})

    async def start_routers(self, number):
        ports = [[free_port() for _ in range(4)] for _ in range(number)]
        seeds = [f"127.0.0.1:{each[2]}" for each in ports[:3]]
        for index in range(number):
            self.routers.append(
                Router(
                    self.record,
                    self.folder,
                    self.store,
                    f"front-{index}",
                    ZONES[index % 3],
                    ports[index],
                    seeds,
                )
            )
        for each in self.routers:
            await each.start()
        await self.until(self.all_ready, 20.0)

    async def all_ready(self):
        return all([await each.is_ready() for each in self.routers])

    async def until(self, condition, seconds):
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun("the system did not get ready")
            await asyncio.sleep(0.1)


class CannotRun(Exception):
    """The case can't be run."""


class Balancer:
    """Asks each router each second whether it is ready.

    After two misses a router gets no new connections until it answers 200. If
    fewer than half of a zone's routers are in rotation, all of that zone are
    used; if none is, those of the other zones in rotation, if there are any.
    """

    def __init__(self, world):
        self.world = world
        self.misses = {}
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        while True:
            routers = list(self.world.routers)
            ready = await asyncio.gather(*[each.is_ready() for each in routers])
            for each, answered in zip(routers, ready, strict=True):
                misses = 0 if answered else self.misses.get(each.name, 0) + 1
                if misses == 2:
                    self.world.record.say(f"{each.name} is out of rotation")
                self.misses[each.name] = misses
            await asyncio.sleep(1.0)

    def choose(self, number):
        """Returns the router for a new connection of a requester."""
        routers = self.world.routers
        zone = routers[number % len(routers)].zone
        own = [each for each in routers if each.zone == zone]
        inside = [each for each in own if self.misses.get(each.name, 0) < 2]
        if inside:
            own = inside if 2 * len(inside) >= len(own) else own
        else:
            own = [
                each for each in routers if self.misses.get(each.name, 0) < 2
            ] or own
        return own[number % len(own)]

    def close(self):
        self._task.cancel()


class Requester:
    """Sends requests one after another on a kept connection.

    Attributes:
        answers: for each request its id, when it was sent, when its answer
            came, and the answer.
    """

    def __init__(self, world, balancer, number, name):
        self.world = world
        self.balancer = balancer
        self.number = number
        self.name = name
        self.connection = None
        self.router = None
        self.sent = 0
        self.answers = []

    async def send(self, path, headers, body, deadline_ms):
        """Sends one request and records its answer."""
        record = self.world.record
        if self.connection is None or self.connection.writer is None:
            self.router = self.balancer.choose(self.number)
            self.connection = Connection(self.router.front)
        self.sent += 1
        request = f"{self.name}-{self.sent}"
        began = record.now()
        record.write(f"sent     {request} {path} to {self.router.name}")
        answer = await self.connection.send(
            "POST",
            path,
            [("Request-Id", request), ("Deadline-Ms", deadline_ms), *headers],
            body,
            deadline_ms / 1000,
        )
        ended = record.now()
        record.write(
            f"answered {request} {answer.status} {answer.why}"
            f" after {ended - began:.3f} s"
        )
        self.answers.append((request, began, ended, answer))
        return answer


def run(case, folder):
    """Runs a case; exits with its status."""
    record = Record(folder)

    async def guarded():
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        async with asyncio.timeout(110):
            async with World(record) as world:
                return await case(world, record)

    try:
        status = asyncio.run(guarded())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.say(f"cannot run: {error!r}")
        status = CANNOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}[status])
    record.close()
    sys.exit(status)
