"""Tests of overload: shortages of runners and which requests are refused."""

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


CLIENT_REQUEST = request_types.ClientRequest(
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
    """Returns a view of runners that reported these loads."""
    view = cluster_views.ClusterView(name="x", data_centre="a", started_at=0.0)
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
    """Returns the chosen server, or the shortages if there is none."""
    found = selections.select(
        view=view,
        client_request=CLIENT_REQUEST,
        route=route,
        organisation=None,
        without=set(),
        now=1.0,
    )
    match found:
        case placements.Choice():
            return found.backend.registration.server
        case placements.NoCapacity(shortage=shortages):
            return shortages


def test_shared_tokens_do_not_count_as_memory_of_a_request():
    assert memory_estimates.unshared_tokens(CLIENT_REQUEST) == 3050


def test_a_runner_with_full_memory_gets_no_requests():
    """Guards against congestion that outlasts its cause by half a minute.

    If a quarter of the runners fail during a change of weights, the others
    still have slots. Sending them all requests evicts their cached parts, so
    each prompt is prefilled in full, takes longer, and requests pile up.
    """
    view = world((40, 0), (5, 0))
    assert select(view) == "r1"
    view = world((40, 0), (38, 2))
    assert select(view) == {capacity_checks.Shortage.MEMORY: 2}


def test_less_urgent_requests_are_refused_first():
    view = world((35, 0))
    assert select(view) == {capacity_checks.Shortage.MEMORY: 1}
    assert select(view, URGENT) == "r0"
    view = world((55, 0))
    assert select(view, URGENT) == {capacity_checks.Shortage.MEMORY: 1}


def test_an_idle_runner_is_never_full():
    """Guards against refusing all requests if their mean exceeds the memory."""
    view = world((0, 0))
    view.mean_unshared("m").tokens = 3.0 * MEMORY
    assert select(view) == "r0"


def test_capacity_is_back_as_soon_as_a_runner_reports_it():
    view = world((40, 10))
    assert isinstance(select(view), dict)
    runner = view.servers.by_server["r0"]
    runner.update_load(
        request_types.ServerLoad(running=6, waiting=0, slots=SLOTS), 1.1
    )
    assert select(view) == "r0"


def test_unknown_memory_size_refuses_nothing():
    view = world((40, 0), memory=None)
    view.mean_unshared("m").tokens = 9000.0
    assert select(view) == "r0"


def test_slots_are_reserved_for_the_most_urgent_requests():
    """Guards against short responses that take twelve seconds or fail.

    With every slot open to long prompts, their prefill runs between the decode
    steps of all responses of the runner. These take seven times as long and
    occupy their slots, so the most urgent requests find none.
    """
    view = world((46, 0), memory=None)
    assert select(view) == {capacity_checks.Shortage.SLOTS: 1}
    assert select(view, URGENT) == "r0"
    view = world((SLOTS, 0), memory=None)
    assert select(view, URGENT) == {capacity_checks.Shortage.SLOTS: 1}


def test_requests_that_would_be_too_late_are_refused_at_once():
    """Guards against requests that queue until all of them are late.

    If requests are sent although their first event is expected seconds past its
    objective, their clients have left by then and the prefill is wasted.
    """
    view = world((2, 0), memory=None)
    runner = view.servers.by_server["r0"]
    runner.unread_tokens, runner.unbegun, runner.read_since = 100_000, 8, 1.0
    assert select(view) == {capacity_checks.Shortage.TIME: 1}
    runner.unread_tokens, runner.unbegun = 10_000, 1
    assert select(view) == "r0"


@pytest.mark.parametrize("urgency", [0, 1])
def test_an_idle_runner_accepts_a_prompt_that_cannot_be_in_time(urgency):
    view = world((0, 0))
    hasty = attrs.evolve(ROUTE, urgency=urgency, objective_seconds=0.01)
    assert select(view, hasty) == "r0"
