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
from pimentoledge.callers import servers
from pimentoledge.decisions import actions

WAIT = 20.0
KEY = {"Authorization": "Bearer sesame"}
CHAT = {"model": "m:a", "messages": [{"role": "user", "content": "hi"}]}
LIMIT = 64 * 1024


class Core:
    """Stands for an entry's core: each request gets a scripted reply.

    Attributes:
        script: called with (request, waiting) for every request.
        asked: the requests that came.
        left: ids of requests whose callers went away.
    """

    def __init__(self):
        self.script = answer_hello
        self.asked = queue.Queue()
        self.left = queue.Queue()
        self.is_ready = True
        self.server = servers.CallerServer(
            listen="127.0.0.1:0",
            threads=4,
            max_body_bytes=LIMIT,
            buffer_bytes=16 * 1024,
            submit=self.submit,
            on_caller_left=self.left.put,
            models=lambda key: ["m"] if key == DIGEST else None,
            ready=lambda: self.is_ready,
        )
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT)

    def submit(self, request):
        waiting = replies.ReplyQueue(limit_bytes=LIMIT)
        self.asked.put(request)
        self.script(request, waiting)
        return waiting

    def call(self, method, path, body=None, headers=KEY, **options):
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        url = f"http://{self.server.address}{path}"
        return self.pool.request(
            method, url, body=body, headers=headers, **options
        )

    def has_room(self):
        free = self.server.open_request()
        if free:
            self.server.close_request()
        return free

    def chat(self, **fields):
        return self.call("POST", "/v1/chat/completions", {**CHAT, **fields})


DIGEST = gateways.digest_key("sesame")


@pytest.fixture(name="running", scope="module")
def start_core():
    core = Core()
    core.server.start()
    yield core
    core.pool.clear()
    core.server.close()


@pytest.fixture(name="core")
def fresh_core(running):
    running.script = answer_hello
    running.is_ready = True
    running.asked = queue.Queue()
    running.left = queue.Queue()
    running.server.on_caller_left = running.left.put
    return running


def text(request, piece, tokens=1):
    return actions.ReplyText(request=request.request, text=piece, tokens=tokens)


def end(request, tokens=2):
    return actions.ReplyEnd(
        request=request.request,
        reason="stop",
        prompt_tokens=9,
        cached_tokens=4,
        completion_tokens=tokens,
    )


def answer_hello(request, waiting):
    waiting.put(text(request, "hel"))
    waiting.put(text(request, "lo\n"))
    waiting.put(end(request))


def fail_with(code, after="", **fields):
    def script(request, waiting):
        if after:
            waiting.put(text(request, after))
        error = results.Error(code=code, **fields)
        waiting.put(actions.ReplyError(request=request.request, error=error))

    return script


def events_of(body):
    lines = [each for each in body.decode().split("\n\n") if each]
    assert all(each.startswith("data: ") for each in lines)
    return [each.removeprefix("data: ") for each in lines]


def error_of(answer):
    return answer.json()["error"]


def raw(core):
    host, _, port = core.server.address.partition(":")
    return socket.create_connection((host, int(port)), timeout=WAIT)


