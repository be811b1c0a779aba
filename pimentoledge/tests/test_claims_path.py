"""Non-repeatable calls through real entries and agents under faults.

The runs counted by the fake service are compared with the replies.
"""

import pytest

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.tests import claims_path


def lost_claim_answer(cluster):
    """The store writes the claim and its answer is lost."""
    cluster.post("e", "r1")
    cluster.run_until(stores.Write)
    cluster.objects.lose_answers = 1


def lost_claim(cluster):
    """The claim is lost on its way to the store."""
    cluster.post("e", "r1")
    cluster.run_until(stores.Write)
    cluster.objects.lose_requests = 1


def lost_outcome_answer(cluster):
    """The store writes the outcome and its answer is lost."""
    cluster.post("e", "r1")
    cluster.run_until(messages.ServiceAnswer)
    cluster.objects.lose_answers = 1


def store_down_before(cluster):
    """The store is down when the call arrives, and recovers."""
    cluster.objects.down = True
    cluster.post("e", "r1")
    cluster.settle(5.0)
    cluster.objects.down = False


def store_down_during(cluster):
    """The store is down between the claim and its outcome."""
    cluster.post("e", "r1")
    cluster.run_until(actions.RunCall)
    cluster.objects.down = True
    cluster.settle(30.0)
    cluster.objects.down = False


def store_down_after(cluster):
    """The store goes down after the outcome and stays down."""
    cluster.post("e", "r1")
    cluster.settle(5.0)
    cluster.objects.down = True


def entry_killed_before_the_claim(cluster):
    """The entry crashes after it sent the dispatch."""
    cluster.post("e", "r1")
    cluster.run_until(messages.Dispatch)
    cluster.kill("e")


def entry_killed_after_the_claim(cluster):
    """The entry crashes right before its call runs."""
    cluster.post("e", "r1")
    cluster.run_until(actions.RunCall)
    cluster.kill("e")


def agent_killed_before_the_claim_lands(cluster):
    """The agent crashes while its claim is in flight; the write lands."""
    cluster.post("e", "r1")
    cluster.run_until(stores.Write)
    cluster.kill(cluster.owner())


def agent_killed_before_the_run(cluster):
    """The agent crashes after the claim is durable, before the call starts."""
    cluster.post("e", "r1")
    cluster.run_until(actions.RunCall)
    cluster.kill(cluster.owner())


def agent_killed_after_the_run(cluster):
    """The agent crashes after the service ran the call."""
    cluster.post("e", "r1")
    cluster.run_until(claims_path.Event)
    cluster.kill(cluster.owner())


def both_killed(cluster):
    """Entry and agent crash together while the call runs."""
    cluster.post("e", "r1")
    cluster.run_until(claims_path.Event)
    cluster.kill("e")
    cluster.kill(cluster.owner())


def killed_and_restarted_twice(cluster):
    """The agent restarts without its state, twice."""
    for number in (1, 2):
        cluster.post("e", f"r{number}")
        cluster.run_until(actions.RunCall if number == 1 else messages.Dispatch)
        owner = cluster.owner()
        cluster.kill(owner)
        cluster.settle(1.0)
        cluster.start_agent(owner)


def holder_paused_past_its_deadline(cluster):
    """The agent is paused with its claim in flight, past the deadline."""
    cluster.post("e", "r1")
    cluster.run_until(stores.Write)
    cluster.step()
    owner = cluster.owner()
    cluster.paused.add(claims_path.address(owner))
    cluster.settle(15.0)
    cluster.post("f", "r2")
    cluster.settle(15.0)
    cluster.resume(owner)


def holder_paused_before_it_calls(cluster):
    """The agent is paused before the call; its server is set to leaving."""
    cluster.post("e", "r1")
    cluster.run_until(actions.RunCall)
    owner = cluster.owner()
    cluster.paused.add(claims_path.address(owner))
    cluster.declare_server(owner, declarations.ServerState.LEAVING)
    cluster.post("f", "r2")
    cluster.settle(1.0)
    cluster.resume(owner)


def both_entries_at_once(cluster):
    """Two entries receive the same call at the same time."""
    cluster.post("e", "r1")
    cluster.post("f", "r2")


def both_agents_at_once(cluster):
    """Two entries choose different owners, and both agents claim."""
    cluster.post("e", "r1")
    first = cluster.owner()
    cluster.declare_server(first, declarations.ServerState.LEAVING)
    cluster.post("f", "r2")
    cluster.declare_server(first)


def service_refuses_the_connection(cluster):
    """The owner's service refuses connections for a moment."""
    cluster.service.down = True
    cluster.post("e", "r1")
    cluster.run_until(claims_path.Event)
    cluster.service.down = False


def service_answer_lost(cluster):
    """The service runs the call, and its answer to the agent is lost."""
    cluster.service.lose_answers = 1
    cluster.post("e", "r1")


def an_hour_without_store_and_all_entries_restarted(cluster):
    """The store goes down during the run, and all entries restart.

    For an hour only the agent has the answer. A retry gets it, a call with
    another key is refused as not run, and the outcome is durable in the end.
    """
    cluster.post("e", "r1")
    cluster.run_until(actions.RunCall)
    cluster.objects.down = True
    cluster.settle(1.0)
    for name in ("e", "f"):
        cluster.kill(name)
        cluster.start_entry(name)
    cluster.settle(3600.0)
    cluster.post("f", "r2")
    cluster.post("e", "new", key="new")
    cluster.settle(5.0)
    assert outcome(cluster, "r2") == b"run 1 of card"
    assert outcome(cluster, "new") == results.Ran.NOT_RUN
    assert cluster.service.runs_by_key["new"] == 0
    cluster.objects.down = False
    cluster.settle(5.0)
    cluster.kill(cluster.owner())


