"""Tests of the engine client against the fake server and faulty ones."""

import queue
import time

import hypothesis
from hypothesis import strategies
import pytest

from pimentoledge import fake_http
from pimentoledge.decisions import events
from pimentoledge.runners import blocks
from pimentoledge.runners import engines
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_servers
from pimentoledge.runners import messages
from pimentoledge.runners import streams
from pimentoledge.runners import wires
from pimentoledge.tests import engine_runs
from pimentoledge.tests import raw_servers

run_of = engine_runs.run_of
LONG_PROMPT = "manual " * 100
ENDLESS = 1_000_000


@pytest.fixture
def server_and_client():
    engine = fake_engines.FakeEngine(
        slots=8, cache_blocks=100, token_seconds=1e-6, step_seconds=0.002
    )
    server = fake_servers.FakeEngineServer(engine=engine)
    server.start()
    client = engines.EngineClient(url=server.url, timeout=5)
    client.start()
    yield server, client
    client.close()
    server.close()


def run_against(url, **fields):
    client = engines.EngineClient(url=url, **fields)
    client.start()
    received = list(client.run(run_of("r"), "s"))
    client.close()
    return received


@pytest.mark.parametrize("chunked", [False, True])
def test_stream_gives_the_complete_answer(server_and_client, chunked):
    server, client = server_and_client
    server.chunked = chunked
    for number in range(3):
        received = list(client.run(run_of(f"r{number}", LONG_PROMPT, 9), "s"))
        text = engine_runs.text_of(received, f"r{number}")
        assert text == fake_engines.expected_text(LONG_PROMPT, 0, 9)
        assert isinstance(received[0], events.EngineStarted)
        end = engine_runs.end_of(received, f"r{number}")
        assert end.cached_tokens == (128 if number else 0)
    assert server.engine.counters.runs == {"r0": 1, "r1": 1, "r2": 1}


def test_a_response_to_an_earlier_call_is_not_taken():
    """Guards against an engine that answers again where a response is due."""
    statuses = iter([200, 404])

    def answer(request):
        fake_http.read_body(request)
        request.conn.wfile.write(getattr(request.conn, "late_response", b""))
        status = next(statuses)
        request.conn.late_response = fake_http.encode_response(status, [], b"")
        fake_http.send_response(request, b"", status=status)

    server = fake_http.HttpServer(
        handle=answer, host="127.0.0.1", port=0, threads=2
    )
    server.start()
    client = engines.EngineClient(url=server.url, timeout=5)
    client.start()
    found = [client.cancel("known", 1), client.cancel("unknown", 1)]
    client.close()
    server.close()
    assert found == [True, False]


def test_one_receiver_gets_the_events_of_all_streams(server_and_client):
    _, client = server_and_client
    inbox = queue.SimpleQueue()
    for number in range(20):
        client.start_run(run_of(f"r{number}", max_tokens=30), "s", inbox.put)
    received = []
    while sum(isinstance(e, events.EngineEnded) for e in received) < 20:
        received.extend(inbox.get(timeout=10))
    for number in range(20):
        text = engine_runs.text_of(received, f"r{number}")
        assert text == fake_engines.expected_text("p", 0, 30)


def test_crash_breaks_the_stream_and_refuses_new_completions(server_and_client):
    """An engine crashes in the middle of an answer.

    Its connections close without an `ended` event, which must not count as the
    end of the answer. While its port is closed, a new completion is reported
    as not run. After the restart it has a new incarnation.
    """
    server, client = server_and_client
    before = client.status().incarnation
    stream = client.run(run_of("r", max_tokens=ENDLESS), "s")
    assert isinstance(next(stream), events.EngineStarted)
    server.crash()
    assert list(stream)[-1].ran == "ran"
    (refused,) = client.run(run_of("s"), "s")
    assert (type(refused), refused.ran) == (events.EngineBroken, "not_run")
    assert client.status() == events.EngineStatus()
    assert client.cache_events(0) is None
    order = messages.Order(kind="role", value="both", fencing=1)
    assert client.order(order).reason == "down"
    server.restart()
    assert client.status().incarnation not in ("", before)
    assert len(list(client.run(run_of("t"), "s"))) > 1


def test_lost_events_break_the_stream(server_and_client):
    """Events of a stream are lost in transit.

    The next text has an index that is too high; appending it would return an
    answer with missing tokens, so the stream is broken.
    """
    server, client = server_and_client
    stream = client.run(run_of("r", max_tokens=ENDLESS), "s")
    while not isinstance(next(stream), events.EngineText):
        pass
    server.lose_writes = 1
    received = list(stream)
    assert isinstance(received[-1], events.EngineBroken)
    assert (received[-1].ran, "was due" in received[-1].text) == ("ran", True)


