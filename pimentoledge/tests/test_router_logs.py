"""Tests of the router's log lines: contents, rate limit and full pipes."""

import asyncio
import contextlib
import os

import attrs
import logbook
import msgspec

from pimentoledge.platform import second_responses
from pimentoledge.routing import counters
from pimentoledge.routing import log_lines
from pimentoledge.routing import watchers
from pimentoledge.tests import router_world

with_world = router_world.with_world


def lines_of(reader):
    os.set_blocking(reader, False)
    try:
        data = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_lines_beyond_the_rate_limit_are_counted_and_reported_later():
    reader, writer = os.pipe()
    counted = counters.Counters()
    lines = log_lines.Lines(counters=counted)
    handler = log_lines.LineHandler(descriptor=writer)
    with handler.threadbound():
        for _ in range(log_lines.LINES_PER_SECOND + 50):
            lines.write("refused", code="X")
        lines.write("another")
        lines._windows["refused"].started -= 2
        lines.write("refused", code="X")
    found = lines_of(reader)
    refused = [line for line in found if line["message"] == "refused"]
    assert len(refused) == log_lines.LINES_PER_SECOND + 1
    assert refused[-1]["left_out_before"] == 50
    assert refused[0]["time"].endswith("Z")
    total = log_lines.LINES_PER_SECOND + 51
    assert counted.decisions[("refused", "X")] == total


def test_a_full_pipe_drops_lines_and_logs_their_number():
    """Guards against requests blocked by a log reader that doesn't read."""
    reader, writer = os.pipe()
    lines = log_lines.Lines(counters=counters.Counters())
    handler = log_lines.LineHandler(descriptor=writer)
    with handler.threadbound():
        for number in range(60):
            lines.write(f"kind-{number}", text="x" * 2000)
        dropped = handler.dropped
        assert dropped
        os.read(reader, 1 << 20)
        lines.write("after")
    assert lines_of(reader)[-1]["dropped_lines"] == dropped


@contextlib.contextmanager
def fields_of_lines():
    """Yields a dict of the fields of lines logged in the block, by message."""
    handler = logbook.TestHandler(level="INFO")
    found = {}
    with handler.applicationbound():
        yield found
    for record in handler.records:
        fields = record.extra.get("fields") or {}
        found.setdefault(record.message, []).append(fields)


@with_world()
async def test_answered_line_has_the_data_that_the_choice_was_based_on(
    world,
):
    """Guards against log lines that don't explain the choice of a server.

    To find out why a request went to a slow server, an operator needs the
    compared costs, the cached load and versions, and the age of each.
    """
    with fields_of_lines() as lines:
        await world.request("/cards/1", body=b"a")
        await world.request("/drafts/", headers=router_world.stream_headers())
        await world.request("/nowhere/")
    [call], [stream] = lines["answered"], lines["streamed"]
    for line in (call, stream):
        chosen = line["chosen"]
        assert chosen["configuration"] == 1
        assert 0 <= chosen["configuration_age"] < 60
        assert chosen["usable"] == chosen["declared"] == 2
        assert 0 <= chosen["servers_age"] < 60
        assert chosen["cost"] <= chosen["second"]
        assert line["server"] in world.servers
    assert stream["chosen"]["weights"] == stream["chosen"]["newest"]
    assert stream["chosen"]["newest_age"] >= 0
    assert "weights" not in call["chosen"]
    [refused] = lines["refused"]
    assert refused["code"] == "NOT_FOUND"
    assert refused["configuration"] == 1
    assert refused["configuration_age"] >= 0


@with_world(plain=1, runners=1)
async def test_log_and_metrics_have_the_age_of_cached_objects(world):
    """Guards against caches of server entries whose age can't be determined.

    To find out whether a router knew that a server had left, each watch call
    is logged at its start with the age of the cached entries; the metrics
    contain the ages of all kinds of objects.
    """
    [router] = world.routers
    with fields_of_lines() as lines:
        world.write_registration(world.servers["p0"], leaving=True)
        known = router.view.servers.by_incarnation["p0"]
        await world.until(lambda: known.registration.leaving)
        await asyncio.sleep(watchers.BATCH_SECONDS + 0.05)
    calls = [e for e in lines["store_watched"] if e["kind"] == "servers"]
    call = calls[-1]
    assert call["since"] == router.kinds["servers"].cache.revision
    assert 0 <= call["known_age"] < 5
    page = router._page().decode()
    for kind in ("servers", "weights", "configuration"):
        assert f"pimentoledge_router_{kind}_age_seconds" in page