def head(length, path="/v1/chat/completions"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer sesame\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def wait_until(condition):
    end = time.monotonic() + WAIT
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


def read_all(sock):
    found = b""
    with contextlib.suppress(ConnectionError):
        while piece := sock.recv(65536):
            found += piece
    return found


def test_an_answer_that_is_not_streamed(core):
    answer = core.chat(max_tokens=7, temperature=0.5, timeout=9)
    assert answer.status == 200
    whole = answer.json()
    assert whole["choices"][0]["message"]["content"] == "hello\n"
    assert whole["choices"][0]["finish_reason"] == "stop"
    assert whole["usage"]["prompt_tokens_details"] == {"cached_tokens": 4}
    asked = core.asked.get(timeout=WAIT)
    assert asked.key_digest == DIGEST
    assert asked.seconds == 9
    assert asked.completion.model == "m"
    assert asked.completion.adapter == "a"
    assert asked.completion.max_tokens == 7
    assert json.loads(asked.completion.parameters) == {"temperature": 0.5}


def test_a_streamed_answer(core):
    answer = core.chat(stream=True, stream_options={"include_usage": True})
    events = events_of(answer.data)
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


def test_headers_of_the_caller_reach_the_core(core):
    headers = {
        **KEY,
        "Idempotency-Key": "job-7",
        "Traceparent": "00-aa-bb-01",
        "X-Request-Timeout": "2.5",
        "X-Priority": "batch",
    }
    body = {"model": "m", "prompt": "hi", "stop": ["x"]}
    answer = core.call("POST", "/v1/completions", body, headers)
    assert answer.json()["choices"][0]["text"] == "hello\n"
    asked = core.asked.get(timeout=WAIT)
    assert asked.idempotency_key == ""
    assert asked.trace == "00-aa-bb-01"
    assert asked.seconds == 2.5
    assert asked.batch
    assert asked.completion.prompt == "hi"


def test_a_service_call_is_passed_on_whole(core):
    def script(request, waiting):
        waiting.put(
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
        **KEY,
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
    asked = core.asked.get(timeout=WAIT)
    assert asked.idempotency_key == "card-7"
    call = asked.call
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
        ("/v1/chat/completions", {**CHAT, "n": 2}, results.Code.BAD_FIELD),
        ("/v1/chat/completions", {"model": "m"}, results.Code.BAD_FIELD),
        (
            "/v1/chat/completions",
            {**CHAT, "tools": [{}]},
            results.Code.BAD_FIELD,
        ),
        ("/v1/completions", b"x" * (LIMIT + 1), results.Code.BODY_TOO_LARGE),
        ("/v1/nothing", b"{}", results.Code.NOT_FOUND),
        ("/v1/models", b"{}", results.Code.METHOD_NOT_ALLOWED),
        ("/services/", b"{}", results.Code.NOT_FOUND),
    ],
)
def test_a_request_that_cannot_be_taken(core, path, body, code):
    answer = core.call("POST", path, body)
    assert answer.status == results.MEANINGS[code].status
    error = error_of(answer)
    assert (error["code"], error["number"]) == (code.name, int(code))
    assert error["outcome"] == "not_run"
    assert core.asked.empty()
    assert core.chat().status == 200


def test_a_field_at_fault_is_named(core):
    answer = core.chat(temperature=9)
    assert error_of(answer)["param"] == "temperature"


def test_keys(core):
    assert core.call("GET", "/v1/models").json()["data"][0]["id"] == "m"
    wrong = core.call(
        "GET", "/v1/models", headers={"Authorization": "Bearer x"}
    )
    assert wrong.status == 401
    none = core.call("POST", "/v1/completions", {}, headers={})
    assert none.status == 401
    assert error_of(none)["code"] == "BAD_KEY"


def test_an_error_before_the_first_byte_has_its_status(core):
    core.script = fail_with(results.Code.RATE_LIMITED, retry_after=1.2)
    answer = core.chat(stream=True)
    assert answer.status == 429
    assert answer.headers["Retry-After"] == "2"
    assert error_of(answer)["retry_after"] == 1.2


def test_an_error_inside_a_stream_ends_the_connection_without_done(core):
    """A caller takes half an answer for a whole one.

    The engine dies in the middle of a stream and no other can go on; a client
    that only looks for the end of the body sees a proper one.
    """
    core.script = fail_with(results.Code.ENGINE_DIED, after="half")
    answer = core.call(
        "POST",
        "/v1/chat/completions",
        {**CHAT, "stream": True},
        preload_content=False,
    )
    body = b""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        for piece in answer.stream():
            body += piece
    events = events_of(body)
    assert "half" in events[1]
    assert json.loads(events[-1])["error"]["code"] == "ENGINE_DIED"
    assert json.loads(events[-1])["error"]["outcome"] == "ran"


def test_a_caller_that_goes_away_before_the_first_token_is_noticed(core):
    """A runner generates an answer that nobody waits for.

    The caller hangs up while its prompt is computed: nothing is written to
    it then, so no write can fail.
    """
    core.script = lambda request, waiting: None
    body = json.dumps(CHAT).encode()
    with raw(core) as sock:
        sock.sendall(head(len(body)) + body)
        asked = core.asked.get(timeout=WAIT)
    assert core.left.get(timeout=WAIT) == asked.request


def test_a_caller_that_goes_away_mid_stream_is_noticed(core):
    """A runner goes on generating for a caller that closed its page.

    The caller hangs up between two tokens that are far apart.
    """
    core.script = lambda request, waiting: waiting.put(text(request, "one"))
    body = json.dumps({**CHAT, "stream": True}).encode()
    with raw(core) as sock:
        sock.sendall(head(len(body)) + body)
        asked = core.asked.get(timeout=WAIT)
        assert sock.recv(100)
    assert core.left.get(timeout=WAIT) == asked.request


