"""Tests of decisions.entries: late, misdirected and missing messages."""

from pimentoledge import emulators
from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages

KEY = emulators.key_digest("k")


class World:
    """An entry with two runners, whose agents are simulated by the test."""

    def __init__(self):
        declared = [
            declarations.Model(name="m", weights="w1"),
            declarations.Contract(
                organisation="o", key_digests=[KEY], models=["m"]
            ),
            runner("r1"),
            runner("r2"),
        ]
        view = configuration.Configuration()
        view.apply(
            [
                stores.Object(
                    path=declarations.path_of(each),
                    version=number + 1,
                    value=declarations.encode(each),
                )
                for number, each in enumerate(declared)
            ]
        )
        self.now = 10.0
        self.core = entries.Entry(
            name="e",
            address="tcp://10.0.0.1:7000",
            data_centre="d",
            seed=1,
            block_bytes=256,
            view=view,
            seeds=[],
        )

    def send_request(self, request):
        """Sends a caller's request; returns its dispatch and its agent."""
        event = events.CallerRequest(
            request=request,
            key_digest=KEY,
            completion=messages.Completion(
                model="m", prompt="p" * 600, max_tokens=9
            ),
        )
        return dispatched(self.core.handle(event, self.now))

    def deliver(self, sender, message):
        event = events.FromNode(sender=sender, message=message)
        return self.core.handle(event, self.now)


def runner(name):
    return declarations.BackendServer(
        name=name, serves="m", agent=f"tcp://10.0.1.{name[1:]}:7000"
    )


def dispatched(todo):
    """Returns the dispatch among actions and its receiver's address."""
    for each in todo:
        if isinstance(each, actions.Send) and isinstance(
            each.message, messages.Dispatch
        ):
            return each.message, each.address
    return None, None


def replies(todo):
    kinds = actions.ReplyText | actions.ReplyEnd | actions.ReplyError
    return [each for each in todo if isinstance(each, kinds)]


def cancels(todo):
    return [
        (each.address, each.message.request, each.message.attempt)
        for each in todo
        if isinstance(each, actions.Send)
        and isinstance(each.message, messages.Cancel)
    ]


def frames(request, attempt, sequence, text):
    frame = messages.Frame(
        request=request, attempt=attempt, sequence=sequence, text=text
    )
    return messages.Frames(frames=[frame])


def test_an_orphaned_stream_is_stopped_at_its_agent():
    """An engine keeps generating an answer that nobody reads.

    An entry is killed and a new one takes over its address. The agent sends
    it frames of a request that it doesn't know, and the new entry must cancel
    that attempt.
    """
    world = World()
    agent = "tcp://10.0.1.1:7000"
    todo = world.deliver(agent, frames("before", 1, 5, "late"))
    assert replies(todo) == []
    assert cancels(todo) == [(agent, "before", 1)]


def test_a_frame_of_another_agent_is_not_forwarded():
    """A caller receives text of another request's answer.

    An agent sends a frame with the id of a request that runs at another
    agent.
    """
    world = World()
    dispatch, agent = world.send_request("q")
    other = next(
        each.agent
        for each in (runner("r1"), runner("r2"))
        if each.agent != agent
    )
    assert replies(world.deliver(other, frames("q", 1, 0, "wrong"))) == []
    replied = replies(world.deliver(agent, frames("q", 1, 0, "right")))
    assert [each.text for each in replied] == ["right"]


def test_a_late_frame_of_an_abandoned_attempt_is_dropped():
    """A caller receives the same text twice.

    An agent pauses in the middle of a stream and the entry retries on another
    server. When the agent resumes, it sends its remaining frames. The new
    attempt continues after the delivered text, and the old one is cancelled.
    """
    world = World()
    _, first = world.send_request("q")
    world.deliver(first, frames("q", 1, 0, "one "))
    gone = events.Unreachable(address=first)
    dispatch, second = dispatched(world.core.handle(gone, world.now))
    assert second != first
    assert (dispatch.attempt, dispatch.sequence) == (2, 1)
    assert dispatch.completion.continued == "one "
    late = world.deliver(first, frames("q", 1, 1, "two "))
    assert replies(late) == []
    assert cancels(late) == [(first, "q", 1)]
    replied = replies(world.deliver(second, frames("q", 2, 1, "two ")))
    assert [each.text for each in replied] == ["two "]


def test_an_unsent_dispatch_is_retried_and_ends_as_not_run():
    """A caller waits until its deadline although no server can be reached.

    The VMs of both runners are gone, so no dispatch leaves the entry. The
    caller gets an error at once, with "not run" and a retry delay.
    """
    world = World()
    dispatch, agent = world.send_request("q")
    for _ in range(2):
        gone = events.Unreachable(address=agent, unsent=[dispatch])
        todo = world.core.handle(gone, world.now)
        dispatch, agent = dispatched(todo)
    (reply,) = replies(todo)
    assert reply.error.code == results.Code.NO_SERVER
    assert reply.error.outcome() == results.Ran.NOT_RUN
    assert reply.error.retry_after > 0
    assert world.core.idle()
