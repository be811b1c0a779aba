"""HTTP server that runs a fake engine in real time."""

import collections
import threading
import time

import cheroot.server

from pimentoledge import fake_http
from pimentoledge.decisions import events
from pimentoledge.runners import fake_engines
from pimentoledge.runners import streams
from pimentoledge.runners import wires

# Threads for status, orders, cache events and KV transfers, in addition to one
# per stream.
CONTROL_THREADS = 16
EVENT_POLL_SECONDS = 0.05
DRAIN_SECONDS = 10.0

StreamKey = tuple[str, int]


class StreamSink:
    """Writes one stream to its client's connection.

    The thread that steps the engine writes without blocking, so that a slow
    client delays only its own stream. Bytes that do not fit into the socket's
    buffer are kept in `unsent`, whose size is bounded by the length of one
    answer.

    Attributes:
        request: the HTTP request; its thread waits for `done`.
        chunked: whether the response uses chunked encoding; otherwise it ends
            when the connection closes.
        unsent: bytes that the socket has not accepted yet.
        disconnected: whether the client closed the connection.
        aborted: whether to close the connection without completing the
            response.
        done: set when nothing more will be written.
    """

    def __init__(self, *, request: cheroot.server.HTTPRequest, chunked: bool):
        self.request = request
        self.chunked = chunked
        self.socket = request.conn.socket
        self.socket.setblocking(False)
        self.unsent = b""
        self.disconnected = False
        self.aborted = False
        self.done = threading.Event()

    def write(self, data: bytes) -> None:
        """Writes as much as the socket accepts and buffers the rest."""
        payload = data
        if self.chunked:
            payload = b"%x\r\n%s\r\n" % (len(data), data)
        if self.unsent:
            payload = self.unsent + payload
        try:
            sent = self.socket.send(payload)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The client closed the connection. The engine continues, since the
            # client may resume the stream.
            self.disconnected = True
            sent = len(payload)
        self.unsent = payload[sent:]

    def finish(self) -> None:
        """Lets the request's thread complete the response."""
        self.done.set()

    def cut(self) -> None:
        """Lets the request's thread close the connection mid-response."""
        self.aborted = True
        self.done.set()

    def wait(self) -> None:
        """Waits until the stream has ended, then ends the response."""
        self.done.wait()
        self.socket.settimeout(DRAIN_SECONDS)
        if not self.aborted and not self.disconnected:
            try:
                self.socket.sendall(self.unsent)
            except OSError:
                self.disconnected = True
        if self.aborted or self.disconnected:
            fake_http.cut_connection(self.request)


