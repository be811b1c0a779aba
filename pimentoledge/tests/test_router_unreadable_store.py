"""A store whose responses, or objects, can't be read, and a router's view."""

import asyncio
import json

import msgspec

from pimentoledge import fake_http
from pimentoledge.platform import names
from pimentoledge.routing import store_states
from pimentoledge.tests import router_world

with_world = router_world.with_world


def _break_watches_of(store, name):
    """Makes each watch unreadable that has a change of an object."""
    send = store._send_json

    def send_json(request, body, status=200):
        events = body.get("events", ())
        changed = [each["object"]["metadata"]["name"] for each in events]
        if name in changed:
            fake_http.send_response(request, b'{"events":[{]', headers=[])
            return
        send(request, body, status)

    store._send_json = send_json


async def _probe(router):
    host, _, port = router.chosen.text("ready-listen").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    body = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), json.loads(body)


@with_world()
async def test_changes_after_an_unreadable_response_are_seen(world):
    """Guards against a watch that is repeated although it is unreadable."""
    [router] = world.routers
    _break_watches_of(world.store, "gone")
    world.store.put(names.SERVER_KIND, "gone", {"service": "plain"})
    world.store.remove(names.SERVER_KIND, "gone")
    world.platform.add_server("later", service="plain")
    await world.until(lambda: "later" in router.view.servers.by_server)
    counts = router.counters.decisions
    assert counts["store_unreadable", ""]
    assert ("store_lost", "") not in counts


@with_world()
async def test_a_view_that_stands_still_names_its_cause(world):
    """Guards against an unreadable store that looks like a silent one."""
    [router] = world.routers
    watcher = router.kinds["servers"]
    status, state = await _probe(router)
    assert (status, state["store"]["servers"]) == (200, "current")
    send = world.store._send_json
    world.store._send_json = lambda request, body, status=200: (
        fake_http.send_response(request, b"{", headers=[])
    )
    world.store.put(names.SERVER_KIND, "x", {"service": "plain"})
    unreadable = store_states.StoreState.UNREADABLE
    await world.until(lambda: watcher.state() is unreadable)
    status, state = await _probe(router)
    assert (status, state["store"]["servers"]) == (200, "unreadable")
    page = router._page()
    assert b"router_servers_store_reached 1.0" in page
    assert b"router_servers_store_readable 0.0" in page
    world.store._send_json = send
    await world.until(
        lambda: watcher.state() is store_states.StoreState.CURRENT
    )
    world.store.close()
    unreached = store_states.StoreState.UNREACHED
    await world.until(lambda: watcher.state() is unreached)
    assert b"router_servers_store_reached 0.0" in router._page()


@with_world()
async def test_unreadable_objects_are_counted_until_they_are_gone(world):
    [router] = world.routers
    world.store.put(names.SERVER_KIND, "x", [])
    await world.until(lambda: router.updater.unreadable["servers"])
    page = msgspec.json.decode(router._state_page())
    assert page["unreadable_objects"]["servers"] == 1
    assert b"router_servers_unreadable_objects 1.0" in router._page()
    world.store.remove(names.SERVER_KIND, "x")
    await world.until(lambda: not router.updater.unreadable["servers"])
