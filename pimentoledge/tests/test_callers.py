"""Tests of the HTTP server for callers, against a scripted core."""

import contextlib
import json
import queue
import socket
import threading
import time

import pytest
import urllib3

from pimentoledge import results
from pimentoledge.callers import gateways
from pimentoledge.callers import replies
from pimentoledge.callers import request_bodies
from pimentoledge.callers import servers
from pimentoledge.decisions import actions

WAIT_SECONDS = 20.0
KEY_HEADERS = {"Authorization": "Bearer sesame"}
CHAT_BODY = {"model": "m:a", "messages": [{"role": "user", "content": "hi"}]}
MAX_BYTES = 64 * 1024


class ScriptedCore:
    """Replaces an entry's core and answers each request from a script.

    Attributes:
        script: called with (request, reply_queue) for each request.
        requests: the received requests.
        abandoned: ids of requests whose callers disconnected.
    """

    def __init__(self):
        self.script = answer_hello
        self.requests = queue.Queue()
        self.abandoned = queue.Queue()
        self.is_ready = True
        self.server = servers.CallerServer(
            listen="127.0.0.1:0",
            max_open_requests=4,
            max_body_bytes=MAX_BYTES,
            body_memory_bytes=4 * MAX_BYTES,
            send_buffer_bytes=16 * 1024,
            submit=self.submit,
            on_caller_left=self.abandoned.put,
            list_models=lambda key: ["m"] if key == KEY_DIGEST else None,
            is_ready=lambda: self.is_ready,
        )
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)

    def submit(self, request):
        reply_queue = replies.ReplyQueue(limit_bytes=MAX_BYTES)
        self.requests.put(request)
        self.script(request, reply_queue)
        return reply_queue

    def call(self, method, path, body=None, headers=KEY_HEADERS, **options):
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        url = f"http://{self.server.address}{path}"
        return self.pool.request(
            method, url, body=body, headers=headers, **options
        )

    def has_free_slot(self):
        admitted = self.server.open_request()
        if admitted:
            self.server.close_request()
        return admitted

    def chat(self, **fields):
        return self.call(
            "POST", "/v1/chat/completions", {**CHAT_BODY, **fields}
        )


KEY_DIGEST = gateways.digest_key("sesame")


@pytest.fixture(name="running", scope="module")
def start_core():
    core = ScriptedCore()
    core.server.start()
    yield core
    core.pool.clear()
    core.server.close()


@pytest.fixture(name="core")
def fresh_core(running):
    running.script = answer_hello
    running.is_ready = True
    running.requests = queue.Queue()
    running.abandoned = queue.Queue()
    running.server.on_caller_left = running.abandoned.put
    return running


def reply_text(request, piece, tokens=1):
    return actions.ReplyText(request=request.request, text=piece, tokens=tokens)


def reply_end(request, tokens=2):
    return actions.ReplyEnd(
        request=request.request,
        reason="stop",
        prompt_tokens=9,
        cached_tokens=4,
        completion_tokens=tokens,
    )


def answer_hello(request, reply_queue):
    reply_queue.put(reply_text(request, "hel"))
    reply_queue.put(reply_text(request, "lo\n"))
    reply_queue.put(reply_end(request))


def reply_error(code, first_text="", **fields):
    def script(request, reply_queue):
        if first_text:
            reply_queue.put(reply_text(request, first_text))
        error = results.Error(code=code, **fields)
        reply_queue.put(
            actions.ReplyError(request=request.request, error=error)
        )

    return script


def parse_events(body):
    lines = [each for each in body.decode().split("\n\n") if each]
    assert all(each.startswith("data: ") for each in lines)
    return [each.removeprefix("data: ") for each in lines]


def parse_error(answer):
    return answer.json()["error"]


def connect(core):
    host, _, port = core.server.address.partition(":")
    return socket.create_connection((host, int(port)), timeout=WAIT_SECONDS)


