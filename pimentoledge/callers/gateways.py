"""Handles one HTTP request of a caller, from its headers to the response.

Each request occupies one of the server's threads until it ends. Only the part
of a stream after its first piece is sent by the writer's thread.
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
from cheroot import server
import logbook
from returns import result

from pimentoledge import results
from pimentoledge.callers import answers
from pimentoledge.callers import completions
from pimentoledge.callers import faults
from pimentoledge.callers import replies
from pimentoledge.callers import request_bodies
from pimentoledge.callers import service_calls
from pimentoledge.callers import writers
from pimentoledge.decisions import actions
from pimentoledge.decisions import events

# Interval at which a waiting thread checks that its caller is connected.
CALLER_CHECK_SECONDS = 0.5
# Marks a stored response, which a service gave to an earlier identical call.
REPLAYED_HEADER = ("Idempotent-Replayed", "true")

_LINGER_SECONDS = 2.0
_LINGER_BYTES = 64 * 1024
_OVERLOAD_RETRY_SECONDS = 1.0
_MAX_TIMEOUT_SECONDS = 86400
_JSON_HEADER = ("Content-Type", "application/json")
_TEXT_HEADER = ("Content-Type", "text/plain; charset=utf-8")
_STREAM_HEADERS = (
    ("Content-Type", "text/event-stream; charset=utf-8"),
    ("Cache-Control", "no-cache"),
)
_COMPLETION_PATHS = {"/v1/chat/completions": True, "/v1/completions": False}
_READ_METHODS = ("GET", "HEAD")

_log = logbook.Logger("callers")


class _CallerGoneError(Exception):
    """The caller disconnected."""


class _StreamFailedError(Exception):
    """A stream ended with an error, so its connection must be closed."""


@attrs.define(kw_only=True)
class _ParsedHeaders:
    """Headers of a request that this system interprets.

    Attributes:
        key_digest: digest of the API key; empty if there is none.
        timeout_seconds: X-Request-Timeout; 0 for none.
        batch: whether batch priority is requested.
        idempotency_key: Idempotency-Key, unchanged.
        traceparent: Traceparent, unchanged.
    """

    key_digest: str
    timeout_seconds: float
    batch: bool
    idempotency_key: str
    traceparent: str


def digest_key(key: str) -> str:
    """Returns the hexadecimal BLAKE2b-256 digest of an API key."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


