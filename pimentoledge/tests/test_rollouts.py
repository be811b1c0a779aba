"""Tests of rollouts: which runner loads which weights, and when."""

from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views
from pimentoledge.routing import registrations
from pimentoledge.routing import rollouts

MODEL = "m"


def registration(number, version=1, place="a", leaving=False):
    return registrations.Registration(
        server=f"r{number}",
        service="runners",
        address=f"10.0.0.{number}:80",
        data_centre=place,
        slots=8,
        leaving=leaving,
        weights={MODEL: version},
    )


def world(count, version=2):
    view = cluster_views.ClusterView(name="x", data_centre="a", started_at=0.0)
    for number in range(count):
        view.servers.put(registration(number, place="abc"[number % 3]))
    view.set_wanted_version(MODEL, version, 0.0)
    return view, rollouts.Rollout(view=view)


def record_verdicts(rollout, due, verdict, now):
    for each in due:
        progress = rollout.progress_of(each.backend)
        progress.calling = True
        progress.orders_taken = progress.orders_taken or 0
        rollout.note_verdict(each, verdict, now)


def test_a_part_of_the_runners_loads_at_once_from_all_data_centres():
    _, rollout = world(9)
    due = rollout.due(1.0)
    assert len(due) == 3
    places = {each.backend.registration.data_centre for each in due}
    assert places == {"a", "b", "c"}
    record_verdicts(rollout, due, rollouts.OrderVerdict.TAKEN, 1.0)
    assert not rollout.due(1.1)


def test_the_next_gets_an_order_as_soon_as_one_has_the_weights():
    view, rollout = world(9)
    due = rollout.due(1.0)
    record_verdicts(rollout, due, rollouts.OrderVerdict.TAKEN, 1.0)
    done = int(due[0].backend.registration.incarnation[1:])
    view.servers.put(registration(done, version=2, place="abc"[done % 3]))
    assert len(rollout.due(1.5)) == 1


def test_a_load_without_a_reported_end_is_ordered_again():
    """Guards against a rollout blocked by a runner that restarts mid-load."""
    _, rollout = world(9)
    record_verdicts(rollout, rollout.due(1.0), rollouts.OrderVerdict.TAKEN, 1.0)
    later = 1.0 + rollouts.LOAD_SECONDS + 0.1
    assert len(rollout.due(later)) == 3


def test_weights_that_were_superseded_are_not_loaded():
    view, rollout = world(2)
    view.set_wanted_version(MODEL, 5, 0.5)
    assert {each.version for each in rollout.due(1.0)} == {5}


def test_runners_that_are_draining_or_gone_get_no_order():
    view, rollout = world(3)
    view.servers.put(registration(0, leaving=True))
    view.servers.by_incarnation["r1"].ended = True
    ordered = {
        each.backend.registration.incarnation for each in rollout.due(1.0)
    }
    assert ordered == {"r2"}


def test_an_order_without_an_answer_makes_the_count_unknown():
    """Guards against an outdated count of orders.

    The runner may have taken the order, or may execute it seconds later.
    """
    _, rollout = world(1)
    due = rollout.due(1.0)
    record_verdicts(rollout, due, rollouts.OrderVerdict.UNKNOWN, 1.0)
    assert rollout.progress_of(due[0].backend).orders_taken is None
    assert not rollout.due(1.1)
    assert rollout.due(1.0 + rollouts.RETRY_SECONDS)


def test_runners_that_are_down_count_as_loading():
    """Guards against late streams when runners crash during a rollout.

    With a third of the runners down, a share of all runners, the crashed ones
    included, loaded new weights. The last third served all requests, and half
    of the new streams were late.
    """
    view, rollout = world(9)
    for number in (1, 2, 3):
        view.servers.by_incarnation[f"r{number}"].note_connection_failure(1.0)
    due = rollout.due(1.1)
    assert len(due) == 1
    assert due[0].backend.registration.incarnation not in ("r1", "r2", "r3")
    record_verdicts(rollout, due, rollouts.OrderVerdict.TAKEN, 1.1)
    assert not rollout.due(1.2)
    assert len(rollout.due(1.0 + backends.MAX_FAILURE_BACKOFF_SECONDS)) == 3


def test_a_runner_that_is_gone_does_not_count_for_the_share():
    view, rollout = world(9)
    for number in range(5):
        view.servers.by_incarnation[f"r{number}"].ended = True
    assert len(rollout.due(1.0)) == 1