def request_head(length, path="/v1/chat/completions"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer sesame\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def wait_until(condition):
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def read_to_end(sock):
    received = b""
    with contextlib.suppress(ConnectionError):
        while piece := sock.recv(65536):
            received += piece
    return received


def test_unstreamed_completion(core):
    answer = core.chat(max_tokens=7, temperature=0.5, timeout=9)
    assert answer.status == 200
    completion = answer.json()
    assert completion["choices"][0]["message"]["content"] == "hello\n"
    assert completion["choices"][0]["finish_reason"] == "stop"
    assert completion["usage"]["prompt_tokens_details"] == {"cached_tokens": 4}
    request = core.requests.get(timeout=WAIT_SECONDS)
    assert request.key_digest == KEY_DIGEST
    assert request.seconds == 9
    assert request.completion.model == "m"
    assert request.completion.adapter == "a"
    assert request.completion.max_tokens == 7
    assert json.loads(request.completion.parameters) == {"temperature": 0.5}


def test_streamed_completion(core):
    answer = core.chat(stream=True, stream_options={"include_usage": True})
    events = parse_events(answer.data)
    assert events[-1] == "[DONE]"
    parsed = [json.loads(each) for each in events[:-1]]
    assert parsed[0]["choices"][0]["delta"]["role"] == "assistant"
    pieces = [
        choice["delta"].get("content", "")
        for each in parsed
        for choice in each["choices"]
    ]
    assert "".join(pieces) == "hello\n"
    assert parsed[-1]["usage"]["completion_tokens"] == 2


def test_request_headers_reach_the_core(core):
    headers = {
        **KEY_HEADERS,
        "Idempotency-Key": "job-7",
        "Traceparent": "00-aa-bb-01",
        "X-Request-Timeout": "2.5",
        "X-Priority": "batch",
    }
    body = {"model": "m", "prompt": "hi", "stop": ["x"]}
    answer = core.call("POST", "/v1/completions", body, headers)
    assert answer.json()["choices"][0]["text"] == "hello\n"
    request = core.requests.get(timeout=WAIT_SECONDS)
    assert request.idempotency_key == ""
    assert request.trace == "00-aa-bb-01"
    assert request.seconds == 2.5
    assert request.batch
    assert request.completion.prompt == "hi"


def test_service_call_is_forwarded_unchanged(core):
    def script(request, reply_queue):
        reply_queue.put(
            actions.ReplyAnswer(
                request=request.request,
                status=201,
                headers=[("X-Card", "7"), ("Connection", "close")],
                body=b"made",
                replayed=True,
            )
        )

    core.script = script
    headers = {
        **KEY_HEADERS,
        "X-Shop": "south",
        "Connection": "x-hop",
        "X-Hop": "1",
        "Idempotency-Key": "card-7",
    }
    path = "/services/job-cards/a%2Fb/c?d=%20e"
    answer = core.call("PUT", path, b"\x00card", headers)
    assert (answer.status, answer.data) == (201, b"made")
    assert answer.headers["X-Card"] == "7"
    assert answer.headers["Idempotent-Replayed"] == "true"
    received = core.requests.get(timeout=WAIT_SECONDS)
    assert received.idempotency_key == "card-7"
    call = received.call
    assert (call.service, call.method) == ("job-cards", "PUT")
    assert (call.path, call.query) == ("/a%2Fb/c", "d=%20e")
    assert call.body == b"\x00card"
    names = {name.lower() for name, _ in call.headers}
    assert "x-shop" in names
    assert not names & {"authorization", "x-hop", "connection"}


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        ("/v1/chat/completions", b"{", results.Code.BAD_JSON),
        (
            "/v1/chat/completions",
            b'{"x":' + b"[" * 60000,
            results.Code.BAD_JSON,
        ),
        ("/v1/chat/completions", b"\xff", results.Code.BAD_JSON),
        ("/v1/chat/completions", {**CHAT_BODY, "n": 2}, results.Code.BAD_FIELD),
        ("/v1/chat/completions", {"model": "m"}, results.Code.BAD_FIELD),
        (
            "/v1/chat/completions",
            {**CHAT_BODY, "tools": [{}]},
            results.Code.BAD_FIELD,
        ),
        (
            "/v1/completions",
            b"x" * (MAX_BYTES + 1),
            results.Code.BODY_TOO_LARGE,
        ),
        ("/v1/nothing", b"{}", results.Code.NOT_FOUND),
        ("/v1/models", b"{}", results.Code.METHOD_NOT_ALLOWED),
        ("/services/", b"{}", results.Code.NOT_FOUND),
    ],
)
def test_invalid_request_is_rejected(core, path, body, code):
    answer = core.call("POST", path, body)
    assert answer.status == results.MEANINGS[code].status
    error = parse_error(answer)
    assert (error["code"], error["number"]) == (code.name, int(code))
    assert error["outcome"] == "not_run"
    assert core.requests.empty()
    assert core.chat().status == 200