FAULTS = [
    lost_claim_answer,
    lost_claim,
    lost_outcome_answer,
    store_down_before,
    store_down_during,
    store_down_after,
    entry_killed_before_the_claim,
    entry_killed_after_the_claim,
    agent_killed_before_the_claim_lands,
    agent_killed_before_the_run,
    agent_killed_after_the_run,
    both_killed,
    killed_and_restarted_twice,
    holder_paused_past_its_deadline,
    holder_paused_before_it_calls,
    both_entries_at_once,
    both_agents_at_once,
    service_refuses_the_connection,
    service_answer_lost,
    an_hour_without_store_and_all_entries_restarted,
]
# Faults after which a retry is answered "outcome unknown".
OUTCOME_UNKNOWN = {
    agent_killed_before_the_claim_lands,
    agent_killed_before_the_run,
    agent_killed_after_the_run,
    both_killed,
    killed_and_restarted_twice,
    service_answer_lost,
}
# Faults after which the first request still gets its answer.
FIRST_REQUEST_ANSWERED = {
    lost_claim_answer,
    lost_claim,
    lost_outcome_answer,
    store_down_during,
    store_down_after,
    an_hour_without_store_and_all_entries_restarted,
    service_refuses_the_connection,
}


def outcome(cluster, request) -> results.Ran | bytes | None:
    """Returns the body of the only reply, or the outcome in its error."""
    replies = cluster.replies.get(request, [])
    if not replies:
        return None
    (reply,) = replies
    if isinstance(reply, actions.ReplyAnswer):
        return reply.body
    return reply.error.outcome()


@pytest.mark.parametrize("fault", FAULTS, ids=lambda each: each.__name__)
def test_at_most_one_run_and_correct_answers(fault):
    """A client retries its call through the other entry after a fault.

    Whatever happened to the first attempt, the service runs the call at most
    once, each answer is that of this run, and "not run" is correct.
    """
    cluster = claims_path.Cluster()
    fault(cluster)
    cluster.settle(20.0)
    outcomes = [outcome(cluster, request) for request in ("r1", "r2")]
    if results.Ran.NOT_RUN in outcomes and cluster.run_count():
        # Then another request with the same key ran.
        assert [each for each in outcomes if isinstance(each, bytes)]
    if fault in FIRST_REQUEST_ANSWERED:
        assert outcomes[0] == b"run 1 of card"
    cluster.post("f", "last")
    cluster.settle(20.0)
    assert cluster.run_count() <= 1
    last = outcome(cluster, "last")
    if fault in OUTCOME_UNKNOWN:
        assert last == results.Ran.UNKNOWN
    else:
        assert cluster.run_count() == 1
        assert last == b"run 1 of card"
    bodies = {each for each in outcomes if isinstance(each, bytes)}
    assert bodies <= {b"run 1 of card"}


def test_a_refused_key_is_final():
    """A reused key with another body gets an error without failover.

    Another agent would refuse it too, and the final "no server" error would
    hide the client's mistake.
    """
    cluster = claims_path.Cluster()
    cluster.post("e", "r1")
    cluster.settle()
    cluster.post("f", "r2", body=b"other")
    cluster.settle()
    (reply,) = cluster.replies["r2"]
    assert reply.error.code == results.Code.KEY_REUSED
    assert cluster.verdicts == ["granted", "KEY_REUSED"]


def test_calls_skip_a_dead_owner():
    """After an agent's VM failed, its keys move to the next one at once."""
    cluster = claims_path.Cluster()
    owner = cluster.owner()
    keys = [f"key-{n}" for n in range(20) if cluster.owner(f"key-{n}") == owner]
    cluster.kill(owner)
    cluster.post("e", keys[0], key=keys[0])
    cluster.settle(1.0)
    for key in keys[1:]:
        cluster.post("e", key, key=key)
    sent = [each.receiver for each in cluster.queue]
    # One of them may probe whether the owner is back.
    assert sent.count(claims_path.address(owner)) <= 1 < len(keys) - 1
    cluster.settle(1.0)
    replies = [cluster.replies[key][0] for key in keys]
    assert all(isinstance(each, actions.ReplyAnswer) for each in replies)


def test_a_completion_with_a_key_runs_once():
    """A retried completion with a key returns the first run's text.

    The agent of the first run must settle its claim. Otherwise it would
    report "in progress" forever and never shut down gracefully.
    """
    cluster = claims_path.Cluster(kind=declarations.ServerKind.RUNNER)
    for request in ("r1", "r2"):
        completion = messages.Completion(
            model="cards", prompt="x", max_tokens=9
        )
        cluster.send_request("e", request, completion=completion)
        cluster.settle()
        text = [
            each.text
            for each in cluster.replies[request]
            if isinstance(each, actions.ReplyText)
        ]
        assert "".join(text) == "It fits."
        assert isinstance(cluster.replies[request][-1], actions.ReplyEnd)
    assert cluster.run_count() == 1
    agents = [cluster.nodes[claims_path.address(each)] for each in ("a", "b")]
    assert all(each.idle() for each in agents)
