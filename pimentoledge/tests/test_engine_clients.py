"""The engine's server and client, and what the client makes of faults."""

import queue
import time

import hypothesis
from hypothesis import strategies
import pytest

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
LONG = "manual " * 100
ENDLESS = 1_000_000


@pytest.fixture
def pair():
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


def run_at(url, **fields):
    client = engines.EngineClient(url=url, **fields)
    client.start()
    found = list(client.run(run_of("r"), "s"))
    client.close()
    return found


@pytest.mark.parametrize("chunked", [False, True])
def test_stream_is_whole(pair, chunked):
    server, client = pair
    server.chunked = chunked
    for number in range(3):
        found = list(client.run(run_of(f"r{number}", LONG, 9), "s"))
        text = engine_runs.text_of(found, f"r{number}")
        assert text == fake_engines.expected_text(LONG, 0, 9)
        assert isinstance(found[0], events.EngineStarted)
        end = engine_runs.last_of(found, f"r{number}")
        assert end.cached_tokens == (128 if number else 0)
    assert server.engine.counters.runs == {"r0": 1, "r1": 1, "r2": 1}


def test_one_receiver_gets_all_streams(pair):
    _, client = pair
    inbox = queue.SimpleQueue()
    for number in range(20):
        client.start_run(run_of(f"r{number}", max_tokens=30), "s", inbox.put)
    found = []
    while sum(isinstance(e, events.EngineEnded) for e in found) < 20:
        found.extend(inbox.get(timeout=10))
    for number in range(20):
        text = engine_runs.text_of(found, f"r{number}")
        assert text == fake_engines.expected_text("p", 0, 30)


def test_crash_mid_stream_is_broken_and_then_refused(pair):
    """An engine process dies in the middle of an answer.

    Its connections close without an end mark, which must not pass for the
    end of the answer; afterwards connections are refused, so that a new
    completion certainly did not run; then it comes back with a new life.
    """
    server, client = pair
    before = client.status().incarnation
    stream = client.run(run_of("r", max_tokens=ENDLESS), "s")
    assert isinstance(next(stream), events.EngineStarted)
    server.crash()
    assert list(stream)[-1].ran == "ran"
    (refused,) = client.run(run_of("s"), "s")
    assert (type(refused), refused.ran) == (events.EngineBroken, "not_run")
    assert client.status() == events.EngineStatus()
    assert client.cache_events(0) is None
    given = messages.Order(kind="role", value="both", fencing=1)
    assert client.order(given).reason == "down"
    server.restart()
    assert client.status().incarnation not in ("", before)
    assert len(list(client.run(run_of("t"), "s"))) > 1


def test_lost_frames_are_a_gap_and_no_answer(pair):
    """Frames of a stream get lost on the way.

    What follows has a number that is too high; joining it would give the
    caller an answer with a hole, so the stream is broken.
    """
    server, client = pair
    stream = client.run(run_of("r", max_tokens=ENDLESS), "s")
    while not isinstance(next(stream), events.EngineText):
        pass
    server.lose_writes = 1
    found = list(stream)
    assert isinstance(found[-1], events.EngineBroken)
    assert (found[-1].ran, "was due" in found[-1].text) == ("ran", True)


def test_cut_connection_can_be_resumed(pair):
    """A switch dies between agent and engine, and the engine goes on.

    The stream is taken up again from the first token that is missing, and
    the two parts make the whole answer, computed once.
    """
    server, client = pair
    stream = client.run(run_of("r", max_tokens=300), "s")
    found = [next(stream) for _ in range(3)]
    server.cut_streams()
    found += list(stream)
    assert isinstance(found.pop(), events.EngineBroken)
    head = engine_runs.text_of(found, "r")
    rest = list(client.resume("r", 1, head.count(" ")))
    whole = head + engine_runs.text_of(rest, "r")
    assert whole == fake_engines.expected_text("p", 0, 300)
    assert engine_runs.last_of(rest, "r").completion_tokens == 300
    assert server.engine.counters.runs["r"] == 1
    (unknown,) = client.resume("other", 1, 0)
    assert unknown.ran == "ran"


def test_cancel_and_abandon(pair):
    server, client = pair
    stream = client.run(run_of("r", max_tokens=ENDLESS), "s")
    next(stream)
    assert client.cancel("r", 1)
    assert list(stream)[-1].text == "cancelled"
    assert not client.cancel("r", 1)
    inbox = queue.SimpleQueue()
    reading = client.start_run(run_of("q", max_tokens=ENDLESS), "s", inbox.put)
    inbox.get(timeout=10)
    client.abandon(reading)
    assert client.cancel("q", 1)
    assert server.engine.counters.cancelled == 2


def test_refusals_are_not_run(pair):
    server, client = pair
    (refused,) = client.run(run_of("r", adapter="a1"), "s")
    assert (refused.ran, refused.text) == ("not_run", "adapter")
    stream = client.run(run_of("d", max_tokens=ENDLESS), "s")
    next(stream)
    (twice,) = client.run(run_of("d"), "s")
    assert (twice.ran, twice.text) == ("ran", "duplicate")
    stream.close()