def test_error_names_the_invalid_field(core):
    answer = core.chat(temperature=9)
    assert parse_error(answer)["param"] == "temperature"


def test_api_keys(core):
    assert core.call("GET", "/v1/models").json()["data"][0]["id"] == "m"
    wrong = core.call(
        "GET", "/v1/models", headers={"Authorization": "Bearer x"}
    )
    assert wrong.status == 401
    none = core.call("POST", "/v1/completions", {}, headers={})
    assert none.status == 401
    assert parse_error(none)["code"] == "BAD_KEY"


def test_error_before_the_first_byte_sets_the_status(core):
    core.script = reply_error(results.Code.RATE_LIMITED, retry_after=1.2)
    answer = core.chat(stream=True)
    assert answer.status == 429
    assert answer.headers["Retry-After"] == "2"
    assert parse_error(answer)["retry_after"] == 1.2


def test_error_within_a_stream_closes_the_connection_without_done(core):
    """Guards against clients mistaking a partial response for a complete one.

    The engine crashes during a stream that no other engine can continue. A
    client that only checks for the end of the body would see a regular end.
    """
    core.script = reply_error(results.Code.ENGINE_DIED, first_text="half")
    answer = core.call(
        "POST",
        "/v1/chat/completions",
        {**CHAT_BODY, "stream": True},
        preload_content=False,
    )
    body = b""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        for piece in answer.stream():
            body += piece
    events = parse_events(body)
    assert "half" in events[1]
    assert json.loads(events[-1])["error"]["code"] == "ENGINE_DIED"
    assert json.loads(events[-1])["error"]["outcome"] == "ran"


def test_disconnect_before_the_first_token_is_detected(core):
    """Guards against generating a response for a disconnected caller.

    The caller disconnects during the prefill. Nothing is written to it at
    that time, so no write can fail.
    """
    core.script = lambda request, reply_queue: None
    body = json.dumps(CHAT_BODY).encode()
    with connect(core) as sock:
        sock.sendall(request_head(len(body)) + body)
        received = core.requests.get(timeout=WAIT_SECONDS)
    assert core.abandoned.get(timeout=WAIT_SECONDS) == received.request


def test_disconnect_within_a_stream_is_detected(core):
    """Guards against generating on after the caller disconnected.

    The caller disconnects between two tokens that are far apart.
    """
    core.script = lambda request, reply_queue: reply_queue.put(
        reply_text(request, "one")
    )
    body = json.dumps({**CHAT_BODY, "stream": True}).encode()
    with connect(core) as sock:
        sock.sendall(request_head(len(body)) + body)
        received = core.requests.get(timeout=WAIT_SECONDS)
        assert sock.recv(100)
    assert core.abandoned.get(timeout=WAIT_SECONDS) == received.request