def test_cut_connection_can_be_resumed(server_and_client):
    """The connection fails while the engine continues generating.

    The stream is resumed from the first missing token, and both parts together
    are the complete answer, which is computed only once.
    """
    server, client = server_and_client
    stream = client.run(run_of("r", max_tokens=300), "s")
    received = [next(stream) for _ in range(3)]
    server.cut_streams()
    received += list(stream)
    assert isinstance(received.pop(), events.EngineBroken)
    first_part = engine_runs.text_of(received, "r")
    resumed = list(client.resume("r", 1, first_part.count(" ")))
    text = first_part + engine_runs.text_of(resumed, "r")
    assert text == fake_engines.expected_text("p", 0, 300)
    assert engine_runs.end_of(resumed, "r").completion_tokens == 300
    assert server.engine.counters.runs["r"] == 1
    (unknown,) = client.resume("other", 1, 0)
    assert unknown.ran == "ran"


def test_cancel_and_abandon(server_and_client):
    server, client = server_and_client
    stream = client.run(run_of("r", max_tokens=ENDLESS), "s")
    next(stream)
    assert client.cancel("r", 1)
    assert list(stream)[-1].text == "cancelled"
    assert not client.cancel("r", 1)
    inbox = queue.SimpleQueue()
    open_stream = client.start_run(
        run_of("q", max_tokens=ENDLESS), "s", inbox.put
    )
    inbox.get(timeout=10)
    client.abandon(open_stream)
    assert client.cancel("q", 1)
    assert server.engine.counters.cancelled == 2


def test_refusals_are_not_run(server_and_client):
    server, client = server_and_client
    (refused,) = client.run(run_of("r", adapter="a1"), "s")
    assert (refused.ran, refused.text) == ("not_run", "adapter")
    stream = client.run(run_of("d", max_tokens=ENDLESS), "s")
    next(stream)
    (duplicate,) = client.run(run_of("d"), "s")
    assert (duplicate.ran, duplicate.text) == ("ran", "duplicate")
    stream.close()


def test_orders_events_and_kv(server_and_client):
    server, client = server_and_client
    list(client.run(run_of("r", LONG_PROMPT), "s"))
    cache_events = client.cache_events(0)
    chain = blocks.chain(salt="s", prompt=LONG_PROMPT.encode())
    assert [each.block for each in cache_events.events] == chain
    assert cache_events.incarnation == client.status().incarnation
    assert client.cache_events(2, seconds=0.01).events == []
    kv = client.export_kv(chain)
    assert kv.blocks == chain
    load_order = messages.Order(kind="load", value="w2", fencing=3)
    assert client.order(load_order).accepted
    assert client.import_kv(kv) is None
    stale_order = messages.Order(kind="role", value="decode", fencing=2)
    assert client.order(stale_order).reason == "fenced"
    evictions = client.cache_events(2, seconds=5)
    assert [each.stored for each in evictions.events] == [False, False]
    assert client.import_kv(kv) == 0.0
    assert client.status().weights == "w2"


def encode(event):
    return wires.encode_event(event)


def started_event():
    return events.EngineStarted(
        request="r",
        attempt=1,
        incarnation="i",
        prompt_tokens=1,
        cached_tokens=0,
    )


def text_event(index, text="w "):
    return events.EngineText(
        request="r", attempt=1, index=index, text=text, tokens=1
    )


def ended_event(request="r", tokens=2):
    return events.EngineEnded(
        request=request,
        attempt=1,
        reason="stop",
        prompt_tokens=1,
        cached_tokens=0,
        completion_tokens=tokens,
    )


HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
ENCODED_EVENTS = [
    encode(started_event()),
    encode(text_event(0)),
    encode(text_event(1)),
]
UNFINISHED_BODY = b"".join(ENCODED_EVENTS)
COMPLETE_BODY = UNFINISHED_BODY + encode(ended_event())


