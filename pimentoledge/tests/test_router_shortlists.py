"""Servers of which one is chosen for a request."""

from pimentoledge.routing import backends
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import shortlists

PART = request_types.Part(name="part", tokens=600)
PROMPT = shortlists.Prompt(namespace="1", parts=(PART,))


def _servers(number, places=("a", "b")):
    known = backends.Backends()
    for each in range(number):
        known.put(
            registrations.Registration(
                server=f"r{each}",
                service="runners",
                address=f"10.0.0.{each}:1",
                data_centre=places[each % len(places)],
                slots=8,
                leaving=False,
                weights={"m": 1},
            )
        )
    return known


def _draw(servers, prompt=PROMPT, more=False):
    return shortlists.draw(
        servers,
        service="runners",
        data_centre="a",
        prompt=prompt,
        more=more,
    )


def test_all_servers_of_a_small_service_are_evaluated():
    servers = _servers(shortlists.MAX_EVALUATED)
    assert len(_draw(servers)) == shortlists.MAX_EVALUATED


def test_the_number_evaluated_does_not_grow_with_the_service():
    """Guards against requests that cost more with each server that is added."""
    servers = _servers(1000)
    assert len(_draw(servers)) <= shortlists.MAX_EVALUATED
    assert len(_draw(servers, more=True)) == shortlists.MORE


def test_servers_that_hold_the_prompt_are_drawn():
    """Guards against prompts that are read again in a large service."""
    servers = _servers(1000)
    holder = servers.by_server["r501"]
    holder.note_parts("1", (PART,), 50000, 0.0)
    for _ in range(20):
        assert holder in _draw(servers)


def test_half_of_the_drawn_servers_are_near():
    """Guards against traffic between data centres in a large service."""
    servers = _servers(1000, places=[f"z{each}" for each in range(19)] + ["a"])
    near = [each.registration.data_centre == "a" for each in _draw(servers)]
    assert sum(near) >= shortlists.NEAR


def test_a_server_that_evicts_a_part_holds_it_no_more():
    """Guards against holders that are kept for ever."""
    servers = _servers(3)
    first, second, third = servers.by_server.values()
    for each in (first, second, third):
        each.note_parts("1", (PART,), 50000, 0.0)
    first.note_parts("1", (request_types.Part(name="x", tokens=500),), 600, 0.0)
    second.forget_parts()
    assert servers.holders_of("1", (PART,), 9) == [third]
    servers.remove(third.registration.server)
    assert not servers.holders_of("1", (PART,), 9)
    assert ("1", "part") not in servers.holders


def test_a_server_that_moves_is_listed_where_it_is():
    servers = _servers(2)
    moved = registrations.Registration(
        server="r0",
        service="others",
        address="10.0.0.0:1",
        data_centre="b",
        slots=8,
        leaving=False,
        weights={"m": 1},
    )
    servers.put(moved)
    assert not servers.of_place("runners", "a")
    assert len(servers.of_place("others", "b")) == 1
    assert len(servers.of_service("runners")) == 1