def test_slowly_produced_stream_is_complete_and_in_order(core):
    """Guards against lost or repeated text when a stream changes threads.

    The caller's thread sends the first piece and the writer's thread the
    rest, while the core's thread continues to queue replies.
    """
    words = [f"w{number} " for number in range(400)]

    def put_words(request, reply_queue):
        for word in words:
            reply_queue.put(reply_text(request, word))
        reply_queue.put(reply_end(request, len(words)))

    def script(request, reply_queue):
        threading.Thread(target=put_words, args=(request, reply_queue)).start()

    core.script = script
    for _ in range(5):
        events = parse_events(core.chat(stream=True).data)
        assert events[-1] == "[DONE]"
        choices = [json.loads(each)["choices"][0] for each in events[:-1]]
        pieces = [each["delta"].get("content", "") for each in choices]
        assert "".join(pieces) == "".join(words)


def test_slow_reader_ends_only_its_own_stream(core):
    """Guards against a slow reader that exhausts memory or blocks others.

    A caller stops reading during a long response while the engine continues.
    """
    buffered = []
    stopped_reading = threading.Event()
    overflowed = threading.Event()

    def put_until_overflow(request, reply_queue):
        piece = reply_text(request, "x" * 1000)
        reply_queue.put(piece)
        stopped_reading.wait(WAIT_SECONDS)
        while reply_queue.put(piece):
            buffered.append(reply_queue.put_bytes - reply_queue.read_bytes)
        overflowed.set()

    def script(request, reply_queue):
        threading.Thread(
            target=put_until_overflow, args=(request, reply_queue)
        ).start()

    core.script = script
    body = json.dumps({**CHAT_BODY, "stream": True}).encode()
    with connect(core) as sock:
        sock.sendall(request_head(len(body)) + body)
        assert sock.recv(100)
        stopped_reading.set()
        assert overflowed.wait(WAIT_SECONDS)
        assert max(buffered) <= MAX_BYTES
        core.script = answer_hello
        assert core.chat().status == 200
        answer = read_to_end(sock)
    assert b"[DONE]" not in answer
    assert b"CALLER_GONE" in answer[-1000:]


def test_incomplete_requests_do_not_block_others(core):
    """Guards against incomplete requests that occupy all threads.

    More connections than threads are opened: some send nothing, some part of
    the headers, some part of the body.
    """
    with contextlib.ExitStack() as stack:
        for _ in range(20):
            stack.enter_context(connect(core))
        for part in (b"POST /v1", request_head(100), request_head(100) + b"{"):
            stack.enter_context(connect(core)).sendall(part)
        assert core.chat().status == 200
        assert core.call("GET", "/healthz").status == 200


def test_slowly_arriving_request_is_ended(core):
    with connect(core) as sock:
        port = sock.getsockname()[1]
        sock.sendall(request_head(100) + b"{")
        wait_until(
            lambda: port
            in {c.remote_port for c in list(core.server.read_started_at)}
        )
        core.server._end_slow_requests(float("inf"))
        answer = read_to_end(sock)
    assert b"400 Bad Request" in answer
    assert b"shorter than declared" in answer


def test_a_request_that_is_ended_for_others_may_be_sent_again(core):
    """Guards against a slow caller that is told that its request is faulty."""
    with connect(core) as sock:
        sock.sendall(request_head(100) + b"{")
        wait_until(lambda: core.server.read_started_at)
        core.server._server.end_slow_requests(float("inf"), for_others=True)
        answer = read_to_end(sock)
    assert b"503" in answer.split(b"\r\n")[0]
    assert b"not_run" in answer


def test_chunk_above_the_limit_is_rejected_unread(core):
    chunked = request_head(0).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    with connect(core) as sock:
        sock.sendall(chunked + b"7fffffff\r\nxx")
        answer = read_to_end(sock)
    assert b"413" in answer.split(b"\r\n")[0]
    assert b"BODY_TOO_LARGE" in answer