class CallerGateway(server.Gateway):
    """Handles one request.

    Attributes:
        req: the request as parsed by the HTTP library.
        caller_server: the servers.CallerServer.
        path: the raw path, not unquoted.
        content_length: declared length of the body, in bytes.
        body_unread: whether part of the body may still be unread.
    """

    def __init__(self, req: server.HTTPRequest):
        super().__init__(req)
        self.caller_server = req.server.caller_server
        self.path = req.uri.decode("latin-1").partition("?")[0]
        self.content_length = int(req.inheaders.get(b"Content-Length", 0))
        self.body_unread = req.chunked_read or self.content_length != 0

    def respond(self) -> None:
        """Reads the request, serves it and writes the response."""
        if not self.caller_server.is_ready():
            # Callers with a persistent connection must switch to another entry
            # before this one closes its socket.
            self.req.close_connection = True
        try:
            self._route()
        except (
            _CallerGoneError,
            _StreamFailedError,
            ConnectionError,
            TimeoutError,
        ):
            self._abort_connection()
        except Exception:
            _log.exception("request to {} failed", self.path)
            if self.req.sent_headers:
                self._abort_connection()
            self._send_code(results.Code.INTERNAL)
        if self.body_unread:
            self._discard_input()

    def _route(self) -> None:
        if self.path == "/healthz":
            return self._send_text(200, b"ok\n")
        if self.path == "/readyz":
            return self._send_readiness()
        if self.path == "/v1/models":
            return self._send_models()
        if self.path in _COMPLETION_PATHS:
            return self._serve_if_admitted(
                self._serve_completion, methods=("POST",)
            )
        if self.path.startswith(service_calls.SERVICES_ROOT):
            return self._serve_if_admitted(
                self._serve_service_call, methods=None
            )
        return self._send_code(results.Code.NOT_FOUND)

    def _send_readiness(self) -> None:
        if self.caller_server.is_ready():
            return self._send_text(200, b"ready\n")
        return self._send_text(503, b"not ready\n")

    def _send_models(self) -> None:
        if self._request_method() not in _READ_METHODS:
            return self._send_wrong_method(_READ_METHODS)
        names = self.caller_server.list_models(self._key_digest())
        if names is None:
            return self._send_code(results.Code.BAD_KEY)
        return self._send_response(
            200, [_JSON_HEADER], answers.encode_models(names)
        )

    def _serve_if_admitted(
        self, serve, *, methods: tuple[str, ...] | None
    ) -> None:
        if methods is not None and self._request_method() not in methods:
            return self._send_wrong_method(methods)
        if not self.caller_server.open_request():
            # The spare threads are reserved for health checks and rejections,
            # so that a full entry still responds at once.
            error = results.Error(
                code=results.Code.OVERLOADED,
                text="this entry serves as many callers as it can",
                retry_after=_OVERLOAD_RETRY_SECONDS,
            )
            return self._send_error(error)
        try:
            return self._read_and_serve(serve)
        finally:
            self.caller_server.close_request()

    def _read_and_serve(self, serve) -> None:
        bodies = self.caller_server.bodies
        held = bodies.begin(self._end_reading)
        try:
            return self._serve_held(serve, held)
        finally:
            bodies.end(held)

    def _end_reading(self) -> None:
        """Ends the reading of the body, called in another thread."""
        self.req.conn.shut_down(socket.SHUT_RD)

    def _serve_held(self, serve, held: request_bodies.HeldBody) -> None:
        match self._read_body(held):
            case result.Failure(error):
                return self._send_error(error)
            case result.Success(body):
                self.body_unread = False
                self.caller_server.on_request_read(self.req.conn)
        match self._parse_headers():
            case result.Failure(error):
                return self._send_error(error)
            case result.Success(parsed):
                return serve(parsed, body)

    def _serve_completion(self, parsed: _ParsedHeaders, body: bytes) -> None:
        chat = _COMPLETION_PATHS[self.path]
        match completions.parse(body, chat=chat):
            case result.Failure(body_error):
                return self._send_error(body_error.error, body_error.param)
            case result.Success(completion_request):
                pass
        event = self._build_event(parsed, completion_request.timeout_seconds)
        # A completion has no side effects and may run again. With a key it
        # would be claimed like a call that may not; claims store only the
        # responses of services, so each resend would be rejected as running.
        event.idempotency_key = ""
        event.completion = completion_request.completion
        encoder = answers.CompletionEncoder(
            request_id=event.request, completion_request=completion_request
        )
        reply_queue = self.caller_server.submit(event)
        send_replies = (
            self._send_stream
            if completion_request.stream
            else self._send_completion
        )
        return self._relay_replies(
            event.request, send_replies, reply_queue, encoder
        )

    def _serve_service_call(self, parsed: _ParsedHeaders, body: bytes) -> None:
        call = service_calls.parse_call(
            method=self._request_method(),
            target=self.req.uri.decode("latin-1"),
            headers=self._request_headers(),
            body=body,
        )
        if call is None:
            return self._send_code(results.Code.NOT_FOUND)
        event = self._build_event(parsed, 0.0)
        event.call = call
        reply_queue = self.caller_server.submit(event)
        return self._relay_replies(
            event.request, self._send_service_response, reply_queue
        )

    def _relay_replies(self, request_id: str, send_replies, *arguments) -> None:
        try:
            send_replies(*arguments)
        except _StreamFailedError:
            raise
        except Exception:
            self.caller_server.on_caller_left(request_id)
            raise

    def _send_service_response(self, reply_queue: replies.ReplyQueue) -> None:
        for reply in self._wait_for_replies(reply_queue):
            match reply:
                case actions.ReplyAnswer():
                    self._forward_response(reply)
                case actions.ReplyError():
                    self._send_error(reply.error)

    def _send_completion(
        self,
        reply_queue: replies.ReplyQueue,
        encoder: answers.CompletionEncoder,
    ) -> None:
        texts = []
        for reply in self._iterate_replies(reply_queue):
            match reply:
                case actions.ReplyText():
                    texts.append(reply.text)
                case actions.ReplyEnd():
                    body = encoder.encode_response("".join(texts), reply)
                    self._send_response(200, [_JSON_HEADER], body)
                case actions.ReplyAnswer():
                    self._forward_response(reply)
                case actions.ReplyError():
                    self._send_error(reply.error)

    def _send_stream(
        self,
        reply_queue: replies.ReplyQueue,
        encoder: answers.CompletionEncoder,
    ) -> None:
        # Until the first reply arrives, the request may still fail with a
        # status of its own instead of a stream.
        for reply in self._wait_for_replies(reply_queue):
            match reply:
                case actions.ReplyText():
                    self._send_event(encoder, encoder.encode_text(reply.text))
                case actions.ReplyEnd():
                    return self._send_event(encoder, encoder.encode_end(reply))
                case actions.ReplyAnswer():
                    return self._forward_response(reply)
                case actions.ReplyError():
                    return self._fail_stream(reply.error)
        return self._send_remaining_stream(reply_queue, encoder)

    def _send_event(
        self, encoder: answers.CompletionEncoder, data: bytes
    ) -> None:
        if not self.req.sent_headers:
            self._send_headers(200, list(_STREAM_HEADERS))
            data = encoder.encode_start() + data
        self.req.write(data)

    def _send_remaining_stream(
        self,
        reply_queue: replies.ReplyQueue,
        encoder: answers.CompletionEncoder,
    ) -> None:
        """Hands a stream over to the writer and waits for its end."""
        sock = self.req.conn.socket
        stream = writers.OutgoingStream(
            reply_queue=reply_queue,
            encoder=encoder,
            sock=sock,
            chunked=self.req.chunked_write,
        )
        previous_timeout = sock.gettimeout()
        sock.setblocking(False)
        match self.caller_server.writer.write(stream):
            case writers.StreamEnd.COMPLETE:
                sock.settimeout(previous_timeout)
            case writers.StreamEnd.FAILED:
                raise _StreamFailedError
            case writers.StreamEnd.CALLER_GONE:
                raise _CallerGoneError

    def _wait_for_replies(
        self, reply_queue: replies.ReplyQueue
    ) -> list[replies.Reply]:
        while not (ready_replies := reply_queue.get_all(CALLER_CHECK_SECONDS)):
            self._raise_if_caller_gone()
        return ready_replies

    def _iterate_replies(
        self, reply_queue: replies.ReplyQueue
    ) -> Iterator[replies.Reply]:
        """Yields all replies; wakes for the last and to check the caller."""
        last_ready = threading.Event()
        reply_queue.set_listener(lambda last: last and last_ready.set())
        while True:
            if not last_ready.wait(CALLER_CHECK_SECONDS):
                self._raise_if_caller_gone()
            last_ready.clear()
            ready_replies = reply_queue.get_ready()
            yield from ready_replies
            if (
                ready_replies
                and type(ready_replies[-1]) is not actions.ReplyText
            ):
                return

    def _fail_stream(self, error: results.Error) -> None:
        if not self.req.sent_headers:
            # Nothing was sent yet, so the error has its real status.
            return self._send_error(error)
        # Neither [DONE] nor the final chunk follows, so that a client that
        # ignores the error can't mistake a partial response for a complete one.
        self.req.write(answers.encode_failure(error))
        raise _StreamFailedError

    def _abort_connection(self) -> None:
        # The HTTP library closes the connection on this error without logging.
        raise ConnectionAbortedError(errno.ECONNABORTED, "request ended")

    def _discard_input(self) -> None:
        """Reads and discards further input for a short time.

        Closing a connection with unread input resets it, and the caller
        would see the reset instead of the error response.
        """
        sock = self.req.conn.socket
        deadline = time.monotonic() + _LINGER_SECONDS
        try:
            sock.shutdown(socket.SHUT_WR)
            while (remaining := deadline - time.monotonic()) > 0:
                sock.settimeout(remaining)
                if not sock.recv(_LINGER_BYTES):
                    return
        except OSError:
            return

    def _forward_response(self, reply: actions.ReplyAnswer) -> None:
        headers = service_calls.response_headers(reply.headers)
        if reply.replayed:
            headers.append(REPLAYED_HEADER)
        self._send_response(reply.status, headers, reply.body)

    def _send_code(self, code: results.Code) -> None:
        self._send_error(results.Error(code=code))

    def _send_wrong_method(self, methods: tuple[str, ...]) -> None:
        error = results.Error(code=results.Code.METHOD_NOT_ALLOWED)
        allow_header = ("Allow", ", ".join(methods))
        self._send_response(
            error.status(),
            [*faults.error_headers(error), allow_header],
            faults.error_body(error),
        )

    def _send_error(
        self, error: results.Error, param: str | None = None
    ) -> None:
        self._send_response(
            error.status(),
            faults.error_headers(error),
            faults.error_body(error, param),
        )

    def _send_text(self, status: int, body: bytes) -> None:
        self._send_response(status, [_TEXT_HEADER], body)

    def _send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        if self.body_unread:
            # The rest of the body can't be told apart from the next request.
            self.req.close_connection = True
        length_header = ("Content-Length", str(len(body)))
        self._send_headers(status, [*headers, length_header])
        if body and self._request_method() != "HEAD":
            self.req.write(body)

    def _send_headers(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        self.req.status = f"{status} {_reason_phrase(status)}".encode("latin-1")
        for name, value in headers:
            header = (
                name.encode("latin-1"),
                value.encode("latin-1", "replace"),
            )
            self.req.outheaders.append(header)
        self.req.ensure_headers_sent()

    def _request_method(self) -> str:
        return self.req.method.decode("latin-1")

    def _get_header(self, name: bytes) -> str:
        return self.req.inheaders.get(name, b"").decode("latin-1").strip()

    def _request_headers(self) -> list[tuple[str, str]]:
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.req.inheaders.items()
        ]

    def _key_digest(self) -> str:
        scheme, _, key = self._get_header(b"Authorization").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            return ""
        return digest_key(key.strip())

    def _parse_headers(self) -> result.Result[_ParsedHeaders, results.Error]:
        key_digest = self._key_digest()
        if not key_digest:
            return result.Failure(results.Error(code=results.Code.BAD_KEY))
        timeout_seconds = _parse_timeout(self._get_header(b"X-Request-Timeout"))
        if timeout_seconds is None:
            return result.Failure(
                results.Error(
                    code=results.Code.BAD_FIELD,
                    text="X-Request-Timeout must be a number of seconds above"
                    f" 0, at most {_MAX_TIMEOUT_SECONDS}",
                )
            )
        return result.Success(
            _ParsedHeaders(
                key_digest=key_digest,
                timeout_seconds=timeout_seconds,
                batch=self._get_header(b"X-Priority").lower() == "batch",
                idempotency_key=self._get_header(b"Idempotency-Key"),
                traceparent=self._get_header(b"Traceparent"),
            )
        )

    def _build_event(
        self, parsed: _ParsedHeaders, body_timeout_seconds: float
    ) -> events.CallerRequest:
        timeouts = [
            each
            for each in (parsed.timeout_seconds, body_timeout_seconds)
            if each > 0
        ]
        return events.CallerRequest(
            request=self.caller_server.new_request_id(),
            key_digest=parsed.key_digest,
            seconds=min(timeouts, default=0.0),
            batch=parsed.batch,
            idempotency_key=parsed.idempotency_key,
            trace=parsed.traceparent,
        )

    def _read_body(
        self, held: request_bodies.HeldBody
    ) -> result.Result[bytes, results.Error]:
        if self.content_length < 0:
            return result.Failure(_bad_request("Content-Length is negative"))
        max_bytes = self.caller_server.max_body_bytes
        chunked = self.req.chunked_read
        reader = request_bodies.BodyReader(
            # The library counts what is read of a body of known length.
            source=self.req.conn.rfile if chunked else self.req.rfile,
            max_bytes=max_bytes,
            budget=self.caller_server.bodies,
            held=held,
        )
        try:
            if chunked:
                body = reader.read_chunks()
            else:
                body = reader.read_length(self.content_length)
        except TimeoutError:
            return result.Failure(
                _bad_request("the body did not arrive in time")
            )
        except request_bodies.BadFramingError as error:
            if held.ending or self.req.conn.ended_for_others:
                return result.Failure(_no_room())
            return result.Failure(_bad_request(str(error)))
        except request_bodies.NoRoomError:
            return result.Failure(_no_room())
        except request_bodies.TooLargeError:
            return result.Failure(
                results.Error(
                    code=results.Code.BODY_TOO_LARGE,
                    text=f"the body is larger than {max_bytes} bytes",
                )
            )
        return result.Success(body)

    def _raise_if_caller_gone(self) -> None:
        """Raises an error if the caller has closed its end of the connection.

        The request of a caller that disconnects before the first token would
        otherwise stay in the engine's batch. Nothing is written until then,
        so the disconnect can only be detected by polling the socket.

        Raises:
            _CallerGoneError: the caller disconnected.
        """
        poll = select.poll()
        poll.register(self.req.conn.socket, select.POLLRDHUP)
        for _, flags in poll.poll(0):
            if flags & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                raise _CallerGoneError


def _no_room() -> results.Error:
    return results.Error(
        code=results.Code.OVERLOADED,
        text="other requests take the memory or the threads",
        retry_after=_OVERLOAD_RETRY_SECONDS,
    )


def _bad_request(text: str) -> results.Error:
    return results.Error(code=results.Code.BAD_FIELD, text=text)


def _parse_timeout(text: str) -> float | None:
    if not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0 < seconds <= _MAX_TIMEOUT_SECONDS:
        return None
    return seconds


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