@with_world()
async def test_late_stream_is_logged_and_counted(world):
    """Guards against complete but late streams that go unnoticed.

    They are counted by the objective of the route that they missed.
    """
    [router] = world.routers
    routes = router.view.configuration.routes
    for host, found in routes.items():
        routes[host] = {
            prefix: attrs.evolve(each, objective_seconds=30.0, gap_seconds=0.02)
            for prefix, each in found.items()
        }
    for server in world.servers.values():
        server.event_seconds = 0.1
    with fields_of_lines() as lines:
        await world.request("/drafts/", headers=router_world.stream_headers())
    [stream] = lines["streamed"]
    assert stream["late"] == "pause"
    assert router.counters.decisions[("streamed", "pause")] == 1


@with_world(runners=1)
async def test_client_disconnect_is_logged_with_its_server(world):
    """Guards against disconnects that can't be traced to a server.

    When many clients disconnect at once, the log line names the server that
    had the request and how long the client had received nothing.
    """
    world.servers["r0"].event_seconds = 0.6
    [router] = world.routers
    client = world.client()
    await client.open()
    with fields_of_lines() as lines:
        client.send("/drafts/", headers=router_world.stream_headers())
        await world.until(lambda: router.exchanges)
        await asyncio.sleep(0.1)
        client.close()
        await world.until(lambda: not router.exchanges)
    [left] = lines["client_left"]
    assert left["server"] == "r0"
    assert 50 < left["silent_ms"] < 5000
    assert left["chosen"]["usable"] == 1


@with_world(plain=1, runners=1)
async def test_response_announcing_that_its_server_leaves_is_logged_once(
    world,
):
    """Guards against a router that doesn't log a server's announced leaving.

    Without the line, nobody can tell whether it was known when a request was
    sent to that server.
    """
    server = world.servers["p0"]
    with fields_of_lines() as lines:
        await world.request("/notices/", body=b"n")
        assert "server_leaving" not in lines
        server.leaving = True
        for _ in range(3):
            await world.request("/notices/", body=b"n")
    [line] = lines["server_leaving"]
    assert line == {"server": "p0", "status": 200, "declared": False}


@with_world(plain=1, runners=1)
async def test_refusal_with_retry_after_is_logged_with_its_seconds(world):
    """Guards against a received Retry-After that isn't logged.

    Without the line, nobody can tell why a server got requests during its
    backoff: whether the header was received and could be parsed.
    """
    server = world.servers["p0"]
    server.refuse = 2
    server.retry_after = "0.25"
    with fields_of_lines() as lines:
        await world.request("/notices/", body=b"n")
        server.retry_after = "Thu, 01 Jan 1970 00:00:00 GMT"
        await asyncio.sleep(0.3)
        await world.request("/notices/", body=b"n")
    [line] = lines["server_busy"]
    assert line == {"server": "p0", "status": 503, "retry_after_s": 0.25}
    [line] = lines["retry_after_unreadable"]
    assert line["value"].startswith("Thu, 01 Jan 1970")


@with_world(plain=1, runners=1)
async def test_a_broken_attempt_is_logged_with_what_it_may_have_crashed(world):
    """Guards against crashes whose caller and parts nobody can see."""
    world.servers["r0"].cut_after = 2
    with fields_of_lines() as lines:
        await world.request("/drafts/", headers=router_world.stream_headers())
    [line] = lines["attempt_ended"]
    assert line["organisation"] == "acme"
    assert line["model"] == router_world.MODEL
    assert line["events"] == 2
    assert line["chosen"]["parts"] == ["aa:600", "bb:900"]


@with_world(plain=1)
async def test_a_late_response_is_logged_beside_the_request_it_preceded(world):
    """Guards against mixed-up responses whose connection can't be traced."""
    server = world.servers["p0"]
    server.second_response = lambda request: second_responses.SecondResponse(
        statuses={200: 500}
    )
    with fields_of_lines() as lines:
        for name in ("first", "second"):
            await world.request(
                "/cards/", body=b"c", headers={"Request-Id": name}
            )
    [extra] = lines["extra_response"]
    assert (extra["request"], extra["status"]) == ("first", 500)
    assert extra["awaits"]
    places = [each["connection"] for each in lines["answered"]]
    number = extra["connection"]
    assert places == [
        {"number": number, "requests": 1, "skipped": 0},
        {"number": number, "requests": 2, "skipped": 1},
    ]


@with_world()
async def test_the_line_of_a_configuration_has_the_time_of_each_step(world):
    [router] = world.routers
    written = []
    write = router.lines.write

    def record(message, **fields):
        written.append((message, fields))
        write(message, **fields)

    router.lines.write = record
    world.store.put("config", "main", router_world.configuration(version=9))
    await world.until(lambda: router.view.configuration.version == 9)
    [fields] = [each for name, each in written if name == "configuration"]
    assert fields["version"] == 9
    assert fields["source"] == "store"
    assert fields["kb"] > 1
    steps = ("awaited_ms", "arrived_ms", "queued_ms", "decoded_ms", "built_ms")
    assert all(0 <= fields[each] < 2000 for each in steps)