@pytest.mark.parametrize(
    ("reply", "ran"),
    [
        (b"", "ran"),
        (b"HTTP/1.1 200", "ran"),
        (HEAD, "ran"),
        (HEAD + UNFINISHED_BODY, "ran"),
        (HEAD + COMPLETE_BODY[:-1], "ran"),
        (
            HEAD
            + UNFINISHED_BODY
            + encode(text_event(3))
            + encode(ended_event()),
            "ran",
        ),
        (
            HEAD
            + UNFINISHED_BODY
            + encode(text_event(0))
            + encode(ended_event()),
            "ran",
        ),
        (HEAD + UNFINISHED_BODY + encode(ended_event(tokens=3)), "ran"),
        (HEAD + UNFINISHED_BODY + encode(ended_event(request="other")), "ran"),
        (
            HEAD + UNFINISHED_BODY + b"data: {oops\n\n" + encode(ended_event()),
            "ran",
        ),
        (HEAD + UNFINISHED_BODY + b"event: odd\ndata: {}\n\n", "ran"),
        (raw_servers.http_reply(b"{}", status=500), "ran"),
        (raw_servers.http_reply(b"full", status=409), "ran"),
        (raw_servers.http_reply(b'{"ran":"not_run"', 409, 99), "ran"),
        (
            raw_servers.http_reply(
                b'{"ran":"not_run","reason":"full"}', status=409
            ),
            "not_run",
        ),
    ],
)
def test_incomplete_or_invalid_answers_break_the_stream(reply, ran):
    """A response is truncated, malformed, of another request or has a gap.

    It must never count as an answer, and only an explicit refusal counts as
    not run.
    """
    with raw_servers.raw_server(reply) as url:
        received = run_against(url)
    end = engine_runs.end_of(received, "r")
    assert (type(end), end.ran) == (events.EngineBroken, ran)


def test_silent_engine_breaks_the_stream(monkeypatch):
    """A frozen VM neither sends data nor closes its connections."""
    monkeypatch.setattr(engines.stream_tasks, "IDLE_CHECK_SECONDS", 0.05)
    with raw_servers.raw_server(HEAD + UNFINISHED_BODY, hang=True) as url:
        end = run_against(url, idle_timeout=0.2)[-1]
    assert (type(end), end.ran) == (events.EngineBroken, "ran")


@pytest.mark.parametrize("reply", [b"", HEAD, HEAD + UNFINISHED_BODY])
def test_close_ends_streams_that_wait_for_the_engine(reply):
    """The client is closed while its engine hangs.

    Whichever part of the response is outstanding, the receiver gets the end of
    the stream as broken, and `close` does not wait for the engine.
    """
    with raw_servers.raw_server(reply, hang=True) as url:
        client = engines.EngineClient(url=url, timeout=600, idle_timeout=600)
        client.start()
        stream = client.run(run_of("r"), "s")
        for _ in range(2 if reply == HEAD + UNFINISHED_BODY else 0):
            next(stream)
        client.close()
        assert isinstance(list(stream)[-1], events.EngineBroken)
        (late,) = client.run(run_of("s"), "s")
        assert late.ran == "not_run"


def test_exception_while_sending_breaks_the_stream(server_and_client):
    """The HTTP library raises because a header is invalid.

    The exception occurs on an executor thread. If it were lost there, the
    caller would wait until its deadline.
    """
    _, client = server_and_client
    run = run_of("r")
    run.trace = "a\nb"
    (broken,) = client.run(run, "s")
    assert isinstance(broken, events.EngineBroken)


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    cuts=strategies.lists(
        strategies.integers(0, len(COMPLETE_BODY)), max_size=9
    ),
    end=strategies.integers(0, len(COMPLETE_BODY)),
)
def test_reader_tells_complete_streams_from_truncated_ones(cuts, end):
    reader = streams.StreamReader(request="r", attempt=1)
    offsets = [0, *sorted(min(cut, end) for cut in cuts), end]
    received = []
    for first, last in zip(offsets, offsets[1:], strict=False):
        received.extend(reader.feed(COMPLETE_BODY[first:last]))
    assert reader.finished == reader.complete == (end == len(COMPLETE_BODY))
    assert "w w ".startswith(engine_runs.text_of(received, "r"))
    if reader.complete:
        assert engine_runs.text_of(received, "r") == "w w "


def test_abandoning_a_stream_as_its_text_arrives_leaves_others_running(
    server_and_client,
):
    """Guards against all streams of an engine hanging at once.

    A stream that was abandoned in the round in which its text arrived was
    dropped twice, and the exception ended the thread that reads all streams.
    """
    server, client = server_and_client
    inbox = queue.SimpleQueue()
    other = client.start_run(run_of("b", max_tokens=ENDLESS), "s", inbox.put)
    inbox.get(timeout=10)
    received = queue.SimpleQueue()

    def abandon_while_text_arrives(stream_events):
        received.put(stream_events)
        if not other.abandoned:
            client.abandon(other)
            time.sleep(0.05)

    client.start_run(
        run_of("a", max_tokens=ENDLESS), "s", abandon_while_text_arrives
    )
    for _ in range(20):
        assert received.get(timeout=10)
    assert client.cancel("a", 1)
    assert client.cancel("b", 1)