class FakeEngineServer:
    """Serves a fake engine: streams, orders, status, cache events and KV.

    A crash cuts all connections and closes the port, as the end of a process
    does; the port opens again when the engine restarts.

    Attributes:
        engine: the engine; access it only while holding `lock`.
        lock: guards the engine.
        serving: whether the port is open.
        port_closings: how often the port was closed after a crash.
        lose_writes: number of following writes to streams that lose their
            text, so that the clients see a gap.
        latency: seconds before each response that isn't a stream.
        chunked: whether streams use chunked encoding.
        sinks: the open connection of each stream.
    """

    def __init__(
        self,
        *,
        engine: fake_engines.FakeEngine,
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        self.engine = engine
        self.lock = threading.Condition()
        self.lose_writes = 0
        self.latency = 0.0
        self.chunked = False
        self.sinks: dict[StreamKey, StreamSink] = {}
        self.closing = threading.Event()
        self.thread = None
        self.serving = False
        self.port_closings = 0
        self.server = fake_http.HttpServer(
            handle=self.handle,
            host=host,
            port=port,
            threads=engine.slots + CONTROL_THREADS,
        )
        self.routes = {
            wires.COMPLETIONS_PATH: self.complete,
            wires.RESUME_PATH: self.resume,
            wires.CANCEL_PATH: self.cancel,
            wires.STATUS_PATH: self.status,
            wires.ORDERS_PATH: self.order,
            wires.EVENTS_PATH: self.events,
            wires.KV_EXPORT_PATH: self.export_kv,
            wires.KV_IMPORT_PATH: self.import_kv,
        }

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return self.server.url

    def start(self) -> None:
        """Opens the port and starts the thread that steps the engine."""
        self.closing.clear()
        self.server.start()
        self.serving = True
        self.thread = threading.Thread(target=self.run, name="fake-engine")
        self.thread.start()

    def close(self) -> None:
        """Cuts all streams and stops the server."""
        self.closing.set()
        with self.lock:
            self.lock.notify_all()
        self.thread.join()
        self.cut_streams()
        self.server.close()

    def crash(self) -> None:
        """Crashes the engine; returns when its port is closed."""
        with self.lock:
            closings_before = self.port_closings
            self.engine.crash(time.monotonic())
            self.lock.notify_all()
            # The engine may have restarted before this thread wakes up.
            self.lock.wait_for(
                lambda: self.port_closings > closings_before
                or self.engine.incarnation
            )

    def restart(self) -> None:
        """Restarts the engine; returns when its port is open."""
        with self.lock:
            self.engine.restart(time.monotonic())
            self.lock.notify_all()
            self.lock.wait_for(lambda: self.serving)

    def cut_streams(self) -> None:
        """Cuts the connections of all streams; the engine continues."""
        with self.lock:
            for sink in self.sinks.values():
                sink.cut()
            self.sinks.clear()

    def run(self) -> None:
        """Steps the engine in real time until the server is closed."""
        while not self.closing.is_set():
            with self.lock:
                self._step()
                up = bool(self.engine.incarnation)
            if up != self.serving:
                self._set_serving(up)

    def handle(self, request: cheroot.server.HTTPRequest) -> None:
        """Dispatches one request to its handler."""
        route = self.routes.get(fake_http.path_of(request))
        if route is None:
            fake_http.send_response(request, b"{}", status=404)
            return
        route(request)

    def complete(self, request: cheroot.server.HTTPRequest) -> None:
        """Runs a completion."""
        body = fake_http.read_body(request)
        completion_body = wires.completion_body_decoder.decode(body)
        run = completion_body.run
        with self.lock:
            if self.closing.is_set():
                fake_http.cut_connection(request)
                return
            refused = self.engine.submit(
                run, completion_body.salt, time.monotonic()
            )
            if refused is None:
                sink = self._open_sink(request, (run.request, run.attempt))
                self.lock.notify_all()
        if refused is None:
            sink.wait()
            return
        refusal = wires.Refusal(ran=refused.ran, reason=refused.text)
        fake_http.send_response(
            request, wires.encode(refusal), status=wires.REFUSED_STATUS
        )

    def resume(self, request: cheroot.server.HTTPRequest) -> None:
        """Resumes a stream on a new connection."""
        fields = fake_http.query_of(request)
        key = (fields["request"], int(fields["attempt"]))
        with self.lock:
            if self.closing.is_set():
                fake_http.cut_connection(request)
                return
            resumed_events = self.engine.resume(*key, int(fields["index"]))
            if resumed_events is not None:
                if old := self.sinks.pop(key, None):
                    old.cut()
                sink = self._open_sink(request, key)
                self._deliver(resumed_events)
        if resumed_events is None:
            refusal = wires.Refusal(ran="ran", reason="unknown stream")
            fake_http.send_response(
                request, wires.encode(refusal), status=wires.REFUSED_STATUS
            )
            return
        sink.wait()

    def cancel(self, request: cheroot.server.HTTPRequest) -> None:
        """Cancels a stream."""
        fields = fake_http.query_of(request)
        with self.lock:
            cancelled = self.engine.cancel(
                fields["request"], int(fields["attempt"]), time.monotonic()
            )
            self.lock.notify_all()
        self._respond(request, b"{}", status=200 if cancelled else 404)

    def status(self, request: cheroot.server.HTTPRequest) -> None:
        """Returns the engine's status."""
        with self.lock:
            status = self.engine.status(time.monotonic())
        self._respond(request, wires.encode(status))

    def order(self, request: cheroot.server.HTTPRequest) -> None:
        """Executes an order."""
        order = wires.order_decoder.decode(fake_http.read_body(request))
        with self.lock:
            answer = self.engine.order(order, time.monotonic())
            self.lock.notify_all()
        self._respond(request, wires.encode(answer))

    def events(self, request: cheroot.server.HTTPRequest) -> None:
        """Returns cache events; waits for the first if there are none."""
        fields = fake_http.query_of(request)
        after = int(fields["after"])
        end = time.monotonic() + float(fields.get("seconds", 0))
        while True:
            now = time.monotonic()
            with self.lock:
                batch = self.engine.cache_events(after, now)
            if batch is None or batch.events or now >= end:
                break
            if self.closing.wait(EVENT_POLL_SECONDS):
                break
        if batch is None:
            fake_http.cut_connection(request)
            return
        self._respond(request, wires.encode(batch))

    def export_kv(self, request: cheroot.server.HTTPRequest) -> None:
        """Exports cached blocks."""
        body = wires.export_request_decoder.decode(fake_http.read_body(request))
        with self.lock:
            kv = self.engine.export_kv(body.blocks)
        time.sleep(kv.seconds)
        self._respond(request, wires.encode(kv))

    def import_kv(self, request: cheroot.server.HTTPRequest) -> None:
        """Imports blocks into the cache."""
        kv = wires.kv_blocks_decoder.decode(fake_http.read_body(request))
        with self.lock:
            seconds = self.engine.import_kv(kv, time.monotonic())
            self.lock.notify_all()
        if seconds is None:
            self._respond(request, b"{}", status=wires.DOWN_STATUS)
            return
        self._respond(
            request, wires.encode(wires.ImportAnswer(seconds=seconds))
        )

    def _respond(self, request, body: bytes, status: int = 200) -> None:
        if self.latency > 0:
            time.sleep(self.latency)
        fake_http.send_response(request, body, status=status)

    def _open_sink(
        self, request: cheroot.server.HTTPRequest, key: StreamKey
    ) -> StreamSink:
        headers = [(b"Content-Type", fake_http.EVENT_STREAM)]
        if not self.chunked:
            fake_http.end_with_connection(request, headers)
        fake_http.begin_response(request, 200, headers)
        sink = StreamSink(request=request, chunked=self.chunked)
        sink.write(wires.ACCEPTED_COMMENT)
        self.sinks[key] = sink
        return sink

    def _step(self) -> None:
        wake = self.engine.next_wake()
        now = time.monotonic()
        if self.closing.is_set():
            # `close` notified before the lock was acquired, so nothing would
            # end the wait.
            return
        if wake is None:
            self.lock.wait()
        elif wake > now:
            self.lock.wait(wake - now)
        else:
            self._deliver(self.engine.step(now))

    def _deliver(self, engine_events: list[streams.Event]) -> None:
        """Writes events to their streams, one write per stream."""
        by_stream = collections.defaultdict(list)
        for event in engine_events:
            by_stream[(event.request, event.attempt)].append(event)
        for key, stream_events in by_stream.items():
            sink = self.sinks.get(key)
            if sink is not None:
                self._write_events(key, sink, stream_events)

    def _write_events(
        self, key: StreamKey, sink: StreamSink, stream_events: list
    ) -> None:
        last = stream_events[-1]
        crashed = (
            isinstance(last, events.EngineBroken)
            and last.text == fake_engines.CRASHED
        )
        if crashed:
            stream_events = stream_events[:-1]
        if self.lose_writes > 0:
            self.lose_writes -= 1
            stream_events = [
                each
                for each in stream_events
                if not isinstance(each, events.EngineText)
            ]
        if stream_events:
            sink.write(
                b"".join([wires.encode_event(each) for each in stream_events])
            )
        if crashed:
            sink.cut()
            del self.sinks[key]
        elif not isinstance(
            last,
            events.EngineText | events.EngineStarted,
        ):
            sink.finish()
            del self.sinks[key]

    def _set_serving(self, up: bool) -> None:
        if up:
            self.server.start()
        else:
            with self.lock:
                self._deliver(self.engine.step(time.monotonic()))
            # The remaining sinks no longer have a stream in the engine. Their
            # threads would wait forever, and `close` for these threads.
            self.cut_streams()
            self.server.close()
        with self.lock:
            self.serving = up
            self.port_closings += not up
            self.lock.notify_all()
