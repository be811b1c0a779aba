"""Client of a model engine."""

from collections.abc import Iterator
import urllib.parse

import msgspec
import urllib3

from pimentoledge import http_faults
from pimentoledge import http_pools
from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.runners import messages
from pimentoledge.runners import streams
from pimentoledge.runners import wires

POOL_SIZE = 128
READ_BYTES = 65536


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

    def start(self) -> None:
        """Opens the connection pool."""
        self.pool = http_pools.Pool(size=POOL_SIZE, timeout=self.timeout)

    def close(self) -> None:
        """Closes the idle connections; running streams go on."""
        if self.pool is not None:
            self.pool.cut()

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
        reader = streams.StreamReader(request=run.request, attempt=run.attempt)
        body = wires.encode(wires.Submission(run=run, salt=salt))
        headers = {"traceparent": run.trace} if run.trace else {}
        return self._stream(
            reader, "POST", wires.COMPLETIONS, body=body, headers=headers
        )

    def resume(
        self, request: str, attempt: int, index: int
    ) -> Iterator[streams.Event]:
        """Goes on with a stream after its connection broke.

        Args:
            request: request id.
            attempt: attempt number.
            index: number of the first token that is still needed.
        """
        reader = streams.StreamReader(
            request=request, attempt=attempt, index=index
        )
        fields = {"request": request, "attempt": attempt, "index": index}
        return self._stream(reader, "GET", wires.RESUME, fields=fields)

    def cancel(self, request: str, attempt: int) -> bool:
        """Cancels a stream; False when the engine did not confirm it."""
        fields = {"request": request, "attempt": attempt}
        answer = self._call("POST", wires.CANCEL, fields=fields)
        return answer is not None and answer.status == 200

    def status(self) -> events.EngineStatus:
        """Returns what the engine says; empty when it can't be reached."""
        answer = self._call("GET", wires.STATUS)
        status = _decoded(answer, wires.status_decoder)
        return status or events.EngineStatus()

    def order(self, order: messages.Order) -> messages.OrderAnswer:
        """Gives an order; "down" when no answer came.

        An order whose answer did not come may have been accepted; the status
        tells.
        """
        answer = self._call("POST", wires.ORDERS, body=wires.encode(order))
        decoded = _decoded(answer, wires.order_answer_decoder)
        return decoded or messages.OrderAnswer(accepted=False, reason="down")

    def cache_events(
        self, after: int, seconds: float = 0.0
    ) -> messages.CacheEvents | None:
        """Returns cache events with greater numbers, or None if it is down.

        Args:
            after: number of the last event known.
            seconds: how long the engine may wait for the first one.
        """
        fields = {"after": after, "seconds": seconds}
        answer = self._call("GET", wires.EVENTS, fields=fields, seconds=seconds)
        return _decoded(answer, wires.cache_events_decoder)

    def export_kv(self, blocks: list[bytes]) -> messages.KvBlocks | None:
        """Returns cached blocks from the start of a chain; None on a fault."""
        body = wires.encode(wires.Chain(blocks=blocks))
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

    def _stream(
        self,
        reader: streams.StreamReader,
        method: str,
        path: str,
        *,
        fields: dict[str, object] | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Iterator[streams.Event]:
        timeout = urllib3.Timeout(connect=self.timeout, read=self.silence)
        try:
            answer = self.pool.request(
                method,
                self._url(path, fields),
                timeout=timeout,
                preload_content=False,
                body=body,
                headers=headers,
            )
        except urllib3.exceptions.HTTPError as error:
            not_run = http_faults.never_sent(error)
            ran = results.Ran.NOT_RUN if not_run else results.Ran.RAN
            yield reader.broken(str(error), ran)
            return
        try:
            if answer.status != 200:
                yield _refused(reader, answer)
                return
            yield from _events(reader, answer)
        finally:
            _release(reader, answer)


def _release(
    reader: streams.StreamReader, answer: urllib3.BaseHTTPResponse
) -> None:
    # Only a connection whose answer was read to its end can serve another
    # request; on any other, rests of this answer would be taken for the next.
    try:
        if reader.whole and answer.read1(1) == b"":
            answer.release_conn()
            return
    except (urllib3.exceptions.HTTPError, OSError):
        pass
    answer.close()


def _refused(
    reader: streams.StreamReader, answer: urllib3.BaseHTTPResponse
) -> events.EngineBroken:
    try:
        data = answer.read(decode_content=False)
        refusal = wires.refusal_decoder.decode(data)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        # Some other server's words, or half an answer: it may have run.
        return reader.broken(f"status {answer.status}")
    if answer.status != wires.REFUSED or refusal.ran != results.Ran.NOT_RUN:
        return reader.broken(refusal.reason)
    return reader.broken(refusal.reason, results.Ran.NOT_RUN)


def _events(
    reader: streams.StreamReader, answer: urllib3.BaseHTTPResponse
) -> Iterator[streams.Event]:
    while not reader.over:
        try:
            data = answer.read1(READ_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            yield reader.broken(str(error))
            return
        if not data:
            yield reader.broken("the stream stopped without its end mark")
            return
        yield from reader.feed(data)


def _decoded(answer, decoder):
    if answer is None or answer.status != 200:
        return None
    try:
        return decoder.decode(answer.data)
    except msgspec.MsgspecError:
        return None
