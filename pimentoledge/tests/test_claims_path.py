"""Calls that may not be repeated, through real entries and agents.

The fake service's own count of runs is the judge.
"""

import pytest

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.tests import claims_path


def lost_claim_answer(path):
    """The store takes the claim and its answer is lost."""
    path.post("e", "r1")
    path.until(stores.Write)
    path.objects.lose_answers = 1


def lost_claim(path):
    """The claim is lost on its way to the store."""
    path.post("e", "r1")
    path.until(stores.Write)
    path.objects.lose_requests = 1


def lost_outcome_answer(path):
    """The store takes the outcome and its answer is lost."""
    path.post("e", "r1")
    path.until(messages.ServiceAnswer)
    path.objects.lose_answers = 1


def store_down_before(path):
    """The store is down when the call comes, and comes back."""
    path.objects.down = True
    path.post("e", "r1")
    path.settle(5.0)
    path.objects.down = False


def store_down_during(path):
    """The store goes down between the claim and its outcome."""
    path.post("e", "r1")
    path.until(actions.RunCall)
    path.objects.down = True
    path.settle(30.0)
    path.objects.down = False


def store_down_after(path):
    """The store goes down behind the outcome, and stays down."""
    path.post("e", "r1")
    path.settle(5.0)
    path.objects.down = True


def entry_killed_before_the_claim(path):
    """The entry dies when the dispatch has left it."""
    path.post("e", "r1")
    path.until(messages.Dispatch)
    path.kill("e")


def entry_killed_after_the_claim(path):
    """The entry dies when its call is about to run."""
    path.post("e", "r1")
    path.until(actions.RunCall)
    path.kill("e")


def agent_killed_before_the_claim_lands(path):
    """The agent dies while its claim is on the way; the claim lands."""
    path.post("e", "r1")
    path.until(stores.Write)
    path.kill(path.owner())


def agent_killed_before_the_run(path):
    """The agent dies with a durable claim and an unstarted call."""
    path.post("e", "r1")
    path.until(actions.RunCall)
    path.kill(path.owner())


def agent_killed_after_the_run(path):
    """The agent dies when the service has run the call."""
    path.post("e", "r1")
    path.until(claims_path.Event)
    path.kill(path.owner())


def both_killed(path):
    """Entry and agent die together while the call runs."""
    path.post("e", "r1")
    path.until(claims_path.Event)
    path.kill("e")
    path.kill(path.owner())


def killed_and_restarted_twice(path):
    """The agent comes back with nothing in memory, and dies again."""
    for number in (1, 2):
        path.post("e", f"r{number}")
        path.until(actions.RunCall if number == 1 else messages.Dispatch)
        owner = path.owner()
        path.kill(owner)
        path.settle(1.0)
        path.start_agent(owner)


def holder_paused_past_its_deadline(path):
    """The holder is paused with its claim in flight and wakes much later."""
    path.post("e", "r1")
    path.until(stores.Write)
    path.step()
    owner = path.owner()
    path.paused.add(claims_path.address(owner))
    path.settle(15.0)
    path.post("f", "r2")
    path.settle(15.0)
    path.resume(owner)


def holder_paused_before_it_calls(path):
    """The holder is paused at the call itself; its server is taken out."""
    path.post("e", "r1")
    path.until(actions.RunCall)
    owner = path.owner()
    path.paused.add(claims_path.address(owner))
    path.declare_server(owner, declarations.ServerState.LEAVING)
    path.post("f", "r2")
    path.settle(1.0)
    path.resume(owner)


def both_entries_at_once(path):
    """Two entries get the same order at the same time."""
    path.post("e", "r1")
    path.post("f", "r2")


def both_agents_at_once(path):
    """Two entries think of different owners, and both agents claim."""
    path.post("e", "r1")
    first = path.owner()
    path.declare_server(first, declarations.ServerState.LEAVING)
    path.post("f", "r2")
    path.declare_server(first)


def service_refuses_the_connection(path):
    """The service beside the owner is down for a moment."""
    path.service.down = True
    path.post("e", "r1")
    path.until(claims_path.Event)
    path.service.down = False


def service_answer_lost(path):
    """The service runs the call, and its answer never reaches the agent."""
    path.service.lose_answers = 1
    path.post("e", "r1")