def test_orders_events_and_kv(pair):
    server, client = pair
    list(client.run(run_of("r", LONG), "s"))
    heard = client.cache_events(0)
    chain = blocks.chain(salt="s", prompt=LONG.encode())
    assert [each.block for each in heard.events] == chain
    assert heard.incarnation == client.status().incarnation
    assert client.cache_events(2, seconds=0.01).events == []
    kv = client.export_kv(chain)
    assert kv.blocks == chain
    given = messages.Order(kind="load", value="w2", fencing=3)
    assert client.order(given).accepted
    assert client.import_kv(kv) is None
    stale = messages.Order(kind="role", value="decode", fencing=2)
    assert client.order(stale).reason == "fenced"
    left = client.cache_events(2, seconds=5)
    assert [each.stored for each in left.events] == [False, False]
    assert client.import_kv(kv) == 0.0
    assert client.status().weights == "w2"


def block(event):
    return wires.encode_event(event)


def started():
    return events.EngineStarted(
        request="r",
        attempt=1,
        incarnation="i",
        prompt_tokens=1,
        cached_tokens=0,
    )


def piece(index, text="w "):
    return events.EngineText(
        request="r", attempt=1, index=index, text=text, tokens=1
    )


def ended(request="r", tokens=2):
    return events.EngineEnded(
        request=request,
        attempt=1,
        reason="stop",
        prompt_tokens=1,
        cached_tokens=0,
        completion_tokens=tokens,
    )


HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
PIECES = [block(started()), block(piece(0)), block(piece(1))]
BODY = b"".join(PIECES)
WHOLE = BODY + block(ended())


@pytest.mark.parametrize(
    ("reply", "ran"),
    [
        (b"", "ran"),
        (b"HTTP/1.1 200", "ran"),
        (HEAD, "ran"),
        (HEAD + BODY, "ran"),
        (HEAD + WHOLE[:-1], "ran"),
        (HEAD + BODY + block(piece(3)) + block(ended()), "ran"),
        (HEAD + BODY + block(piece(0)) + block(ended()), "ran"),
        (HEAD + BODY + block(ended(tokens=3)), "ran"),
        (HEAD + BODY + block(ended(request="other")), "ran"),
        (HEAD + BODY + b"data: {oops\n\n" + block(ended()), "ran"),
        (HEAD + BODY + b"event: odd\ndata: {}\n\n", "ran"),
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
def test_anything_but_a_whole_answer_is_broken(reply, ran):
    """An engine's answer is cut, garbled, crossed or has a hole.

    It never counts as an answer, and only a refusal in so many words counts
    as not run.
    """
    with raw_servers.raw_server(reply) as url:
        found = run_at(url)
    end = engine_runs.last_of(found, "r")
    assert (type(end), end.ran) == (events.EngineBroken, ran)


def test_silent_engine_breaks_the_stream(monkeypatch):
    """An engine's VM freezes: it sends nothing and closes nothing."""
    monkeypatch.setattr(engines.stream_tasks, "SWEEP_SECONDS", 0.05)
    with raw_servers.raw_server(HEAD + BODY, hang=True) as url:
        end = run_at(url, silence=0.2)[-1]
    assert (type(end), end.ran) == (events.EngineBroken, "ran")


@pytest.mark.parametrize("reply", [b"", HEAD, HEAD + BODY])
def test_close_ends_what_waits(reply):
    """The process shall end while its engine hangs.

    Whatever the stream waits for, its receiver hears that it is broken, and
    `close` does not wait for the engine.
    """
    with raw_servers.raw_server(reply, hang=True) as url:
        client = engines.EngineClient(url=url, timeout=600, silence=600)
        client.start()
        stream = client.run(run_of("r"), "s")
        for _ in range(2 if reply == HEAD + BODY else 0):
            next(stream)
        client.close()
        assert isinstance(list(stream)[-1], events.EngineBroken)
        (late,) = client.run(run_of("s"), "s")
        assert late.ran == "not_run"


def test_defect_while_sending_ends_the_stream(pair):
    """A header can't be written, and the HTTP library raises.

    It happens on a thread that nobody looks at; without a word the caller
    would wait until its deadline.
    """
    _, client = pair
    run = run_of("r")
    run.trace = "a\nb"
    (broken,) = client.run(run, "s")
    assert isinstance(broken, events.EngineBroken)


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, len(WHOLE)), max_size=9),
    end=strategies.integers(0, len(WHOLE)),
)
def test_reader_knows_whole_from_part(cuts, end):
    reader = streams.StreamReader(request="r", attempt=1)
    places = [0, *sorted(min(cut, end) for cut in cuts), end]
    found = []
    for first, last in zip(places, places[1:], strict=False):
        found.extend(reader.feed(WHOLE[first:last]))
    assert reader.over == reader.whole == (end == len(WHOLE))
    assert "w w ".startswith(engine_runs.text_of(found, "r"))
    if reader.whole:
        assert engine_runs.text_of(found, "r") == "w w "


def test_a_stream_abandoned_as_its_text_arrives_harms_no_other(pair):
    """Every stream of an engine hangs from one moment on.

    One was abandoned, and in the same round text of it had come. It was
    dropped twice, and the thread that reads all streams ended with that.
    """
    server, client = pair
    inbox = queue.SimpleQueue()
    other = client.start_run(run_of("b", max_tokens=ENDLESS), "s", inbox.put)
    inbox.get(timeout=10)
    kept = queue.SimpleQueue()

    def abandon_and_let_text_come(found):
        kept.put(found)
        if not other.abandoned:
            client.abandon(other)
            time.sleep(0.05)

    client.start_run(
        run_of("a", max_tokens=ENDLESS), "s", abandon_and_let_text_come
    )
    for _ in range(20):
        assert kept.get(timeout=10)
    assert client.cancel("a", 1)
    assert client.cancel("b", 1)
