"""Tests of restarted servers and of invalid entries of other writers."""

from hypothesis import given
from hypothesis import strategies
import pytest

from pimentoledge.platform import objects
from pimentoledge.platform import stores
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import counters
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import rollouts
from pimentoledge.routing import server_deaths
from pimentoledge.routing import view_updaters
from pimentoledge.tests import drawn_values

ENTRY = {
    "service": "s",
    "address": "1.2.3.4:5",
    "zone": "a",
    "state": "ready",
    "slots": 8,
    "models": [{"name": "m", "version": 1}],
    "born": 1000,
}
PART = request_types.Part(name="p", tokens=100)


class RouterState:
    """A router's view of servers, with the callbacks that it got."""

    def __init__(self):
        self.view = cluster_views.ClusterView(
            name="x", data_centre="a", started_at=0.0
        )
        self.restarted = []
        self.died = []
        self.lines = log_lines.Lines(counters=counters.Counters())
        self.updater = view_updaters.ViewUpdater(
            view=self.view,
            lines=self.lines,
            on_restart=self.restarted.append,
            on_death=self.died.append,
        )
        self.revision = 0

    def put(self, name="i", **fields):
        self.revision += 1
        self.updater.apply_servers([stored(name, self.revision, **fields)], [])
        return self.view.servers.by_server.get(name)


def stored(name, revision, **fields):
    return registrations.Stored(
        name=name, revision=revision, value={**ENTRY, **fields}
    )


def test_a_server_restarted_under_its_id_has_no_former_state():
    """Guards against prompts sent to a runner for parts lost in a restart.

    A runner crashes and restarts under the same id. The router kept its cached
    parts, load and failures by the id alone.
    """
    router = RouterState()
    before = router.put()
    before.note_parts("1", (PART,), 1000, 0.0)
    before.update_load(
        request_types.ServerLoad(running=7, waiting=9, slots=8), 1.0
    )
    before.note_connection_failure(1.0)
    after = router.put(born=2000)
    assert after is not before
    assert before.ended
    assert not after.ended
    assert after.cached_tokens("1", (PART,)) == 0
    assert after.load is None
    assert after.usable(1.0)
    assert after.failure_rate == 0.0
    assert router.restarted == ["1.2.3.4:5"]
    assert router.died == ["i@1000"]


def test_a_late_entry_of_a_former_incarnation_changes_nothing():
    """Guards against a peer's listing that is older than the restart."""
    router = RouterState()
    router.put(born=1000)
    present = router.put(born=2000)
    assert (
        router.put(born=1000, models=[{"name": "m", "version": 9}]) is present
    )
    assert present.registration.born == 2000
    assert present.registration.weights == {"m": 1}
    assert not present.ended


def test_a_restarted_runner_is_ordered_by_its_own_count_of_orders():
    """Guards against a refused order with a count from before a restart."""
    router = RouterState()
    router.view.set_wanted_version("m", 2, 0.0)
    rollout = rollouts.Rollout(view=router.view)
    rollout.progress_of(router.put()).orders_taken = 5
    after = router.put(born=2000)
    assert rollout.progress_of(after).orders_taken is None


def test_crashes_of_two_incarnations_count_separately():
    router = RouterState()
    suspects = router.view.suspects
    first = router.put().registration.incarnation
    second = router.put(born=2000).registration.incarnation
    assert suspects.record_crash(
        server_deaths.Subject(key="content"), first, 1.0
    )
    assert suspects.record_crash(
        server_deaths.Subject(key="content"), second, 2.0
    )
    assert suspects.is_quarantined("content", 3.0)


def test_a_request_may_go_to_the_next_incarnation_after_a_refusal():
    router = RouterState()
    first = router.put().registration.incarnation
    second = router.put(born=2000).registration.incarnation
    assert first != second


def test_a_report_of_another_incarnation_is_not_applied():
    """Guards against an order count read from a former incarnation."""
    backend = backends.Backend(
        registration=objects.decode_registration(stored("i", 1, born=2000))
    )
    assert not backend.is_other_incarnation(2000)
    assert not backend.is_other_incarnation(None)
    assert backend.is_other_incarnation(1000)
    assert not backend.ended
    assert backend.is_other_incarnation(3000)
    assert backend.ended


def test_without_a_start_time_the_id_is_the_incarnation():
    found = objects.decode_registration(stored("i", 1, born=None))
    assert found.incarnation == "i"


ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | drawn_values.texts(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from([*ENTRY, "name", "version", "metadata"]),
        inner,
        max_size=4,
    ),
    max_leaves=8,
)
INVALID_SPECS = strategies.one_of(
    ANYTHING,
    strategies.tuples(strategies.sampled_from(sorted(ENTRY)), ANYTHING).map(
        lambda pair: {**ENTRY, pair[0]: pair[1]}
    ),
    strategies.sampled_from(sorted(ENTRY)).map(
        lambda name: {key: ENTRY[key] for key in ENTRY if key != name}
    ),
)


@given(spec=INVALID_SPECS)
def test_an_invalid_entry_names_no_server_and_hides_no_other(spec):
    """Guards against one invalid entry that stops a router's server list.

    It decodes to a complete registration or to nothing, and the other entries
    stay in use.
    """
    router = RouterState()
    odd = registrations.Stored(name="odd", revision=1, value=spec)
    router.updater.apply_servers([odd, stored("good", 2)], [])
    known = router.view.servers.by_server
    assert "good" in known
    if "odd" in known:
        found = known["odd"].registration
        assert isinstance(found.service, str)
        assert isinstance(found.data_centre, str)
        assert found.address.rpartition(":")[2].isdigit()
        assert found.slots >= 1
        assert all(type(each) is int for each in found.weights.values())
        assert found.born is None or type(found.born) is int
        assert known["odd"].usable(clocks.now()) or found.leaving


@given(items=strategies.lists(ANYTHING, max_size=4))
def test_a_page_with_unreadable_objects_still_lists_the_others(items):
    good = {"metadata": {"name": "good", "rev": 3}, "spec": ENTRY}
    found, bad = stores.decode_items([*items, good])
    assert found[-1].name == "good"
    assert len(found) + len(bad) == len(items) + 1


def test_an_unknown_state_is_no_state_to_send_requests_in():
    router = RouterState()
    assert router.put(state="hibernating") is None
    assert router.put(name="good") is not None


def test_an_invalid_entry_logs_one_line(monkeypatch):
    """Guards against a second line on the removal of an unknown server."""
    router = RouterState()
    written = []
    monkeypatch.setattr(
        router.lines, "write", lambda message, **fields: written.append(message)
    )
    router.put(state="hibernating")
    assert written == ["unreadable"]


def test_a_server_whose_entry_became_invalid_is_not_used():
    """Guards against use of a server whose entry may say that it leaves."""
    router = RouterState()
    before = router.put()
    assert router.put(state=7) is None
    assert before.ended


@given(body=ANYTHING)
def test_an_invalid_report_is_rejected(body):
    """Guards against a missing field of a report that is read as false."""
    with pytest.raises(ValueError, match="."):
        objects.decode_runner_report(body)


def test_a_report_states_its_incarnation():
    body = {"models": [], "busy": False, "seq": 2, "born": 1000}
    assert objects.decode_runner_report(body).born == 1000
