"""One caller's request, from its head to the last byte of its answer.

Runs on one of the server's threads, which does nothing else meanwhile. Only
the rest of a stream, behind its first piece, is sent by the writer's thread.
"""

from collections.abc import Iterator
import errno
import hashlib
import http
import math
import select
import socket
import threading
import time

import attrs
from cheroot import errors
from cheroot import server
import logbook
from returns import result

from pimentoledge import results
from pimentoledge.callers import answers
from pimentoledge.callers import completions
from pimentoledge.callers import faults
from pimentoledge.callers import replies
from pimentoledge.callers import service_calls
from pimentoledge.callers import writers
from pimentoledge.decisions import actions
from pimentoledge.decisions import events

# How often a thread that waits looks whether its caller is still there.
POLL_SECONDS = 0.5
# Comes with an answer that a service gave to an earlier, identical call.
REPLAYED_HEADER = ("Idempotent-Replayed", "true")

_LINGER_SECONDS = 2.0
_LINGER_BYTES = 64 * 1024
_BUSY_RETRY_SECONDS = 1.0
_MOST_SECONDS = 86400
_JSON = ("Content-Type", "application/json")
_TEXT = ("Content-Type", "text/plain; charset=utf-8")
_STREAM = (
    ("Content-Type", "text/event-stream; charset=utf-8"),
    ("Cache-Control", "no-cache"),
)
_COMPLETIONS = {"/v1/chat/completions": True, "/v1/completions": False}
_READABLE = ("GET", "HEAD")

_log = logbook.Logger("callers")


class _GoneError(Exception):
    """The caller went away."""


class _CutError(Exception):
    """A stream ended with an error, and the connection must end with it."""


@attrs.define(kw_only=True)
class _Head:
    """What the head of a request says to this system.

    Attributes:
        key_digest: digest of the API key; empty when there is none.
        seconds: time allowed; 0 when none is named.
        batch: whether batch priority is asked for.
        idempotency_key: as given.
        trace: traceparent.
    """

    key_digest: str
    seconds: float
    batch: bool
    idempotency_key: str
    trace: str


