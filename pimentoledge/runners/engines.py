"""Client of a model engine."""

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
CLOSED = "the client was closed"
# The reason given with an order that was not answered.
NO_ANSWER = "down"


class EngineClient:
    """Calls one engine over HTTP; may be used from any thread; no retries.

    Attributes:
        url: base URL of the engine.
        timeout: seconds to connect, and for each answer that isn't a stream.
        silence: seconds without a byte after which a stream counts as broken;
            long enough for a completion to wait in the engine's queue.
    """

    def __init__(
        self, *, url: str, timeout: float = 2.0, silence: float = 60.0
    ):
        self.url = url
        self.timeout = timeout
        self.silence = silence
        self.pool = None
        self.starters = None
        self.closing = False
        self.opening: set[stream_tasks.OpenStream] = set()
        self.task = stream_tasks.StreamTask(silence=silence)

    def start(self) -> None:
        """Opens the connection pool and starts the reading thread."""
        self.closing = False
        self.pool = http_pools.HttpPool(size=POOL_SIZE, timeout=self.timeout)
        # A thread is needed from the sending of a completion to the first
        # bytes of its answer.
        self.starters = futures.ThreadPoolExecutor(
            max_workers=POOL_SIZE, thread_name_prefix="engine-start"
        )
        self.task.start()

    def close(self) -> None:
        """Breaks the streams that still run and closes all connections."""
        if self.pool is None or self.closing:
            return
        self.closing = True
        self.pool.cut()
        # A starter that waits for first bytes would hold up the end of the
        # process until the engine speaks; the pool no longer knows its
        # connection.
        for reading in list(self.opening):
            reading.disconnect()
        self.starters.shutdown()
        self.task.close()

    def run(
        self, run: actions.RunCompletion, salt: str
    ) -> Iterator[streams.Event]:
        """Runs a completion and gives out what comes, as it comes.

        The last event is always one EngineEnded or EngineBroken. Its ran is
        "not_run" only when no connection came about or when the engine
        refused in so many words.

        Args:
            run: the completion.
            salt: what its cached blocks depend on: organisation, model,
                adapter and weights version.
        """
        return _Events(
            begin=lambda deliver: self.start_run(run, salt, deliver),
            abandon=self.abandon,
        )

    def start_run(
        self,
        run: actions.RunCompletion,
        salt: str,
        deliver: stream_tasks.Deliver,
    ) -> stream_tasks.OpenStream:
        """Runs a completion and gives its events to a receiver.

        Returns at once. The receiver is called from the client's threads, one
        call at a time for a stream, with one or more events. A receiver that
        is given for many streams gets what came for all of them together.

        Args:
            run: the completion.
            salt: as for `run`.
            deliver: the receiver; it must not block.
        """
        reader = streams.StreamReader(request=run.request, attempt=run.attempt)
        body = wires.encode(wires.CompletionBody(run=run, salt=salt))
        headers = {"traceparent": run.trace} if run.trace else {}
        call = Call(
            method="POST",
            url=self.url + wires.COMPLETIONS_PATH,
            body=body,
            headers=headers,
        )
        return self._begin(reader, call, deliver)

    def resume(
        self, request: str, attempt: int, index: int
    ) -> Iterator[streams.Event]:
        """Goes on with a stream after its connection broke.

        Args:
            request: request id.
            attempt: attempt number.
            index: number of the first token that is still needed.
        """
        return _Events(
            begin=lambda deliver: self.start_resume(
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
        """Goes on with a stream, and gives its events to a receiver.

        Args:
            request: request id.
            attempt: attempt number.
            index: number of the first token that is still needed.
            deliver: the receiver, as for `start_run`.
        """
        reader = streams.StreamReader(
            request=request, attempt=attempt, index=index
        )
        fields = {"request": request, "attempt": attempt, "index": index}
        call = Call(method="GET", url=self._url(wires.RESUME, fields))
        return self._begin(reader, call, deliver)

    def abandon(self, reading: stream_tasks.OpenStream) -> None:
        """Closes a stream's connection; the engine itself goes on."""
        self.task.abandon(reading)

    def cancel(self, request: str, attempt: int) -> bool:
        """Cancels a stream; False when the engine did not confirm it."""
        fields = {"request": request, "attempt": attempt}
        answer = self._call("POST", wires.CANCEL, fields=fields)
        return answer is not None and answer.status == 200

    def status(self) -> events.EngineStatus:
        """Returns what the engine says; empty when it can't be reached."""
        answer = self._call("GET", wires.STATUS_PATH)
        status = _decoded(answer, wires.status_decoder)
        return status or events.EngineStatus()

    def order(self, order: messages.Order) -> messages.OrderAnswer:
        """Gives an order; "down" when no answer came.

        An order whose answer did not come may have been accepted; the status
        tells.
        """
        answer = self._call("POST", wires.ORDERS, body=wires.encode(order))
        decoded = _decoded(answer, wires.order_answer_decoder)
        return decoded or messages.OrderAnswer(accepted=False, reason=NO_ANSWER)

    def cache_events(
        self, after: int, seconds: float = 0.0
    ) -> messages.CacheEvents | None:
        """Returns cache events with greater numbers, or None if it is down.

        Args:
            after: number of the last event known.
            seconds: how long the engine may wait for the first one.
        """
        fields = {"after": after, "seconds": seconds}
        answer = self._call(
            "GET", wires.EVENTS_PATH, fields=fields, seconds=seconds
        )
        return _decoded(answer, wires.cache_events_decoder)

    def export_kv(self, blocks: list[bytes]) -> messages.KvBlocks | None:
        """Returns cached blocks from the start of a chain; None on a fault."""
        body = wires.encode(wires.ExportRequest(blocks=blocks))
        answer = self._call("POST", wires.KV_EXPORT, body=body)
        return _decoded(answer, wires.kv_decoder)

    def import_kv(self, kv: messages.KvBlocks) -> float | None:
        """Gives blocks; returns the seconds until they can be used.

        Returns:
            None when the engine did not take them.
        """
        answer = self._call("POST", wires.KV_IMPORT, body=wires.encode(kv))
        decoded = _decoded(answer, wires.seconds_decoder)
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

    def _begin(
        self,
        reader: streams.StreamReader,
        call: "Call",
        deliver: stream_tasks.Deliver,
    ) -> stream_tasks.OpenStream:
        reading = stream_tasks.OpenStream(reader=reader, deliver=deliver)
        try:
            self.starters.submit(self._open, reading, call)
        except RuntimeError:
            # The executor takes nothing more: `close` was faster.
            reading.deliver([reader.broken(CLOSED, results.Ran.NOT_RUN)])
        return reading

    def _open(self, reading: stream_tasks.OpenStream, call: "Call") -> None:
        self.opening.add(reading)
        try:
            going_on = self._first(reading, call)
        except Exception as error:
            # Nobody looks at what a starter raises; its receiver would wait
            # for ever for the end of the stream.
            going_on = False
            reading.deliver([reading.reader.broken(f"defect: {error!r}")])
        finally:
            self.opening.discard(reading)
        if going_on:
            self.task.add(reading)
        elif reading.answer is not None:
            reading.answer.close()

    def _first(self, reading: stream_tasks.OpenStream, call: "Call") -> bool:
        """Sends a request; returns whether the stream task reads on."""
        reader = reading.reader
        if self.closing:
            reading.deliver([reader.broken(CLOSED, results.Ran.NOT_RUN)])
            return False
        timeout = urllib3.Timeout(connect=self.timeout, read=self.silence)
        try:
            reading.answer = self.pool.request(
                call.method,
                call.url,
                body=call.body,
                headers=call.headers,
                timeout=timeout,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            not_run = http_faults.never_sent(error)
            ran = results.Ran.NOT_RUN if not_run else results.Ran.RAN
            reading.deliver([reader.broken(str(error), ran)])
            return False
        if reading.answer.status != 200:
            reading.deliver([_refused(reader, reading.answer)])
            return False
        if self.closing:
            reading.disconnect()
        chunked = "transfer-encoding" in reading.answer.headers
        reading.read()
        while chunked and not reader.over and not reading.abandoned:
            reading.read()
        return not chunked and not reader.over


@attrs.define(kw_only=True)
class Call:
    """A request that is answered by a stream."""

    method: str
    url: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


class _Events:
    """Iterator over the events of one stream; waits for the next."""

    def __init__(self, *, begin, abandon):
        self.queue = queue.SimpleQueue()
        self.abandon = abandon
        self.waiting = collections.deque()
        self.over = False
        self.reading = begin(self.queue.put)

    def __iter__(self):
        return self

    def __next__(self) -> streams.Event:
        if self.over:
            raise StopIteration
        while not self.waiting:
            self.waiting.extend(self.queue.get())
        event = self.waiting.popleft()
        self.over = isinstance(event, events.EngineEnded | events.EngineBroken)
        return event

    def close(self) -> None:
        """Gives the rest of the stream up."""
        self.over = True
        self.abandon(self.reading)


def _refused(
    reader: streams.StreamReader, answer: urllib3.BaseHTTPResponse
) -> events.EngineBroken:
    try:
        data = answer.read(decode_content=False)
        refusal = wires.refusal_decoder.decode(data)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        # Some other server's words, or half an answer: it may have run.
        return reader.broken(f"status {answer.status}")
    if (
        answer.status != wires.REFUSED_STATUS
        or refusal.ran != results.Ran.NOT_RUN
    ):
        return reader.broken(refusal.reason)
    return reader.broken(refusal.reason, results.Ran.NOT_RUN)


def _decoded(answer, decoder):
    if answer is None or answer.status != 200:
        return None
    try:
        return decoder.decode(answer.data)
    except msgspec.MsgspecError:
        return None
