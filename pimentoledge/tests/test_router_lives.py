"""Servers that start again under their id, and entries of other writers."""

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
from pimentoledge.routing import view_updaters

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


class Taken:
    """A router's beliefs of servers, with what it was told to do."""

    def __init__(self):
        self.view = cluster_views.ClusterView(
            name="x", data_centre="a", born=0.0
        )
        self.restarted = []
        self.died = []
        self.lines = log_lines.Lines(counters=counters.Counters())
        self.takers = view_updaters.ViewUpdater(
            view=self.view,
            lines=self.lines,
            on_restart=self.restarted.append,
            on_death=self.died.append,
        )
        self.revision = 0

    def take(self, name="i", **fields):
        self.revision += 1
        self.takers.apply_servers([stored(name, self.revision, **fields)], [])
        return self.view.servers.by_server.get(name)


def stored(name, revision, **fields):
    return registrations.Stored(
        name=name, revision=revision, value={**ENTRY, **fields}
    )


def test_a_server_that_starts_again_under_its_id_holds_nothing_of_before():
    """Prompts went to a runner for parts that it had lost in a restart.

    A runner crashed and was back under the id that it had. The router kept
    its table of cached parts, its load and its failures by the id alone.
    """
    taken = Taken()
    before = taken.take()
    before.note_parts("1", (PART,), 1000, 0.0)
    before.update_load(
        request_types.ServerLoad(running=7, waiting=9, slots=8), 1.0
    )
    before.failed(1.0)
    after = taken.take(born=2000)
    assert after is not before
    assert before.over
    assert not after.over
    assert after.cached_tokens("1", (PART,)) == 0
    assert after.load is None
    assert after.usable(1.0)
    assert after.trouble == 0.0
    assert taken.restarted == ["1.2.3.4:5"]
    assert taken.died == ["i@1000"]


def test_a_former_lifes_late_word_changes_nothing():
    """A copy of the list from another router may be older than the restart."""
    taken = Taken()
    taken.take(born=1000)
    present = taken.take(born=2000)
    assert (
        taken.take(born=1000, models=[{"name": "m", "version": 9}]) is present
    )
    assert present.registration.born == 2000
    assert present.registration.weights == {"m": 1}
    assert not present.over


def test_a_restarted_runner_is_ordered_by_its_own_count_of_orders():
    """An order named a count that a restart had cleared, and was refused."""
    taken = Taken()
    taken.view.want("m", 2, 0.0)
    rollout = rollouts.Rollout(view=taken.view)
    rollout.of(taken.take()).orders_taken = 5
    after = taken.take(born=2000)
    assert rollout.of(after).orders_taken is None


def test_a_crash_proven_of_one_life_is_not_the_next_ones():
    taken = Taken()
    suspects = taken.view.suspects
    first = taken.take().registration.incarnation
    second = taken.take(born=2000).registration.incarnation
    assert suspects.record_crash("content", first, 1.0)
    assert suspects.record_crash("content", second, 2.0)
    assert suspects.is_quarantined("content", 3.0)


def test_a_request_may_go_to_the_next_life_of_a_server_that_refused_it():
    taken = Taken()
    first = taken.take().registration.incarnation
    second = taken.take(born=2000).registration.incarnation
    assert first != second


def test_a_report_of_another_life_is_not_taken_for_this_one():
    """A count of orders that was read from the former life is not used."""
    life = backends.Backend(
        registration=objects.registration(stored("i", 1, born=2000))
    )
    assert not life.is_other_incarnation(2000)
    assert not life.is_other_incarnation(None)
    assert life.is_other_incarnation(1000)
    assert not life.over
    assert life.is_other_incarnation(3000)
    assert life.over


def test_without_a_time_of_birth_the_id_is_the_life():
    found = objects.registration(stored("i", 1, born=None))
    assert found.incarnation == "i"


ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from([*ENTRY, "name", "version", "metadata"]),
        inner,
        max_size=4,
    ),
    max_leaves=8,
)
SPOILT = strategies.one_of(
    ANYTHING,
    strategies.tuples(strategies.sampled_from(sorted(ENTRY)), ANYTHING).map(
        lambda pair: {**ENTRY, pair[0]: pair[1]}
    ),
    strategies.sampled_from(sorted(ENTRY)).map(
        lambda name: {key: ENTRY[key] for key in ENTRY if key != name}
    ),
)


@given(spec=SPOILT)
def test_a_spoilt_entry_names_no_server_and_hides_no_other(spec):
    """One entry of another writer stopped a router's list of servers.

    What can be read of it is a whole registration or nothing; the entries
    beside it hold; it costs one line.
    """
    taken = Taken()
    odd = registrations.Stored(name="odd", revision=1, value=spec)
    taken.takers.apply_servers([odd, stored("good", 2)], [])
    known = taken.view.servers.by_server
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
    found, bad = stores.readable([*items, good])
    assert found[-1].name == "good"
    assert len(found) + len(bad) == len(items) + 1


def test_an_unknown_state_is_no_state_to_send_requests_in():
    taken = Taken()
    assert taken.take(state="hibernating") is None
    assert taken.take(name="good") is not None


def test_a_spoilt_entry_costs_one_line(monkeypatch):
    """A second line told that a server was gone that had never been there."""
    taken = Taken()
    written = []
    monkeypatch.setattr(
        taken.lines, "write", lambda message, **fields: written.append(message)
    )
    taken.take(state="hibernating")
    assert written == ["unreadable"]


def test_an_entry_that_was_spoilt_later_is_used_no_more():
    """For all that it says, the server may be leaving."""
    taken = Taken()
    before = taken.take()
    assert taken.take(state=7) is None
    assert before.over


@given(body=ANYTHING)
def test_a_spoilt_report_is_no_report(body):
    """What it doesn't say is not taken for a no."""
    with pytest.raises(ValueError, match="."):
        objects.reported(body)


def test_a_report_tells_of_which_life_it_is():
    body = {"models": [], "busy": False, "seq": 2, "born": 1000}
    assert objects.reported(body).born == 1000
