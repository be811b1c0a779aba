"""What an agent says of batch work that it stopped for other work."""

from pimentoledge.decisions import actions
from pimentoledge.decisions import agents
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import messages

ENTRY = "tcp://10.0.0.1:1"


class Desk:
    """One agent before an engine with one slot, driven by hand."""

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
        self.give(events.EngineStatus(incarnation="i1", slots=1))

    def give(self, event):
        return self.agent.handle(event, 1.0)

    def ask(self, request, priority):
        dispatch = messages.Dispatch(
            request=request,
            attempt=1,
            organisation="o",
            priority=priority,
            seconds_left=60.0,
            server="r",
            completion=messages.Completion(model="m", prompt="p", max_tokens=9),
        )
        return self.give(events.FromNode(sender=ENTRY, message=dispatch))

    def start(self, request):
        return self.give(
            events.EngineStarted(
                request=request,
                attempt=1,
                incarnation="i1",
                prompt_tokens=1,
                cached_tokens=0,
            )
        )

    def broken(self, request, ran):
        return self.give(
            events.EngineBroken(request=request, attempt=1, ran=ran, text="")
        )

    def die(self):
        """Returns what the entry is told, by request."""
        todo = self.give(events.EngineStatus())
        return {
            each.message.request: each.message.ran
            for each in todo
            if isinstance(each, actions.Send)
            and isinstance(each.message, messages.Failed)
        }


def test_stopped_before_it_reached_a_dead_engine():
    """A check is told that it ran, though no engine ever had it.

    It is handed to an engine that has just died, a quote comes at that
    moment and the check is to be stopped for it. The engine's "not run" was
    forgotten, and the death then counted as one while the check ran.
    """
    desk = Desk()
    desk.ask("check", "batch")
    desk.ask("quote", "interactive")
    desk.broken("check", "not_run")
    desk.broken("quote", "not_run")
    assert desk.die() == {"check": "not_run", "quote": "not_run"}


def test_refused_after_it_ran_and_was_paused():
    """A check that ran, was paused and then met a dead engine did run.

    The engine's refusal speaks of the second time only; "not run" would be
    false, and the caller might pay for the work twice.
    """
    desk = Desk()
    desk.ask("check", "batch")
    desk.start("check")
    desk.ask("quote", "interactive")
    desk.broken("check", "ran")
    desk.give(events.EngineStatus(incarnation="i1", slots=1))
    ended = events.EngineEnded(
        request="quote",
        attempt=1,
        reason="stop",
        prompt_tokens=1,
        cached_tokens=0,
        completion_tokens=0,
    )
    resumed = desk.give(ended)
    assert any(isinstance(each, actions.RunCompletion) for each in resumed)
    desk.broken("check", "not_run")
    assert desk.die() == {"check": "ran"}