def digest_key(key: str) -> str:
    """Returns the hexadecimal BLAKE2b-256 digest of an API key."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


class CallerGateway(server.Gateway):
    """Answers one request.

    Attributes:
        req: the request as the HTTP library read it.
        owner: the servers.CallerServer.
        path: path as it came, not unquoted.
        length: declared length of the body, in bytes.
        unread: whether a part of the body may not have been read.
    """

    def __init__(self, req: server.HTTPRequest):
        super().__init__(req)
        self.owner = req.server.owner
        self.path = req.uri.decode("latin-1").partition("?")[0]
        self.length = int(req.inheaders.get(b"Content-Length", 0))
        self.unread = req.chunked_read or self.length != 0

    def respond(self) -> None:
        """Reads the body, has the request served and writes the answer."""
        if not self.owner.ready():
            # Callers with a kept connection must find another entry before
            # this one closes its socket.
            self.req.close_connection = True
        try:
            self._route()
        except (_GoneError, _CutError, ConnectionError, TimeoutError):
            self._abort()
        except Exception:
            _log.exception("request to {} failed", self.path)
            if self.req.sent_headers:
                self._abort()
            self._refuse(results.Code.INTERNAL)
        if self.unread:
            self._linger()

    def _route(self) -> None:
        if self.path == "/healthz":
            return self._text(200, b"ok\n")
        if self.path == "/readyz":
            return self._readyz()
        if self.path == "/v1/models":
            return self._models()
        if self.path in _COMPLETIONS:
            return self._admit(self._completion, methods=("POST",))
        if self.path.startswith(service_calls.SERVICES_ROOT):
            return self._admit(self._service, methods=None)
        return self._refuse(results.Code.NOT_FOUND)

    def _readyz(self) -> None:
        if self.owner.ready():
            return self._text(200, b"ready\n")
        return self._text(503, b"not ready\n")

    def _models(self) -> None:
        if self._method() not in _READABLE:
            return self._wrong_method(_READABLE)
        names = self.owner.models(self._key_digest())
        if names is None:
            return self._refuse(results.Code.BAD_KEY)
        return self._send(200, [_JSON], answers.encode_models(names))

    def _admit(self, serve, *, methods: tuple[str, ...] | None) -> None:
        if methods is not None and self._method() not in methods:
            return self._wrong_method(methods)
        if not self.owner.open_request():
            # The last threads stay free for health checks and refusals, so
            # that a full entry still says so at once.
            error = results.Error(
                code=results.Code.OVERLOADED,
                text="this entry serves as many callers as it can",
                retry_after=_BUSY_RETRY_SECONDS,
            )
            return self._fail(error)
        try:
            return self._admitted(serve)
        finally:
            self.owner.close_request()

    def _admitted(self, serve) -> None:
        match self._body():
            case result.Failure(error):
                return self._fail(error)
            case result.Success(body):
                self.unread = False
                self.owner.reading_done(self.req.conn)
        match self._head():
            case result.Failure(error):
                return self._fail(error)
            case result.Success(head):
                return serve(head, body)

    def _completion(self, head: _Head, body: bytes) -> None:
        chat = _COMPLETIONS[self.path]
        match completions.parse(body, chat=chat):
            case result.Failure(fault):
                return self._fail(fault.error, fault.param)
            case result.Success(asked):
                pass
        request = self._event(head, asked.seconds)
        # A completion changes nothing and may run again. With a key it would
        # be claimed as a call that may not, and the claim, which keeps whole
        # answers of services only, would refuse each resend as running.
        request.idempotency_key = ""
        request.completion = asked.completion
        answer = answers.CompletionEncoder(request=request.request, asked=asked)
        waiting = self.owner.submit(request)
        relay = self._stream if asked.stream else self._whole
        return self._relay(request.request, relay, waiting, answer)

    def _service(self, head: _Head, body: bytes) -> None:
        call = service_calls.parse_call(
            method=self._method(),
            target=self.req.uri.decode("latin-1"),
            headers=self._headers(),
            body=body,
        )
        if call is None:
            return self._refuse(results.Code.NOT_FOUND)
        request = self._event(head, 0.0)
        request.call = call
        waiting = self.owner.submit(request)
        return self._relay(request.request, self._answer, waiting)

    def _relay(self, request: str, relay, *arguments) -> None:
        try:
            relay(*arguments)
        except _CutError:
            raise
        except Exception:
            self.owner.on_caller_left(request)
            raise

    def _answer(self, waiting: replies.ReplyQueue) -> None:
        for reply in self._first(waiting):
            match reply:
                case actions.ReplyAnswer():
                    self._pass_back(reply)
                case actions.ReplyError():
                    self._fail(reply.error)

    def _whole(
        self, waiting: replies.ReplyQueue, answer: answers.CompletionEncoder
    ) -> None:
        texts = []
        for reply in self._all(waiting):
            match reply:
                case actions.ReplyText():
                    texts.append(reply.text)
                case actions.ReplyEnd():
                    body = answer.encode_response("".join(texts), reply)
                    self._send(200, [_JSON], body)
                case actions.ReplyAnswer():
                    self._pass_back(reply)
                case actions.ReplyError():
                    self._fail(reply.error)

    def _stream(
        self, waiting: replies.ReplyQueue, answer: answers.CompletionEncoder
    ) -> None:
        # Until the first reply it is open whether there will be a stream.
        for reply in self._first(waiting):
            match reply:
                case actions.ReplyText():
                    self._event_out(answer, answer.encode_text(reply.text))
                case actions.ReplyEnd():
                    return self._event_out(answer, answer.encode_end(reply))
                case actions.ReplyAnswer():
                    return self._pass_back(reply)
                case actions.ReplyError():
                    return self._break(reply.error)
        return self._rest(waiting, answer)

    def _event_out(
        self, answer: answers.CompletionEncoder, piece: bytes
    ) -> None:
        if not self.req.sent_headers:
            self._begin(200, list(_STREAM))
            piece = answer.encode_start() + piece
        self.req.write(piece)

    def _rest(
        self, waiting: replies.ReplyQueue, answer: answers.CompletionEncoder
    ) -> None:
        """Has the writer send the rest of a stream, and waits for its end."""
        sock = self.req.conn.socket
        stream = writers.OutgoingStream(
            replies=waiting,
            encoder=answer,
            sock=sock,
            chunked=self.req.chunked_write,
        )
        timeout = sock.gettimeout()
        sock.setblocking(False)
        match self.owner.writer.write(stream):
            case writers.StreamEnd.WHOLE:
                sock.settimeout(timeout)
            case writers.StreamEnd.CUT:
                raise _CutError
            case writers.StreamEnd.GONE:
                raise _GoneError

    def _first(self, waiting: replies.ReplyQueue) -> list[replies.Reply]:
        while not (ready := waiting.get_all(POLL_SECONDS)):
            self._check_caller()
        return ready

    def _all(self, waiting: replies.ReplyQueue) -> Iterator[replies.Reply]:
        """Gives out all replies; wakes only for the last, and now and then."""
        over = threading.Event()
        waiting.set_listener(lambda last: last and over.set())
        while True:
            if not over.wait(POLL_SECONDS):
                self._check_caller()
            over.clear()
            ready = waiting.take_ready()
            yield from ready
            if ready and type(ready[-1]) is not actions.ReplyText:
                return

    def _break(self, error: results.Error) -> None:
        if not self.req.sent_headers:
            # Nothing was sent yet, so the error has its real status.
            return self._fail(error)
        # Neither [DONE] nor the last chunk follows: a client that overlooks
        # the error still can't take what it got for a whole answer.
        self.req.write(answers.encode_failure(error))
        raise _CutError

    def _abort(self) -> None:
        # The HTTP library closes the connection on this error, quietly.
        raise ConnectionAbortedError(errno.ECONNABORTED, "request ended")

    def _linger(self) -> None:
        """Reads away what the caller still sends, for a short while.

        Closing a connection with unread bytes resets it, and the caller
        would see a reset instead of the answer that says why.
        """
        sock = self.req.conn.socket
        end = time.monotonic() + _LINGER_SECONDS
        try:
            sock.shutdown(socket.SHUT_WR)
            while (left := end - time.monotonic()) > 0:
                sock.settimeout(left)
                if not sock.recv(_LINGER_BYTES):
                    return
        except OSError:
            return

    def _pass_back(self, reply: actions.ReplyAnswer) -> None:
        headers = service_calls.answer_headers(reply.headers)
        if reply.replayed:
            headers.append(REPLAYED_HEADER)
        self._send(reply.status, headers, reply.body)

    def _refuse(self, code: results.Code) -> None:
        self._fail(results.Error(code=code))

    def _wrong_method(self, methods: tuple[str, ...]) -> None:
        error = results.Error(code=results.Code.METHOD_NOT_ALLOWED)
        allow = ("Allow", ", ".join(methods))
        self._send(
            error.status(),
            [*faults.error_headers(error), allow],
            faults.error_body(error),
        )

    def _fail(self, error: results.Error, param: str | None = None) -> None:
        self._send(
            error.status(),
            faults.error_headers(error),
            faults.error_body(error, param),
        )

    def _text(self, status: int, body: bytes) -> None:
        self._send(status, [_TEXT], body)

    def _send(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        if self.unread:
            # What is left of the body can't be told from a next request.
            self.req.close_connection = True
        length = ("Content-Length", str(len(body)))
        self._begin(status, [*headers, length])
        if body and self._method() != "HEAD":
            self.req.write(body)

    def _begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.req.status = f"{status} {_phrase(status)}".encode("latin-1")
        for name, value in headers:
            pair = (name.encode("latin-1"), value.encode("latin-1", "replace"))
            self.req.outheaders.append(pair)
        self.req.ensure_headers_sent()

    def _method(self) -> str:
        return self.req.method.decode("latin-1")

    def _header(self, name: bytes) -> str:
        return self.req.inheaders.get(name, b"").decode("latin-1").strip()

    def _headers(self) -> list[tuple[str, str]]:
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.req.inheaders.items()
        ]

    def _key_digest(self) -> str:
        scheme, _, key = self._header(b"Authorization").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            return ""
        return digest_key(key.strip())

    def _head(self) -> result.Result[_Head, results.Error]:
        key_digest = self._key_digest()
        if not key_digest:
            return result.Failure(results.Error(code=results.Code.BAD_KEY))
        seconds = _seconds(self._header(b"X-Request-Timeout"))
        if seconds is None:
            return result.Failure(
                results.Error(
                    code=results.Code.BAD_FIELD,
                    text="X-Request-Timeout must be a number of seconds above"
                    f" 0, at most {_MOST_SECONDS}",
                )
            )
        return result.Success(
            _Head(
                key_digest=key_digest,
                seconds=seconds,
                batch=self._header(b"X-Priority").lower() == "batch",
                idempotency_key=self._header(b"Idempotency-Key"),
                trace=self._header(b"Traceparent"),
            )
        )

    def _event(self, head: _Head, seconds: float) -> events.CallerRequest:
        named = [each for each in (head.seconds, seconds) if each > 0]
        return events.CallerRequest(
            request=self.owner.new_request_id(),
            key_digest=head.key_digest,
            seconds=min(named, default=0.0),
            batch=head.batch,
            idempotency_key=head.idempotency_key,
            trace=head.trace,
        )

    def _body(self) -> result.Result[bytes, results.Error]:
        limit = self.owner.max_body_bytes
        too_large = results.Error(
            code=results.Code.BODY_TOO_LARGE,
            text=f"the body is larger than {limit} bytes",
        )
        if self.req.chunked_read:
            # The library's own limit would answer in plain text; without one
            # it would read a chunk of any declared size into memory.
            self.req.rfile = server.ChunkedRFile(self.req.conn.rfile, limit)
        elif self.length > limit:
            return result.Failure(too_large)
        if self.length < 0:
            return result.Failure(_half("Content-Length is negative"))
        try:
            body = self.req.rfile.read()
        except TimeoutError:
            return result.Failure(_half("the body did not arrive in time"))
        except ValueError as error:
            return result.Failure(_half(str(error)))
        except (errors.MaxSizeExceeded, OSError) as error:
            if isinstance(error, ConnectionError):
                raise
            return result.Failure(too_large)
        if not self.req.chunked_read and len(body) < self.length:
            return result.Failure(_half("the body is shorter than declared"))
        return result.Success(body)

    def _check_caller(self) -> None:
        """Ends the request if the caller's end of the connection is closed.

        A caller that goes away while it waits for the first token would keep
        its place in the engine's batch; nothing is written to it meanwhile,
        so only looking at the socket can tell.
        """
        poll = select.poll()
        poll.register(self.req.conn.socket, select.POLLRDHUP)
        for _, seen in poll.poll(0):
            if seen & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                raise _GoneError


def _half(text: str) -> results.Error:
    return results.Error(code=results.Code.BAD_FIELD, text=text)


def _seconds(text: str) -> float | None:
    if not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0 < seconds <= _MOST_SECONDS:
        return None
    return seconds


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