def test_a_stream_that_trickles_comes_whole_and_in_order(core):
    """Words are missing or doubled where one thread hands over to another.

    The first piece is sent by the caller's thread and the rest by the
    writer's, while the core's thread goes on putting.
    """
    words = [f"w{number} " for number in range(400)]

    def pour(request, waiting):
        for word in words:
            waiting.put(text(request, word))
        waiting.put(end(request, len(words)))

    def script(request, waiting):
        threading.Thread(target=pour, args=(request, waiting)).start()

    core.script = script
    for _ in range(5):
        events = events_of(core.chat(stream=True).data)
        assert events[-1] == "[DONE]"
        choices = [json.loads(each)["choices"][0] for each in events[:-1]]
        pieces = [each["delta"].get("content", "") for each in choices]
        assert "".join(pieces) == "".join(words)


def test_a_slow_caller_holds_back_only_its_own_stream(core):
    """One caller on a bad line makes the entry's memory grow, or all wait.

    It stops reading in the middle of a long answer while the engine goes on.
    """
    kept = []
    begun = threading.Event()
    done = threading.Event()

    def pour(request, waiting):
        piece = text(request, "x" * 1000)
        waiting.put(piece)
        begun.wait(WAIT)
        while waiting.put(piece):
            kept.append(waiting.put_bytes - waiting.taken_bytes)
        done.set()

    def script(request, waiting):
        threading.Thread(target=pour, args=(request, waiting)).start()

    core.script = script
    body = json.dumps({**CHAT, "stream": True}).encode()
    with raw(core) as sock:
        sock.sendall(head(len(body)) + body)
        assert sock.recv(100)
        begun.set()
        assert done.wait(WAIT)
        assert max(kept) <= LIMIT
        core.script = answer_hello
        assert core.chat().status == 200
        answer = read_all(sock)
    assert b"[DONE]" not in answer
    assert b"CALLER_GONE" in answer[-1000:]


def test_half_sent_requests_harm_no_other(core):
    """Nobody is served because a few callers never finish their requests.

    More connections than threads are opened: some silent, some with half a
    head, some with half a body.
    """
    with contextlib.ExitStack() as stack:
        for _ in range(20):
            stack.enter_context(raw(core))
        for part in (b"POST /v1", head(100), head(100) + b"{"):
            stack.enter_context(raw(core)).sendall(part)
        assert core.chat().status == 200
        assert core.call("GET", "/healthz").status == 200


def test_a_request_that_arrives_too_slowly_is_ended(core):
    with raw(core) as sock:
        mine = sock.getsockname()[1]
        sock.sendall(head(100) + b"{")
        wait_until(
            lambda: mine in {c.remote_port for c in list(core.server.reading)}
        )
        core.server._end_late(float("inf"))
        answer = read_all(sock)
    assert b"400 Bad Request" in answer
    assert b"shorter than declared" in answer


def test_a_chunk_larger_than_the_limit_is_refused_unread(core):
    chunked = head(0).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    with raw(core) as sock:
        sock.sendall(chunked + b"7fffffff\r\nxx")
        answer = read_all(sock)
    assert b"413" in answer.split(b"\r\n")[0]
    assert b"BODY_TOO_LARGE" in answer


def test_a_full_entry_refuses_at_once_and_stays_healthy(core):
    core.script = lambda request, waiting: None
    body = json.dumps(CHAT).encode()
    with contextlib.ExitStack() as stack:
        for _ in range(4):
            sock = stack.enter_context(raw(core))
            sock.sendall(head(len(body)) + body)
            core.asked.get(timeout=WAIT)
        answer = core.chat()
        assert answer.status == 503
        assert error_of(answer)["code"] == "OVERLOADED"
        assert answer.headers["Retry-After"] == "1"
        assert core.call("GET", "/healthz").status == 200
    for _ in range(4):
        core.left.get(timeout=WAIT)
    wait_until(core.has_room)


def test_an_entry_that_drains_serves_on_but_is_not_ready(core):
    assert core.call("GET", "/readyz").status == 200
    core.is_ready = False
    assert core.call("GET", "/readyz").status == 503
    answer = core.chat()
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"


def test_request_ids_differ_between_servers(core):
    core.chat()
    core.chat()
    first = core.asked.get(timeout=WAIT).request
    second = core.asked.get(timeout=WAIT).request
    other = Core().server.new_request_id()
    assert len({first, second, other}) == 3
    assert first.partition("-")[0] != other.partition("-")[0]


def test_close_leaves_no_thread():
    before = set(threading.enumerate())
    core = Core()
    core.server.start()
    assert core.chat().status == 200
    core.pool.clear()
    core.server.close()
    for thread in set(threading.enumerate()) - before:
        thread.join(WAIT)
        assert not thread.is_alive()
