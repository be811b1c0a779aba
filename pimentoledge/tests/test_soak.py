"""Short runs of the soak with fixed plans."""

import pytest

from pimentoledge.tests.soak import plans
from pimentoledge.tests.soak import runs

SERVERS = (*plans.ROUTER_KINDS, *plans.SERVER_KINDS, *plans.CHANGE_KINDS)
STORE = (*plans.ROUTER_KINDS, *plans.STORE_KINDS, *plans.CHANGE_KINDS)
NOTICES = (*plans.ANSWER_KINDS, *plans.BACKOFF_KINDS)
LIMITS = (
    *plans.ROUTER_KINDS,
    *plans.LIMIT_KINDS,
    *plans.LIMIT_KINDS,
    *plans.JOIN_KINDS,
    "version",
)
RESTORES = (
    *plans.RESTORE_KINDS,
    *plans.RESTORE_KINDS,
    *plans.ROUTER_KINDS,
    *plans.CHANGE_KINDS,
    "server_leaves",
    "server_crashes",
    "watches_cut",
)
CRASHES = (
    *plans.CRASH_KINDS,
    *plans.CRASH_KINDS,
    *plans.HERD_KINDS,
    "term",
    "kill",
    *plans.JOIN_KINDS,
    "store_silent",
    "store_refuses",
    "server_crashes",
)
PARTS = (
    *plans.PART_CRASH_KINDS,
    *plans.PART_CRASH_KINDS,
    *plans.HERD_KINDS,
    "term",
    "kill",
    *plans.JOIN_KINDS,
    "store_silent",
    "store_refuses",
    "server_crashes",
)
LOADS = (
    *plans.SLOWDOWN_KINDS,
    *plans.SLOWDOWN_KINDS,
    *plans.FLOOD_KINDS,
    *plans.ROUTER_KINDS,
    *plans.SHED_KINDS,
    "server_crashes",
)
CUTS = (
    *plans.CLIENT_KINDS,
    *plans.CLIENT_KINDS,
    *plans.ENTRY_KINDS,
    "term",
    "server_slow",
    *plans.SHED_KINDS,
)
REPETITIONS = plans.REPETITION_KINDS
HOLDERS = ("holder_refused", "holder_refused", *plans.HOLDER_KINDS)
WEIGHTS = (*plans.ORDER_KINDS, "version", "versions", "stop")


@pytest.mark.parametrize(
    ("seed", "seconds", "kinds"),
    [
        pytest.param(32, 7.0, SERVERS, id="servers"),
        pytest.param(32, 7.0, STORE, id="store"),
        pytest.param(7, 10.0, NOTICES, id="notices"),
        pytest.param(5, 8.0, LOADS, id="loads"),
        pytest.param(1, 20.0, WEIGHTS, id="weights"),
        pytest.param(14, 25.0, HOLDERS, id="holders"),
        pytest.param(8, 6.0, LIMITS, id="limits"),
        pytest.param(2, 8.0, REPETITIONS, id="repetitions"),
        pytest.param(971, 16.0, CUTS, id="cuts"),
        pytest.param(3, 12.0, RESTORES, id="restores"),
        pytest.param(11, 18.0, CRASHES, id="crashes"),
        pytest.param(11, 18.0, PARTS, id="parts"),
    ],
)
def test_soak_run_violates_no_invariant(seed, seconds, kinds):
    run = runs.Run(seed=seed, seconds=seconds, kinds=kinds)
    assert not run.execute(), "\n".join([run.summary(), *run.related_lines()])
