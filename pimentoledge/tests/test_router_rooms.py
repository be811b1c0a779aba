"""Overload: what runners have too little of, and who is refused first."""

import attrs
import pytest

from pimentoledge.routing import capacity_checks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import selections

MEMORY = 100_000
SLOTS = 64


ASK = request_types.ClientRequest(
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
        request_types.Part(name="shared", tokens=6000),
        request_types.Part(name="own", tokens=3000),
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
    kind=configurations.Repeatability.STREAM,
    timeout_seconds=4.0,
    objective_seconds=2.0,
    urgency=1,
    shares=(configurations.ServiceShare(service="s", weight=1),),
    most_servers=1,
    open=True,
    by_prefix=True,
    resumable=False,
    gap_seconds=None,
)
URGENT = attrs.evolve(ROUTE, urgency=0)


def world(*loads, memory=MEMORY):
    """Returns beliefs in runners that told these loads."""
    view = cluster_views.ClusterView(name="x", data_centre="a", born=0.0)
    service = configurations.Service(
        name="s",
        max_connections=0,
        models=("m",),
        slots=SLOTS,
        cache_tokens=memory,
        cache_address=None,
        data_centre=None,
    )
    view.configuration = configurations.build(
        version=1,
        routes=[ROUTE],
        organisations=None,
        services=[service],
        limits=configurations.ClientLimits(),
    )
    for number, (running, waiting) in enumerate(loads):
        found = view.servers.put(
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
        load = request_types.ServerLoad(
            running=running, waiting=waiting, slots=SLOTS
        )
        found.update_load(load, 1.0)
    view.mean_unshared("m").note(3000)
    return view


def select(view, route=ROUTE):
    """Returns the server that is chosen, or what those there are lack."""
    found = selections.select(
        view=view,
        client_request=ASK,
        route=route,
        organisation=None,
        without=set(),
        now=1.0,
    )
    match found:
        case placements.Choice():
            return found.backend.registration.server
        case placements.NoCapacity(shortage=lacks):
            return lacks


def test_what_a_request_shares_with_others_is_not_its_own():
    assert memory_estimates.unshared_tokens(ASK) == 3050


def test_a_runner_whose_memory_is_taken_gets_no_more():
    """A congestion outlasted its cause by half a minute.

    A quarter of the runners went dark and weights changed. The others had
    slots left and were sent all requests; these pushed the cached parts out,
    so each prompt was read whole, stayed longer, and more piled up.
    """
    view = world((40, 0), (5, 0))
    assert select(view) == "r1"
    view = world((40, 0), (38, 2))
    assert select(view) == {capacity_checks.Shortage.MEMORY: 2}


def test_the_less_urgent_are_refused_first():
    view = world((35, 0))
    assert select(view) == {capacity_checks.Shortage.MEMORY: 1}
    assert select(view, URGENT) == "r0"
    view = world((55, 0))
    assert select(view, URGENT) == {capacity_checks.Shortage.MEMORY: 1}


def test_an_idle_runner_is_never_full():
    """Requests larger than a runner's memory would shut out all others."""
    view = world((0, 0))
    view.mean_unshared("m").tokens = 3.0 * MEMORY
    assert select(view) == "r0"


def test_room_is_back_as_soon_as_a_runner_tells_so():
    view = world((40, 10))
    assert isinstance(select(view), dict)
    runner = view.servers.by_server["r0"]
    runner.update_load(
        request_types.ServerLoad(running=6, waiting=0, slots=SLOTS), 1.1
    )
    assert select(view) == "r0"


def test_without_a_known_memory_nothing_is_refused_for_it():
    view = world((40, 0), memory=None)
    view.mean_unshared("m").tokens = 9000.0
    assert select(view) == "r0"


def test_slots_are_kept_for_the_most_urgent():
    """Short answers took twelve seconds, and most came to nothing.

    Every slot was open to long prompts. They were read between the steps of
    all answers there, which took seven times as long, kept their slots, and
    what was most urgent found none.
    """
    view = world((46, 0), memory=None)
    assert select(view) == {capacity_checks.Shortage.SLOTS: 1}
    assert select(view, URGENT) == "r0"
    view = world((SLOTS, 0), memory=None)
    assert select(view, URGENT) == {capacity_checks.Shortage.SLOTS: 1}


def test_what_would_come_too_late_is_refused_at_once():
    """Look-ups queued behind each other until all of them were late.

    Each was sent although its first event was to be expected seconds past its
    objective; by then its client had left, and what was read was for nothing.
    """
    view = world((2, 0), memory=None)
    runner = view.servers.by_server["r0"]
    runner.unread_tokens, runner.unbegun, runner.read_since = 100_000, 8, 1.0
    assert select(view) == {capacity_checks.Shortage.TIME: 1}
    runner.unread_tokens, runner.unbegun = 10_000, 1
    assert select(view) == "r0"


@pytest.mark.parametrize("urgency", [0, 1])
def test_an_idle_runner_takes_a_prompt_that_can_not_be_in_time(urgency):
    view = world((0, 0))
    hasty = attrs.evolve(ROUTE, urgency=urgency, objective_seconds=0.01)
    assert select(view, hasty) == "r0"
