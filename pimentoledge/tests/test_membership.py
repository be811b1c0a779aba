"""Which servers an entry gives new work to, and when it takes them back."""

from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import membership
from pimentoledge.nodes import messages

_LEAVING = declarations.ServerState.LEAVING


def _server(name, host="10.0.0.1", state=declarations.ServerState.IN):
    return declarations.BackendServer(
        name=name, serves="m", agent=f"tcp://{host}:7000", state=state
    )


def _names(found):
    return [each.name for each in found]


def _truth(server="a", incarnation="1", **fields):
    return messages.Truth(server=server, incarnation=incarnation, **fields)


def _fleet():
    return [_server("a"), _server("b", "10.0.0.2")]


def _hold(members, now):
    """Refuses at `now` and returns how long server a is held back."""
    members.record_refusal("a", now)
    return members.failure_records["a"].backoff_until - now


def test_only_a_declaration_admits():
    members = membership.Membership(seed=1)
    members.record_report(_truth("undeclared"), 0.0)
    members.update_vms([events.ListedVm(address="10.0.0.9")], 0.0)
    assert members.usable([], 0.0) == []
    assert _names(members.usable(_fleet(), 0.0)) == ["a", "b"]
    assert members.usable([_server("a", state=_LEAVING)], 0.0) == []


def test_flapping_server_is_held_back_longer_each_time():
    """A server that crashes every few seconds takes requests down with it.

    Each crash shows as refused connections and then as a new incarnation.
    Its restarts look like recovery, so only the memory of earlier failures
    keeps requests away from it.
    """
    members = membership.Membership(seed=1)
    now = 0.0
    holds = []
    for life in range(7):
        members.record_report(_truth(incarnation=f"i{life}"), now)
        holds.append(_hold(members, now))
        assert _names(members.usable(_fleet(), now)) == ["b"]
        now += holds[-1]
        assert _names(members.usable(_fleet(), now)) == ["a", "b"]
    assert holds == sorted(set(holds))
    now += 20 * members.timing.forget
    assert _hold(members, now) < holds[1]


def test_many_failures_of_one_crash_count_once():
    members = membership.Membership(seed=1)
    for _ in range(50):
        members.record_refusal("a", 1.0)
    assert members.failure_records["a"].failures == 1


def test_one_trial_at_the_end_of_hold_back():
    members = membership.Membership(seed=1)
    now = _hold(members, 0.0)
    assert _names(members.usable(_fleet(), now)) == ["a", "b"]
    members.record_dispatch("a", now)
    assert _names(members.usable(_fleet(), now)) == ["b"]
    members.record_report(_truth(), now + 0.1)
    assert _names(members.usable(_fleet(), now + 0.1)) == ["a", "b"]


def test_late_answer_does_not_end_hold_back():
    """An engine dies while an answer that it gave is still on its way.

    The entry sees a refused connection first and the answer after it. Taken
    as a sign of life, the answer would send more requests to a dead engine.
    """
    members = membership.Membership(seed=1)
    members.record_report(_truth(), 0.0)
    members.record_refusal("a", 1.0)
    members.record_report(_truth(), 1.01)
    assert _names(members.usable(_fleet(), 1.02)) == ["b"]


def test_truths_of_a_past_life_change_nothing():
    """Two answers cross: the older names the engine's life before a crash.

    Taken at its word, the older one would look like one more restart, and
    bring back hints about a cache that is gone.
    """
    members = membership.Membership(seed=1)
    heard = [
        members.record_report(_truth(incarnation=each), 0.0) for each in "1121"
    ]
    assert heard == [
        membership.ReportOrder.CURRENT,
        membership.ReportOrder.CURRENT,
        membership.ReportOrder.RESTARTED,
        membership.ReportOrder.PAST,
    ]
    assert members.incarnation("a") == "2"


def test_timeouts_leave_a_model_its_servers():
    """A slow network lets every request of a model time out.

    Timeouts don't show that an engine is dead. Holding back all servers on
    such evidence would turn a slow model into one that is not there.
    """
    members = membership.Membership(seed=1)
    for name in "ab":
        members.record_timeout(name, 0.0)
    assert _names(members.usable(_fleet(), 0.1)) == ["a", "b"]
    members.record_refusal("a", 0.1)
    assert _names(members.usable(_fleet(), 0.2)) == ["b"]


def test_all_refused_leaves_a_trial_each_half_second():
    """All engines of a model crash again and again, then one comes back.

    By then each is held back for half a minute. One request is let through
    every half second, so that the model is back soon after the engine.
    """
    members = membership.Membership(seed=1)
    now = 0.0
    for _ in range(8):
        now += 40.0
        members.record_refusal("a", now)
        members.record_refusal("b", now)
    assert members.usable(_fleet(), now + 0.1) == []
    now += 0.5
    first = _names(members.usable(_fleet(), now))
    members.record_dispatch(first[0], now)
    second = _names(members.usable(_fleet(), now))
    assert sorted(first + second) == ["a", "b"]
    members.record_refusal(first[0], now)
    assert _names(members.usable(_fleet(), now)) == second


def test_agents_word_keeps_new_work_away_with_the_store_down():
    """A server leaves while the entry can't learn of the declaration.

    The store is down, so the entry still holds it as declared in; the agent
    refuses and says that it is leaving. An answer sent before that comes
    late and must not bring the work back; nor does time alone.
    """
    members = membership.Membership(seed=1)
    members.record_report(_truth(leaving=True), 0.0)
    members.record_report(_truth(), 0.5)
    for now in (0.5, 3.0, 600.0):
        assert _names(members.usable(_fleet(), now)) == ["b"]
    assert members.usable([_server("a")], 600.0) == []
    assert members.next_wake() == 1.0
    assert members.due_probes(600.0) == ["a"]
    assert members.due_probes(600.5) == []
    assert members.next_wake() == 601.0
    members.record_report(_truth(), 600.5)
    assert _names(members.usable(_fleet(), 600.5)) == ["a", "b"]


def test_loading_server_is_back_at_its_word():
    members = membership.Membership(seed=1)
    members.record_report(_truth(loading=True), 0.0)
    assert _names(members.usable(_fleet(), 0.1)) == ["b"]
    members.record_report(_truth(weights="w2"), 0.5)
    assert _names(members.usable(_fleet(), 0.5)) == ["a", "b"]


def test_list_of_vms_only_removes_or_delays():
    """The platform's list lags, and once it comes back empty.

    Leaving VMs lose their work. VMs that are missing lose it only while
    another server is left, or an empty list would take all models away.
    """
    members = membership.Membership(seed=1)
    both = [
        events.ListedVm(address="10.0.0.1", leaving=True),
        events.ListedVm(address="10.0.0.2"),
    ]
    members.update_vms(both, 0.0)
    assert _names(members.usable(_fleet(), 0.0)) == ["b"]
    members.update_vms(both[1:], 1.0)
    assert _names(members.usable(_fleet(), 1.0)) == ["b"]
    members.update_vms([], 2.0)
    assert _names(members.usable(_fleet(), 2.0)) == ["a", "b"]


def test_memory_is_bounded():
    timing = membership.BackoffTiming(max_servers=10)
    members = membership.Membership(seed=1, timing=timing)
    for number in range(100):
        name = f"s{number}"
        members.record_refusal(name, 0.0)
        members.record_report(_truth(name, str(number)), 1.0)
        address = f"10.0.1.{number}"
        members.update_vms([events.ListedVm(address=address)], 2.0)
    assert len(members.failure_records) <= 10
    assert len(members.incarnations) <= 10
    assert len(members.missing_vms) <= 10
