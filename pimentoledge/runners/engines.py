"""HTTP client of a model engine."""

import collections
from collections.abc import Iterator
from concurrent import futures
import queue
import urllib.parse

import attrs
import msgspec
import urllib3

from pimentoledge import http_faults
from pimentoledge import http_pools
from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.runners import messages
from pimentoledge.runners import stream_tasks
from pimentoledge.runners import streams
from pimentoledge.runners import wires

POOL_SIZE = 128
CLIENT_CLOSED = "the client was closed"
# Reason returned for an order that got no valid response.
NO_ANSWER_REASON = "down"


class EngineClient:
    """Calls one engine over HTTP, without retries; thread-safe.

    Attributes:
        url: base URL of the engine.
        timeout: connect timeout, and read timeout of each response that isn't
            a stream, in seconds.
        idle_timeout: seconds without a byte after which a stream counts as
            broken; must exceed the time that a completion may wait in the
            engine's queue.
    """

    def __init__(
        self, *, url: str, timeout: float = 2.0, idle_timeout: float = 60.0
    ):
        self.url = url
        self.timeout = timeout
        self.idle_timeout = idle_timeout
        self.pool = None
        self.executor = None
        self.closing = False
        self.opening_streams: set[stream_tasks.OpenStream] = set()
        self.task = stream_tasks.StreamTask(idle_timeout=idle_timeout)

    def start(self) -> None:
        """Opens the connection pool and starts the stream task."""
        self.closing = False
        self.pool = http_pools.HttpPool(
            size=POOL_SIZE, timeout=self.timeout, reuses=False
        )
        # Each request occupies a thread from sending it until the first bytes
        # of its response.
        self.executor = futures.ThreadPoolExecutor(
            max_workers=POOL_SIZE, thread_name_prefix="engine-start"
        )
        self.task.start()

    def close(self) -> None:
        """Ends all open streams as broken and closes all connections."""
        if self.pool is None or self.closing:
            return
        self.closing = True
        self.pool.cut()
        # A thread that waits for first bytes would block the shutdown until
        # the engine responds. Its connection is no longer in the pool, so it
        # is shut down here.
        for stream in list(self.opening_streams):
            stream.disconnect()
        self.executor.shutdown()
        self.task.close()

    def run(
        self, run: actions.RunCompletion, salt: str
    ) -> Iterator[streams.Event]:
        """Runs a completion and iterates over its events as they arrive.

        The last event is always one EngineEnded or EngineBroken. Its `ran` is
        "not_run" only when no connection was established or the engine
        returned an explicit refusal.

        Args:
            run: the completion.
            salt: the cache salt, derived from organisation, model, adapter
                and weights version.
        """
        return _EventIterator(
            start=lambda deliver: self.start_run(run, salt, deliver),
            abandon=self.abandon,
        )

    def start_run(
        self,
        run: actions.RunCompletion,
        salt: str,
        deliver: stream_tasks.Deliver,
    ) -> stream_tasks.OpenStream:
        """Runs a completion and passes its events to a callback.

        Returns at once. The callback is called from the client's threads,
        never concurrently for one stream, with one or more events. A callback
        shared by several streams gets the events that arrived for all of them
        in one call.

        Args:
            run: the completion.
            salt: as for `run`.
            deliver: the callback; it must not block.
        """
        reader = streams.StreamReader(request=run.request, attempt=run.attempt)
        body = wires.encode(wires.CompletionBody(run=run, salt=salt))
        headers = {"traceparent": run.trace} if run.trace else {}
        stream_request = StreamRequest(
            method="POST",
            url=self.url + wires.COMPLETIONS_PATH,
            body=body,
            headers=headers,
        )
        return self._submit(reader, stream_request, deliver)

    def resume(
        self, request: str, attempt: int, index: int
    ) -> Iterator[streams.Event]:
        """Resumes a stream whose connection broke; iterates over its events.

        Args:
            request: request id.
            attempt: attempt number.
            index: number of the first missing token.
        """
        return _EventIterator(
            start=lambda deliver: self.start_resume(
                request, attempt, index, deliver
            ),
            abandon=self.abandon,
        )

    def start_resume(
        self,
        request: str,
        attempt: int,
        index: int,
        deliver: stream_tasks.Deliver,
    ) -> stream_tasks.OpenStream:
        """Resumes a stream and passes its events to a callback.

        Args:
            request: request id.
            attempt: attempt number.
            index: number of the first missing token.
            deliver: the callback, as for `start_run`.
        """
        reader = streams.StreamReader(
            request=request, attempt=attempt, index=index
        )
        fields = {"request": request, "attempt": attempt, "index": index}
        stream_request = StreamRequest(
            method="GET", url=self._url(wires.RESUME_PATH, fields)
        )
        return self._submit(reader, stream_request, deliver)

    def abandon(self, stream: stream_tasks.OpenStream) -> None:
        """Closes a stream's connection; the engine continues generating."""
        self.task.abandon(stream)

    def cancel(self, request: str, attempt: int) -> bool:
        """Cancels a stream; returns whether the engine confirmed it."""
        fields = {"request": request, "attempt": attempt}
        response = self._call("POST", wires.CANCEL_PATH, fields=fields)
        return response is not None and response.status == 200

    def status(self) -> events.EngineStatus:
        """Returns the engine's status; empty when it can't be reached."""
        response = self._call("GET", wires.STATUS_PATH)
        status = _decode_response(response, wires.status_decoder)
        return status or events.EngineStatus()

    def order(self, order: messages.Order) -> messages.OrderAnswer:
        """Sends an order; the reason is "down" if no valid response came.

        Such an order may still have been accepted; the engine's status shows
        whether it took effect.
        """
        response = self._call(
            "POST", wires.ORDERS_PATH, body=wires.encode(order)
        )
        decoded = _decode_response(response, wires.order_answer_decoder)
        return decoded or messages.OrderAnswer(
            accepted=False, reason=NO_ANSWER_REASON
        )

    def cache_events(
        self, after: int, seconds: float = 0.0
    ) -> messages.CacheEvents | None:
        """Returns cache events with higher numbers, or None on a fault.

        Args:
            after: number of the last known event.
            seconds: how long the engine may wait for the first event.
        """
        fields = {"after": after, "seconds": seconds}
        response = self._call(
            "GET", wires.EVENTS_PATH, fields=fields, seconds=seconds
        )
        return _decode_response(response, wires.cache_events_decoder)

    def export_kv(self, blocks: list[bytes]) -> messages.KvBlocks | None:
        """Exports the cached leading blocks of a chain; None on a fault."""
        body = wires.encode(wires.ExportRequest(blocks=blocks))
        response = self._call("POST", wires.KV_EXPORT_PATH, body=body)
        return _decode_response(response, wires.kv_blocks_decoder)

    def import_kv(self, kv: messages.KvBlocks) -> float | None:
        """Imports blocks into the engine's cache.

        Returns:
            Seconds until the blocks can be used; None when the engine did not
            accept them.
        """
        response = self._call(
            "POST", wires.KV_IMPORT_PATH, body=wires.encode(kv)
        )
        decoded = _decode_response(response, wires.import_answer_decoder)
        return None if decoded is None else decoded.seconds

    def _url(self, path: str, fields: dict[str, object] | None) -> str:
        query = "?" + urllib.parse.urlencode(fields) if fields else ""
        return self.url + path + query

    def _call(
        self,
        method: str,
        path: str,
        *,
        fields: dict[str, object] | None = None,
        body: bytes | None = None,
        seconds: float = 0.0,
    ) -> urllib3.BaseHTTPResponse | None:
        timeout = urllib3.Timeout(
            connect=self.timeout, read=self.timeout + seconds
        )
        try:
            return self.pool.request(
                method, self._url(path, fields), timeout=timeout, body=body
            )
        except urllib3.exceptions.HTTPError:
            return None

    def _submit(
        self,
        reader: streams.StreamReader,
        request: "StreamRequest",
        deliver: stream_tasks.Deliver,
    ) -> stream_tasks.OpenStream:
        stream = stream_tasks.OpenStream(reader=reader, deliver=deliver)
        try:
            self.executor.submit(self._open_stream, stream, request)
        except RuntimeError:
            # `close` has already shut the executor down.
            stream.deliver(
                [reader.mark_broken(CLIENT_CLOSED, results.Ran.NOT_RUN)]
            )
        return stream

    def _open_stream(
        self, stream: stream_tasks.OpenStream, request: "StreamRequest"
    ) -> None:
        self.opening_streams.add(stream)
        try:
            unfinished = self._send_request(stream, request)
        except Exception as error:
            # An exception on an executor thread would go unnoticed, and the
            # stream's receiver would wait for its end forever.
            unfinished = False
            stream.deliver([stream.reader.mark_broken(f"defect: {error!r}")])
        finally:
            self.opening_streams.discard(stream)
        if unfinished:
            self.task.add(stream)
        elif stream.response is not None:
            stream.response.close()

    def _send_request(
        self, stream: stream_tasks.OpenStream, request: "StreamRequest"
    ) -> bool:
        """Sends a request and reads the first bytes of its response.

        Returns:
            Whether the stream task has to read the rest.
        """
        reader = stream.reader
        if self.closing:
            stream.deliver(
                [reader.mark_broken(CLIENT_CLOSED, results.Ran.NOT_RUN)]
            )
            return False
        timeout = urllib3.Timeout(connect=self.timeout, read=self.idle_timeout)
        try:
            stream.response = self.pool.request(
                request.method,
                request.url,
                body=request.body,
                headers=request.headers,
                timeout=timeout,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            not_run = http_faults.never_sent(error)
            ran = results.Ran.NOT_RUN if not_run else results.Ran.RAN
            stream.deliver([reader.mark_broken(str(error), ran)])
            return False
        if stream.response.status != 200:
            stream.deliver([_refusal_event(reader, stream.response)])
            return False
        if self.closing:
            stream.disconnect()
        chunked = "transfer-encoding" in stream.response.headers
        stream.receive_and_deliver()
        while chunked and not reader.finished and not stream.abandoned:
            stream.receive_and_deliver()
        return not chunked and not reader.finished


@attrs.define(kw_only=True)
class StreamRequest:
    """An HTTP request whose response is a stream."""

    method: str
    url: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


class _EventIterator:
    """Iterates over the events of one stream; blocks until the next one."""

    def __init__(self, *, start, abandon):
        self.queue = queue.SimpleQueue()
        self.abandon = abandon
        self.pending = collections.deque()
        self.finished = False
        self.stream = start(self.queue.put)

    def __iter__(self):
        return self

    def __next__(self) -> streams.Event:
        if self.finished:
            raise StopIteration
        while not self.pending:
            self.pending.extend(self.queue.get())
        event = self.pending.popleft()
        self.finished = isinstance(
            event, events.EngineEnded | events.EngineBroken
        )
        return event

    def close(self) -> None:
        """Abandons the rest of the stream."""
        self.finished = True
        self.abandon(self.stream)


def _refusal_event(
    reader: streams.StreamReader, response: urllib3.BaseHTTPResponse
) -> events.EngineBroken:
    try:
        data = response.read(decode_content=False)
        refusal = wires.refusal_decoder.decode(data)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        # The response is from another server or truncated, so the completion
        # may have run.
        return reader.mark_broken(f"status {response.status}")
    if (
        response.status != wires.REFUSED_STATUS
        or refusal.ran != results.Ran.NOT_RUN
    ):
        return reader.mark_broken(refusal.reason)
    return reader.mark_broken(refusal.reason, results.Ran.NOT_RUN)


def _decode_response(response, decoder):
    if response is None or response.status != 200:
        return None
    try:
        return decoder.decode(response.data)
    except msgspec.MsgspecError:
        return None