def _send_chunked(sock, body):
    sock.sendall(
        request_head(0).replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        + body
    )


def test_chunks_with_extensions_and_trailers_are_read_to_their_end(core):
    """Guards against trailers that are read as the next request."""
    body = json.dumps(CHAT_BODY).encode()
    chunks = b"".join(b"1;e=f\r\n%c\r\n" % each for each in body)
    with connect(core) as sock:
        for _ in range(2):
            _send_chunked(sock, chunks + b"0\r\na: b\r\nc: d\r\n\r\n")
            answer = b""
            while b"chat.completion" not in answer:
                answer += sock.recv(65536)
            assert answer.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "body",
    [
        b"1;" + b"e" * 200_000,
        b"0" * 200_000,
        b"1\r\n{\r\n0\r\n" + b"a" * 200_000,
        b"0x1\r\n{\r\n",
        b"-1\r\n",
        b"1\r\n{}",
    ],
)
def test_malformed_or_endless_framing_is_refused(core, body):
    """Guards against lines outside of bodies that are read without end."""
    with connect(core) as sock:
        with contextlib.suppress(ConnectionError):
            _send_chunked(sock, body)
        answer = read_to_end(sock)
    assert b"400" in answer.split(b"\r\n")[0]


def test_bodies_of_stalled_callers_are_refused_for_others(core):
    """Guards against callers that hold the memory and send no more."""
    part = b" " * (MAX_BYTES - 100)
    budget = core.server.bodies
    with contextlib.ExitStack() as stack:
        stalled = []
        for _ in range(3):
            sock = stack.enter_context(connect(core))
            sock.sendall(request_head(MAX_BYTES) + part)
            stalled.append(sock)
            # The one that stalled longest is ended first.
            wait_until(lambda: budget.held >= len(stalled) * len(part))
        budget.bound = budget.held
        time.sleep(2 * request_bodies.STALLED_SECONDS)
        assert core.chat().status == 200
        answer = read_to_end(stalled[0])
        assert b"503" in answer.split(b"\r\n")[0]
        assert b"Retry-After" in answer
        assert sum(each.ending for each in budget._bodies) == 0
    wait_until(lambda: budget.held == 0)


def test_full_entry_rejects_at_once_and_stays_healthy(core):
    core.script = lambda request, reply_queue: None
    body = json.dumps(CHAT_BODY).encode()
    with contextlib.ExitStack() as stack:
        for _ in range(4):
            sock = stack.enter_context(connect(core))
            sock.sendall(request_head(len(body)) + body)
            core.requests.get(timeout=WAIT_SECONDS)
        answer = core.chat()
        assert answer.status == 503
        assert parse_error(answer)["code"] == "OVERLOADED"
        assert answer.headers["Retry-After"] == "1"
        assert core.call("GET", "/healthz").status == 200
    for _ in range(4):
        core.abandoned.get(timeout=WAIT_SECONDS)
    wait_until(core.has_free_slot)


def test_draining_entry_serves_but_is_not_ready(core):
    assert core.call("GET", "/readyz").status == 200
    core.is_ready = False
    assert core.call("GET", "/readyz").status == 503
    answer = core.chat()
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"


def test_request_ids_differ_between_servers(core):
    core.chat()
    core.chat()
    first = core.requests.get(timeout=WAIT_SECONDS).request
    second = core.requests.get(timeout=WAIT_SECONDS).request
    other = ScriptedCore().server.new_request_id()
    assert len({first, second, other}) == 3
    assert first.partition("-")[0] != other.partition("-")[0]


def test_close_ends_all_threads():
    before = set(threading.enumerate())
    core = ScriptedCore()
    core.server.start()
    assert core.chat().status == 200
    core.pool.clear()
    core.server.close()
    for thread in set(threading.enumerate()) - before:
        thread.join(WAIT_SECONDS)
        assert not thread.is_alive()
