"""Overload: what runners have too little of, and who is refused first."""

import attrs
import pytest

from pimentoledge.routing import asks
from pimentoledge.routing import beliefs
from pimentoledge.routing import configurations
from pimentoledge.routing import memories
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import rooms
from pimentoledge.routing import selections

MEMORY = 100_000
SLOTS = 64


ASK = asks.Ask(
    request="q",
    method=b"POST",
    host="h",
    target=b"/",
    path="/",
    key=None,
    wait_seconds=4.0,
    model="m",
    prompt_tokens=9000,
    answer_tokens=50,
    parts=(
        asks.Part(name="shared", tokens=6000),
        asks.Part(name="own", tokens=3000),
    ),
    resume_after=None,
    passed_on=[],
    body=b"",
    arrived=0.0,
)
ROUTE = configurations.Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=configurations.Kind.STREAM,
    timeout_seconds=4.0,
    objective_seconds=2.0,
    urgency=1,
    shares=(configurations.Share(service="s", weight=1),),
    most_servers=1,
    open=True,
    by_prefix=True,
    resumable=False,
    gap_seconds=None,
)
URGENT = attrs.evolve(ROUTE, urgency=0)


def world(*loads, memory=MEMORY):
    """Returns beliefs in runners that told these loads."""
    believed = beliefs.Beliefs(name="x", data_centre="a", born=0.0)
    service = configurations.Service(
        name="s",
        max_connections=0,
        models=("m",),
        slots=SLOTS,
        cache_tokens=memory,
        cache_address=None,
        data_centre=None,
    )
    believed.configuration = configurations.build(
        version=1,
        routes=[ROUTE],
        organisations=None,
        services=[service],
        limits=configurations.Limits(),
    )
    for number, (running, waiting) in enumerate(loads):
        found = believed.servers.put(
            registrations.Registration(
                server=f"r{number}",
                service="s",
                address=f"10.0.0.{number}:80",
                data_centre="a",
                slots=SLOTS,
                leaving=False,
                weights={"m": 1},
            )
        )
        load = asks.Load(running=running, waiting=waiting, slots=SLOTS)
        found.told_load(load, 1.0)
    believed.mean_unshared("m").note(3000)
    return believed


def select(believed, route=ROUTE):
    """Returns the server that is chosen, or what those there are lack."""
    found = selections.select(
        believed=believed,
        ask=ASK,
        route=route,
        organisation=None,
        without=set(),
        now=1.0,
    )
    match found:
        case placements.Choice():
            return found.backend.registration.server
        case placements.NoRoom(lacks=lacks):
            return lacks


def test_what_a_request_shares_with_others_is_not_its_own():
    assert memories.unshared_tokens(ASK) == 3050


def test_a_runner_whose_memory_is_taken_gets_no_more():
    """A congestion outlasted its cause by half a minute.

    A quarter of the runners went dark and weights changed. The others had
    slots left and were sent all requests; these pushed the cached parts out,
    so each prompt was read whole, stayed longer, and more piled up.
    """
    believed = world((40, 0), (5, 0))
    assert select(believed) == "r1"
    believed = world((40, 0), (38, 2))
    assert select(believed) == {rooms.Lack.MEMORY: 2}


def test_the_less_urgent_are_refused_first():
    believed = world((35, 0))
    assert select(believed) == {rooms.Lack.MEMORY: 1}
    assert select(believed, URGENT) == "r0"
    believed = world((55, 0))
    assert select(believed, URGENT) == {rooms.Lack.MEMORY: 1}


def test_an_idle_runner_is_never_full():
    """Requests larger than a runner's memory would shut out all others."""
    believed = world((0, 0))
    believed.mean_unshared("m").tokens = 3.0 * MEMORY
    assert select(believed) == "r0"


def test_room_is_back_as_soon_as_a_runner_tells_so():
    believed = world((40, 10))
    assert isinstance(select(believed), dict)
    runner = believed.servers.by_server["r0"]
    runner.told_load(asks.Load(running=6, waiting=0, slots=SLOTS), 1.1)
    assert select(believed) == "r0"


def test_without_a_known_memory_nothing_is_refused_for_it():
    believed = world((40, 0), memory=None)
    believed.mean_unshared("m").tokens = 9000.0
    assert select(believed) == "r0"


def test_slots_are_kept_for_the_most_urgent():
    """Short answers took twelve seconds, and most came to nothing.

    Every slot was open to long prompts. They were read between the steps of
    all answers there, which took seven times as long, kept their slots, and
    what was most urgent found none.
    """
    believed = world((46, 0), memory=None)
    assert select(believed) == {rooms.Lack.SLOTS: 1}
    assert select(believed, URGENT) == "r0"
    believed = world((SLOTS, 0), memory=None)
    assert select(believed, URGENT) == {rooms.Lack.SLOTS: 1}


def test_what_would_come_too_late_is_refused_at_once():
    """Look-ups queued behind each other until all of them were late.

    Each was sent although its first event was to be expected seconds past its
    objective; by then its client had left, and what was read was for nothing.
    """
    believed = world((2, 0), memory=None)
    runner = believed.servers.by_server["r0"]
    runner.reading, runner.unbegun, runner.read_since = 100_000, 8, 1.0
    assert select(believed) == {rooms.Lack.TIME: 1}
    runner.reading, runner.unbegun = 10_000, 1
    assert select(believed) == "r0"


@pytest.mark.parametrize("urgency", [0, 1])
def test_an_idle_runner_takes_a_prompt_that_can_not_be_in_time(urgency):
    believed = world((0, 0))
    hasty = attrs.evolve(ROUTE, urgency=urgency, objective_seconds=0.01)
    assert select(believed, hasty) == "r0"
