"""Simulations of servers' limits over 3 to 300 routers, in virtual time."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from benches import quotas
from benches import server_limits

# Least part of a limit that must be used while there are no faults.
LEAST_USED = 0.85


def simulate(case, *, routers=22, seed=1, servers=2, **more):
    world = server_limits.World(
        routers=routers, case=case, seed=seed, servers=servers
    )
    return world.run(**more)


@pytest.mark.parametrize("routers", [3, 22, 68])
@pytest.mark.parametrize("name", ["steady", "fraction", "many"])
def test_a_limit_is_used_and_not_exceeded(name, routers):
    """Guards against a fixed part for each router, too small to be used."""
    case = server_limits.CASES[name]
    result = simulate(case, routers=routers, servers=6, seconds=40.0)
    assert result.worst_ratio <= 1
    assert result.used_share > LEAST_USED


def test_300_routers_share_a_limit_that_is_below_one_request_a_router():
    """Guards against one request of each router at the same time."""
    case = server_limits.CASES["fraction"]
    result = simulate(case, routers=300, servers=6, seconds=20.0)
    assert result.worst_ratio <= 1
    assert result.used_share > LEAST_USED
    assert result.messages < 15


@pytest.mark.parametrize(
    "name",
    [
        "lowered",
        "raised",
        "ends",
        "flaps",
        "halves",
        "alone",
        "one-way",
        "kills",
        "owner-dies",
        "rolling",
        "freezes",
        "joins",
    ],
)
def test_no_fault_and_no_change_exceeds_a_limit(name):
    """Guards against a limit used twice, by two owners or after a restart."""
    assert simulate(server_limits.CASES[name]).worst_ratio <= 1


@settings(max_examples=12, deadline=None)
@given(
    seed=strategies.integers(0, 10**6),
    routers=strategies.sampled_from([3, 9, 22]),
    per_second=strategies.floats(0.1, 12.0),
    changes=strategies.lists(
        strategies.tuples(
            strategies.floats(4.0, 12.0),
            strategies.none() | strategies.floats(0.1, 12.0),
        ),
        max_size=3,
    ),
    share=strategies.floats(0.1, 0.7),
    begins=strategies.floats(4.0, 9.0),
    lasts=strategies.floats(0.3, 9.0),
    alone=strategies.booleans(),
    one_way=strategies.booleans(),
    kills=strategies.lists(strategies.floats(5.0, 12.0), max_size=2),
    freezes=strategies.floats(0.0, 0.6),
    joins=strategies.floats(0.0, 0.6),
)
def test_no_order_of_faults_and_changes_exceeds_a_limit(
    seed,
    routers,
    per_second,
    changes,
    share,
    begins,
    lasts,
    alone,
    one_way,
    kills,
    freezes,
    joins,
):
    """Guards against overruns by any mix of faults and limit changes.

    The faults are network partitions, kills, freezes and joins of routers.
    """
    case = server_limits.Case(
        name="drawn",
        per_second=per_second,
        changes=tuple(sorted(changes, key=lambda each: each[0])),
        faults=quotas.Case(
            name="drawn",
            partition=(share, begins, begins + lasts),
            isolated=alone,
            one_way=one_way,
            kill_all_at=tuple(kills),
        ),
        freezes=(freezes, begins, begins + lasts / 2),
        joins=(joins, begins),
    )
    assert simulate(case, routers=routers, seed=seed).worst_ratio <= 1
