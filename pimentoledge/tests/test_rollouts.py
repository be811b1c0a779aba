"""Which runner is told to load which weights, and when."""

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
    view = cluster_views.ClusterView(name="x", data_centre="a", born=0.0)
    for number in range(count):
        view.servers.put(registration(number, place="abc"[number % 3]))
    view.want(MODEL, version, 0.0)
    return view, rollouts.Rollout(view=view)


def tell(rollout, due, verdict, now):
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
    tell(rollout, due, rollouts.OrderVerdict.TAKEN, 1.0)
    assert not rollout.due(1.1)


def test_the_next_is_told_as_soon_as_one_has_the_weights():
    view, rollout = world(9)
    due = rollout.due(1.0)
    tell(rollout, due, rollouts.OrderVerdict.TAKEN, 1.0)
    done = int(due[0].backend.registration.incarnation[1:])
    view.servers.put(registration(done, version=2, place="abc"[done % 3]))
    assert len(rollout.due(1.5)) == 1


def test_a_load_that_is_not_seen_to_end_is_asked_for_again():
    """A runner that restarted in mid-load must not hold up the rollout."""
    _, rollout = world(9)
    tell(rollout, rollout.due(1.0), rollouts.OrderVerdict.TAKEN, 1.0)
    later = 1.0 + rollouts.LOAD_SECONDS + 0.1
    assert len(rollout.due(later)) == 3


def test_weights_that_were_superseded_are_not_loaded():
    view, rollout = world(2)
    view.want(MODEL, 5, 0.5)
    assert {each.version for each in rollout.due(1.0)} == {5}


def test_runners_that_leave_or_are_over_are_left_alone():
    view, rollout = world(3)
    view.servers.put(registration(0, leaving=True))
    view.servers.by_incarnation["r1"].over = True
    told = {each.backend.registration.incarnation for each in rollout.due(1.0)}
    assert told == {"r2"}


def test_an_order_without_an_answer_makes_the_count_unknown():
    """The runner may have taken it, or may carry it out seconds later."""
    _, rollout = world(1)
    due = rollout.due(1.0)
    tell(rollout, due, rollouts.OrderVerdict.UNKNOWN, 1.0)
    assert rollout.progress_of(due[0].backend).orders_taken is None
    assert not rollout.due(1.1)
    assert rollout.due(1.0 + rollouts.RETRY_SECONDS)


def test_runners_that_are_down_count_as_loading():
    """Half of the streams begun in a rollout came late.

    A third of the runners crashed; the holder told a share of all runners,
    the dead included, to load new weights. A third was left for all requests.
    """
    view, rollout = world(9)
    for number in (1, 2, 3):
        view.servers.by_incarnation[f"r{number}"].failed(1.0)
    due = rollout.due(1.1)
    assert len(due) == 1
    assert due[0].backend.registration.incarnation not in ("r1", "r2", "r3")
    tell(rollout, due, rollouts.OrderVerdict.TAKEN, 1.1)
    assert not rollout.due(1.2)
    assert len(rollout.due(1.0 + backends.MOST_FAILED_SECONDS)) == 3


def test_a_runner_known_to_be_over_is_not_among_those_a_share_is_of():
    view, rollout = world(9)
    for number in range(5):
        view.servers.by_incarnation[f"r{number}"].over = True
    assert len(rollout.due(1.0)) == 1
