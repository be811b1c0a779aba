"""Stand-ins of runners for the scripts in review/4 to review/8."""

import asyncio
import json

import stage2


class ModelRunner:
    """A model runner that registers itself, reports and takes orders.

    It doesn't check fences (`requireFencing` is false) and keeps all orders.
    """

    def __init__(self, name, *, store, record, model="m", version=1):
        self.name = name
        self.store = store
        self.record = record
        self.model = model
        self.version = version
        self.busy = False
        self.taken = 0
        self.beats = 0
        self.orders = []
        self.server = stage2.Server(self._serve)
        self._tasks = []

    async def start(self):
        await self.server.start()
        await self.register()

    async def close(self):
        for each in self._tasks:
            each.cancel()
        await self.server.close()

    async def register(self):
        self.beats += 1
        await self.store.put(
            "servers",
            self.name,
            {
                "service": "runners",
                "address": self.server.address,
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "models": self._models(),
                "seq": self.beats,
            },
        )

    def _models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def _serve(self, request, reader, writer):
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            return stage2.encode(421, [("Not-Run", "1")])
        if request.path == "/-/report":
            return stage2.encode_json(
                200,
                {
                    "stage": "both",
                    "models": self._models(),
                    "busy": self.busy,
                    "seq": self.taken,
                    "waiting": 0,
                    "running": 0,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "handles": 0,
                    "state": "ready",
                    "runs": [],
                },
            )
        if request.path == "/-/order":
            return self._order(json.loads(request.body))
        return stage2.encode(404, [])

    def _order(self, order):
        at = self.record.now()
        status = self._verdict(order)
        self.orders.append((at, order["holder"], order["fence"], status))
        self.record.write(
            f"runner {self.name}: order {json.dumps(order)} -> {status}"
        )
        if status == 202:
            self.taken += 1
            self.busy = True
            self._tasks.append(asyncio.ensure_future(self._load(order)))
        return stage2.encode_json(status, {})

    def _verdict(self, order):
        if self.busy:
            return 409
        if order.get("precondition", self.taken) != self.taken:
            return 409
        if order["version"] == self.version:
            return 200
        return 202

    async def _load(self, order):
        await asyncio.sleep(0.55)
        self.version = order["version"]
        self.busy = False
        await self.register()


class PlainServer:
    """A server of a plain service. It runs requests and keeps what ran.

    Attributes:
        answer_bytes: size of its answers.
        work_seconds: how long it works on a request.
        ran: for each request that it ran: its id, when it arrived, its method,
            target and body.
    """

    def __init__(
        self,
        name,
        *,
        store,
        record,
        service="plain",
        slots=6,
        answer_bytes=800,
        work_seconds=0.06,
    ):
        self.name = name
        self.service = service
        self.slots = slots
        self.store = store
        self.record = record
        self.answer_bytes = answer_bytes
        self.work_seconds = work_seconds
        self.ran = []
        self.beats = 0
        self.server = stage2.Server(self._serve)

    async def start(self):
        await self.server.start()
        await self.register()

    async def close(self):
        await self.server.close()

    async def register(self, state="ready"):
        self.beats += 1
        await self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.server.address,
                "zone": "a",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": 0,
                "seq": self.beats,
            },
        )

    async def _serve(self, request, reader, writer):
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            return stage2.encode(421, [("Not-Run", "1")])
        if request.path == "/health":
            return stage2.encode(200, [("Instance-Id", self.name)])
        name = request.headers.get("request-id", "")
        self.ran.append(
            (name, self.record.now(), request.method, request.target,
             request.body)
        )
        self.record.write(f"server {self.name} runs {name}")
        await asyncio.sleep(self.work_seconds)
        head = [("Request-Id", name), ("Server-Stamp", f"{self.name}.{name}")]
        body = (name.encode() + b" ") * self.answer_bytes
        return stage2.encode(200, head, body[: self.answer_bytes])


class StutteringServer(PlainServer):
    """A plain server that writes its answers in pieces.

    Attributes:
        piece_bytes: size of a piece; each is sent by itself.
        garbles: returns whether the next answer is broken off before its last
            piece, and followed by a second answer to the same request.
    """

    def __init__(self, name, *, piece_bytes, garbles, **more):
        super().__init__(name, **more)
        self.piece_bytes = piece_bytes
        self.garbles = garbles
        self.bodies = {}
        self.garbled = []

    async def _serve(self, request, reader, writer):
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            return stage2.encode(421, [("Not-Run", "1")])
        name = request.headers.get("request-id", "")
        self.ran.append(
            (name, self.record.now(), request.method, request.target,
             request.body)
        )
        await asyncio.sleep(self.work_seconds)
        answer = self._answer(200, name)
        garbled = self.garbles()
        cut = len(answer) - self.piece_bytes if garbled else len(answer)
        await self._write(writer, answer[:cut])
        if not garbled:
            return b""
        self.garbled.append(name)
        self.record.write(
            f"server {self.name} breaks off {name}, and answers it again"
        )
        await asyncio.sleep(0.1)
        await self._write(writer, self._answer(500, name))
        return b""

    def _answer(self, status, name):
        """Returns an answer whose size is a multiple of that of a piece."""
        head = [
            ("Content-Type", "text/plain"),
            ("Server-Stamp", f"{self.name}.{name}"),
            ("Request-Id", name),
        ]
        size = self.answer_bytes
        while True:
            body = (f"{name} of {self.name}\n".encode() * size)[:size]
            answer = stage2.encode(status, head, body)
            if len(answer) % self.piece_bytes == 0:
                break
            size += 1
        if status == 200:
            self.bodies[name] = body
        return answer

    async def _write(self, writer, data):
        for begin in range(0, len(data), self.piece_bytes):
            writer.write(data[begin : begin + self.piece_bytes])
            await writer.drain()
            await asyncio.sleep(0.002)