def an_hour_without_store_and_all_entries_restarted(path):
    """The store goes down during the run; then all entries start anew.

    The agent alone knows the answer for an hour. A resend gets it, another
    order is refused as not run, and the outcome is durable in the end.
    """
    path.post("e", "r1")
    path.until(actions.RunCall)
    path.objects.down = True
    path.settle(1.0)
    for name in ("e", "f"):
        path.kill(name)
        path.start_entry(name)
    path.settle(3600.0)
    path.post("f", "r2")
    path.post("e", "new", key="new")
    path.settle(5.0)
    assert outcome(path, "r2") == b"run 1 of card"
    assert outcome(path, "new") == results.Ran.NOT_RUN
    assert path.service.runs_by_key["new"] == 0
    path.objects.down = False
    path.settle(5.0)
    path.kill(path.owner())


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
# What the caller is told at last where no run can be known to have ended.
UNKNOWN = {
    agent_killed_before_the_claim_lands,
    agent_killed_before_the_run,
    agent_killed_after_the_run,
    both_killed,
    killed_and_restarted_twice,
    service_answer_lost,
}
# Faults that the first caller doesn't notice.
UNNOTICED = {
    lost_claim_answer,
    lost_claim,
    lost_outcome_answer,
    store_down_during,
    store_down_after,
    an_hour_without_store_and_all_entries_restarted,
    service_refuses_the_connection,
}


def outcome(path, request) -> results.Ran | bytes | None:
    """Returns the answer's body, or what an error says; checks it."""
    replies = path.replies.get(request, [])
    if not replies:
        return None
    (reply,) = replies
    if isinstance(reply, actions.ReplyAnswer):
        return reply.body
    return reply.error.outcome()


@pytest.mark.parametrize("fault", FAULTS, ids=lambda each: each.__name__)
def test_one_run_and_true_answers(fault):
    """The caller sends its order again, through the other entry.

    Whatever happened to the first try: the service runs it at most once,
    who is told an answer gets that run's, and "not run" is true.
    """
    path = claims_path.Path()
    fault(path)
    path.settle(20.0)
    told = [outcome(path, request) for request in ("r1", "r2")]
    if results.Ran.NOT_RUN in told and path.runs():
        # Only another request with the key can have run.
        assert [each for each in told if isinstance(each, bytes)]
    if fault in UNNOTICED:
        assert told[0] == b"run 1 of card"
    path.post("f", "last")
    path.settle(20.0)
    assert path.runs() <= 1
    last = outcome(path, "last")
    if fault in UNKNOWN:
        assert last == results.Ran.UNKNOWN
    else:
        assert path.runs() == 1
        assert last == b"run 1 of card"
    bodies = {each for each in told if isinstance(each, bytes)}
    assert bodies <= {b"run 1 of card"}


def test_a_refused_key_is_final():
    """A key comes again with another body: one clear error, no search.

    Asking the next agent can't change it, and the last one's "no server"
    would hide the caller's mistake.
    """
    path = claims_path.Path()
    path.post("e", "r1")
    path.settle()
    path.post("f", "r2", body=b"other")
    path.settle()
    (reply,) = path.replies["r2"]
    assert reply.error.code == results.Code.KEY_REUSED
    assert path.claimed == ["granted", "KEY_REUSED"]


def test_a_dead_owner_is_passed_over():
    """An agent's VM is gone: its keys go to the next one at once."""
    path = claims_path.Path()
    owner = path.owner()
    keys = [f"key-{n}" for n in range(20) if path.owner(f"key-{n}") == owner]
    path.kill(owner)
    path.post("e", keys[0], key=keys[0])
    path.settle(1.0)
    for key in keys[1:]:
        path.post("e", key, key=key)
    sent = [each.receiver for each in path.line]
    # One of them may try whether it is back.
    assert sent.count(claims_path.address(owner)) <= 1 < len(keys) - 1
    path.settle(1.0)
    replies = [path.replies[key][0] for key in keys]
    assert all(isinstance(each, actions.ReplyAnswer) for each in replies)


def test_a_completion_with_a_key_runs_once():
    """A caller sends a completion with a key again: the same text comes.

    The first run's agent must settle its claim, or it would say "in
    progress" for ever and never end gracefully.
    """
    path = claims_path.Path(kind=declarations.ServerKind.RUNNER)
    for request in ("r1", "r2"):
        asked = messages.Completion(model="cards", prompt="x", max_tokens=9)
        path.ask("e", request, completion=asked)
        path.settle()
        text = [
            each.text
            for each in path.replies[request]
            if isinstance(each, actions.ReplyText)
        ]
        assert "".join(text) == "It fits."
        assert isinstance(path.replies[request][-1], actions.ReplyEnd)
    assert path.runs() == 1
    agents = [path.nodes[claims_path.address(each)] for each in ("a", "b")]
    assert all(each.idle() for each in agents)
