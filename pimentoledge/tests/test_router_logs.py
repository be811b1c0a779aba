"""The router's log lines: bounded, and never in a request's way."""

import asyncio
import contextlib
import os

import attrs
import logbook
import msgspec

from pimentoledge.routing import counters
from pimentoledge.routing import log_lines
from pimentoledge.routing import watchers
from pimentoledge.tests import router_world

played = router_world.played


def lines_of(reader):
    os.set_blocking(reader, False)
    try:
        data = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_a_kind_beyond_its_rate_is_counted_and_told_later():
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


def test_a_full_pipe_drops_lines_and_says_how_many():
    """A reader of the log that stands still must not hold up requests."""
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
    """Gives the fields of the lines written within, by message."""
    handler = logbook.TestHandler(level="INFO")
    found = {}
    with handler.applicationbound():
        yield found
    for record in handler.records:
        fields = record.extra.get("fields") or {}
        found.setdefault(record.message, []).append(fields)


@played()
async def test_an_answer_tells_what_its_server_was_chosen_by_and_how_old(
    world,
):
    """Why did this lookup go to that slow server?

    A line that names only the server can't tell: it needs the costs that were
    compared, the load and the versions believed, and how old each was.
    """
    with fields_of_lines() as lines:
        await world.ask("/cards/1", body=b"a")
        await world.ask("/drafts/", headers=router_world.stream_headers())
        await world.ask("/nowhere/")
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


@played(plain=1, runners=1)
async def test_it_shows_how_old_what_is_known_of_the_servers_is(world):
    """Requests went to a server that had left: was that known there or not?

    Each call that waits for changes is told as it begins, with the age of what
    was known; the page of counters has the ages of all kinds.
    """
    [router] = world.routers
    with fields_of_lines() as lines:
        world.tell(world.servers["p0"], leaving=True)
        known = router.view.servers.by_incarnation["p0"]
        await world.until(lambda: known.registration.leaving)
        await asyncio.sleep(watchers.BATCH_SECONDS + 0.05)
    calls = [e for e in lines["store_watched"] if e["kind"] == "servers"]
    call = calls[-1]
    assert call["since"] == router.kinds["servers"].mirror.revision
    assert 0 <= call["known_age"] < 5
    page = router._page().decode()
    for kind in ("servers", "weights", "configuration"):
        assert f"pimentoledge_router_{kind}_age_seconds" in page


@played()
async def test_a_stream_that_came_late_by_its_routes_terms_is_counted(world):
    """Riders complain of slow drafts, yet every stream was whole.

    The count of late streams, by what was late, shows it without a search.
    """
    [router] = world.routers
    routes = router.view.configuration.routes
    for host, found in routes.items():
        routes[host] = [
            attrs.evolve(each, objective_seconds=30.0, gap_seconds=1e-6)
            for each in found
        ]
    with fields_of_lines() as lines:
        await world.ask("/drafts/", headers=router_world.stream_headers())
    [stream] = lines["streamed"]
    assert stream["late"] == "pause"
    assert router.counters.decisions[("streamed", "pause")] == 1


@played(runners=1)
async def test_a_client_that_leaves_is_told_with_the_server_that_had_it(world):
    """Clients leave by the dozen in the same two seconds: because of whom?

    The line names the server that had the request, and for how long the
    client had got nothing.
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


@played(plain=1, runners=1)
async def test_an_answer_that_tells_of_its_servers_leaving_is_logged_once(
    world,
):
    """A request reached a server that had said so: had this router heard it?"""
    server = world.servers["p0"]
    with fields_of_lines() as lines:
        await world.ask("/notices/", body=b"n")
        assert "server_leaving" not in lines
        server.leaving = True
        for _ in range(3):
            await world.ask("/notices/", body=b"n")
    [line] = lines["server_leaving"]
    assert line == {"server": "p0", "status": 200, "declared": False}


@played(plain=1, runners=1)
async def test_a_refusal_with_retry_after_is_logged_with_its_seconds(world):
    """A server got requests that it had asked not to: was that read?"""
    server = world.servers["p0"]
    server.refuse = 2
    server.retry_after = "0.25"
    with fields_of_lines() as lines:
        await world.ask("/notices/", body=b"n")
        server.retry_after = "Thu, 01 Jan 1970 00:00:00 GMT"
        await asyncio.sleep(0.3)
        await world.ask("/notices/", body=b"n")
    [line] = lines["server_busy"]
    assert line == {"server": "p0", "status": 503, "retry_after_s": 0.25}
    [line] = lines["retry_after_unreadable"]
    assert line["value"].startswith("Thu, 01 Jan 1970")
