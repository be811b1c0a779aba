"""What an agent reports about batch work that it paused."""

from pimentoledge.decisions import actions
from pimentoledge.decisions import agents
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import messages

ENTRY = "tcp://10.0.0.1:1"


class AgentDriver:
    """Passes events to one agent whose engine has one slot."""

    def __init__(self):
        self.agent = agents.Agent(
            name="r",
            kind=declarations.ServerKind.RUNNER,
            life="life",
            slots=1,
            seed=1,
            view=configuration.Configuration(),
            seeds=[],
        )
        self.handle(events.EngineStatus(incarnation="i1", slots=1))

    def handle(self, event):
        return self.agent.handle(event, 1.0)

    def send_dispatch(self, request, priority):
        dispatch = messages.Dispatch(
            request=request,
            attempt=1,
            organisation="o",
            priority=priority,
            seconds_left=60.0,
            server="r",
            completion=messages.Completion(model="m", prompt="p", max_tokens=9),
        )
        return self.handle(events.FromNode(sender=ENTRY, message=dispatch))

    def start(self, request):
        return self.handle(
            events.EngineStarted(
                request=request,
                attempt=1,
                incarnation="i1",
                prompt_tokens=1,
                cached_tokens=0,
            )
        )

    def broken(self, request, ran):
        return self.handle(
            events.EngineBroken(request=request, attempt=1, ran=ran, text="")
        )

    def crash(self):
        """Reports the engine as down.

        Returns:
            Value of `ran` in the failures sent to the entry, by request.
        """
        todo = self.handle(events.EngineStatus())
        return {
            each.message.request: each.message.ran
            for each in todo
            if isinstance(each, actions.Send)
            and isinstance(each.message, messages.Failed)
        }


def test_paused_before_it_reached_a_dead_engine():
    """Guards against "ran" being reported for work that no engine received.

    Batch work is submitted to an engine that has just crashed, and an
    interactive request makes the agent pause it at that moment. If the
    engine's "not run" were dropped, the crash would count as one during the
    batch work.
    """
    driver = AgentDriver()
    driver.send_dispatch("check", "batch")
    driver.send_dispatch("quote", "interactive")
    driver.broken("check", "not_run")
    driver.broken("quote", "not_run")
    assert driver.crash() == {"check": "not_run", "quote": "not_run"}


def test_refused_after_it_ran_and_was_paused():
    """Guards against "not run" for work that ran before a pause.

    Batch work runs, is paused and is then submitted to a dead engine. The
    refusal applies to the second submission only. "not run" would be false,
    and the client might pay for the work twice.
    """
    driver = AgentDriver()
    driver.send_dispatch("check", "batch")
    driver.start("check")
    driver.send_dispatch("quote", "interactive")
    driver.broken("check", "ran")
    driver.handle(events.EngineStatus(incarnation="i1", slots=1))
    ended = events.EngineEnded(
        request="quote",
        attempt=1,
        reason="stop",
        prompt_tokens=1,
        cached_tokens=0,
        completion_tokens=0,
    )
    resumed = driver.handle(ended)
    assert any(isinstance(each, actions.RunCompletion) for each in resumed)
    driver.broken("check", "not_run")
    assert driver.crash() == {"check": "ran"}
