"""Tests of which servers get new requests, and of backoff and recovery."""

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


def _status(server="a", incarnation="1", **fields):
    return messages.ServerStatus(
        server=server, incarnation=incarnation, **fields
    )


def _fleet():
    return [_server("a"), _server("b", "10.0.0.2")]


def _hold(members, now):
    """Records a refusal at `now`; returns the backoff of server a."""
    members.record_refusal("a", now)
    return members.failure_records["a"].backoff_until - now


def test_only_a_declaration_admits():
    members = membership.Membership(seed=1)
    members.record_report(_status("undeclared"), 0.0)
    members.update_vms([events.ListedVm(address="10.0.0.9")], 0.0)
    assert members.usable([], 0.0) == []
    assert _names(members.usable(_fleet(), 0.0)) == ["a", "b"]
    assert members.usable([_server("a", state=_LEAVING)], 0.0) == []


def test_backoff_of_a_flapping_server_grows():
    """A server that crashes every few seconds would keep failing requests.

    Each crash shows as refused connections and then as a new incarnation.
    Its restarts look like recovery, so only the count of earlier failures
    keeps requests away from it.
    """
    members = membership.Membership(seed=1)
    now = 0.0
    holds = []
    for life in range(7):
        members.record_report(_status(incarnation=f"i{life}"), now)
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


def test_one_trial_at_the_end_of_backoff():
    members = membership.Membership(seed=1)
    now = _hold(members, 0.0)
    assert _names(members.usable(_fleet(), now)) == ["a", "b"]
    members.record_dispatch("a", now)
    assert _names(members.usable(_fleet(), now)) == ["b"]
    members.record_report(_status(), now + 0.1)
    assert _names(members.usable(_fleet(), now + 0.1)) == ["a", "b"]


def test_late_answer_does_not_end_backoff():
    """A late answer must not send more requests to a dead engine.

    An engine dies while its answer is under way. The entry observes a
    refused connection first and receives the answer after it.
    """
    members = membership.Membership(seed=1)
    members.record_report(_status(), 0.0)
    members.record_refusal("a", 1.0)
    members.record_report(_status(), 1.01)
    assert _names(members.usable(_fleet(), 1.02)) == ["b"]


def test_reports_of_a_past_incarnation_change_nothing():
    """A late report of a past incarnation must not count as a restart.

    It arrives after the report of a newer incarnation, and would restore
    hints about a cache that no longer exists.
    """
    members = membership.Membership(seed=1)
    orders = [
        members.record_report(_status(incarnation=each), 0.0) for each in "1121"
    ]
    assert orders == [
        membership.ReportOrder.CURRENT,
        membership.ReportOrder.CURRENT,
        membership.ReportOrder.RESTARTED,
        membership.ReportOrder.PAST,
    ]
    assert members.incarnation("a") == "2"


def test_timeouts_leave_a_model_its_servers():
    """Backoff of all servers after timeouts would make a model unavailable.

    On a slow network every request of a model times out, which does not show
    that its engines are dead.
    """
    members = membership.Membership(seed=1)
    for name in "ab":
        members.record_timeout(name, 0.0)
    assert _names(members.usable(_fleet(), 0.1)) == ["a", "b"]
    members.record_refusal("a", 0.1)
    assert _names(members.usable(_fleet(), 0.2)) == ["b"]


def test_all_refused_leaves_a_trial_each_half_second():
    """A long backoff of all servers would delay a model's recovery.

    All engines of a model crash repeatedly until each has a backoff of half a
    minute. One trial request is sent every half second, so that the model is
    available soon after an engine is.
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


def test_agents_report_of_leaving_excludes_its_server():
    """A leaving server must get no requests while the store is down.

    The entry's cached declaration still admits the server, but its agent
    refuses and reports that it is leaving. Neither a late report sent before
    that nor the passing of time may readmit the server.
    """
    members = membership.Membership(seed=1)
    members.record_report(_status(leaving=True), 0.0)
    members.record_report(_status(), 0.5)
    for now in (0.5, 3.0, 600.0):
        assert _names(members.usable(_fleet(), now)) == ["b"]
    assert members.usable([_server("a")], 600.0) == []
    assert members.next_wake() == 1.0
    assert members.due_probes(600.0) == ["a"]
    assert members.due_probes(600.5) == []
    assert members.next_wake() == 601.0
    members.record_report(_status(), 600.5)
    assert _names(members.usable(_fleet(), 600.5)) == ["a", "b"]


def test_loading_server_is_usable_after_its_report():
    members = membership.Membership(seed=1)
    members.record_report(_status(loading=True), 0.0)
    assert _names(members.usable(_fleet(), 0.1)) == ["b"]
    members.record_report(_status(weights="w2"), 0.5)
    assert _names(members.usable(_fleet(), 0.5)) == ["a", "b"]


def test_list_of_vms_only_removes_or_delays():
    """An empty list of VMs must not exclude all servers of all models.

    Leaving VMs get no new requests. Missing VMs are excluded only while
    another server is left, as the platform's list lags and may be empty.
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
        members.record_report(_status(name, str(number)), 1.0)
        address = f"10.0.1.{number}"
        members.update_vms([events.ListedVm(address=address)], 2.0)
    assert len(members.failure_records) <= 10
    assert len(members.incarnations) <= 10
    assert len(members.missing_vms) <= 10
