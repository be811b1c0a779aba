"""Tests of what an agent's state machine reports about its server."""

from pimentoledge import results
from pimentoledge.decisions import agents
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import messages

ENTRY = "tcp://10.0.0.1:7000"


def sent_statuses(todo):
    return [
        each.message.truth
        for each in todo
        if hasattr(each, "message") and hasattr(each.message, "truth")
    ]


def agent_with_dispatch():
    """Returns an agent that has submitted one completion to its engine."""
    agent = agents.Agent(
        name="r",
        kind=declarations.ServerKind.RUNNER,
        life="l",
        slots=4,
        seed=1,
        view=configuration.Configuration(),
        seeds=[],
    )
    status = events.EngineStatus(incarnation="i", weights="w", slots=4)
    agent.handle(status, 1.0)
    dispatch = messages.Dispatch(
        request="q",
        attempt=1,
        organisation="o",
        priority="interactive",
        seconds_left=60.0,
        server="r",
        prompt_tokens=5000,
        expected_depth=1000,
        completion=messages.Completion(model="m", prompt="p", max_tokens=9),
    )
    event = events.FromNode(sender=ENTRY, message=dispatch)
    return agent, agent.handle(event, 1.0)


def test_a_prompt_in_prefill_counts_until_its_first_token():
    """Guards against a runner that looks idle during a long prefill.

    Nothing is queued at its agent, so each entry would choose it for the next
    prompt, which would then wait behind the first.
    """
    agent, todo = agent_with_dispatch()
    assert agent.server_status(ENTRY).queued_tokens == 4000
    assert sent_statuses(todo)
    text = events.EngineText(
        request="q", attempt=1, index=0, text="a", tokens=1
    )
    agent.handle(text, 2.0)
    assert agent.server_status(ENTRY).queued_tokens == 0


def test_a_request_to_a_crashed_engine_is_not_reported_as_run():
    """Guards against "ran" being reported for a request that never ran.

    The agent submits it to an engine that has just crashed, and the status
    shows the crash before the connection is refused. Nothing shows that the
    request ran, so the outcome is unknown.
    """
    agent, _ = agent_with_dispatch()
    todo = agent.handle(events.EngineStatus(), 1.1)
    (failed,) = [
        each.message
        for each in todo
        if isinstance(getattr(each, "message", None), messages.Failed)
    ]
    assert failed.code == results.Code.ENGINE_DIED
    assert failed.ran == results.Ran.UNKNOWN
