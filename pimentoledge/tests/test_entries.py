"""The entry's state machine by itself: late, crossed and missing messages."""

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
    """An entry with two runners, whose agents are played by the test."""

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

    def ask(self, request):
        """Sends a request in; returns its dispatch and its agent."""
        event = events.CallerRequest(
            request=request,
            key_digest=KEY,
            completion=messages.Completion(
                model="m", prompt="p" * 600, max_tokens=9
            ),
        )
        return dispatched(self.core.handle(event, self.now))

    def tell(self, sender, message):
        event = events.FromNode(sender=sender, message=message)
        return self.core.handle(event, self.now)


def runner(name):
    return declarations.BackendServer(
        name=name, serves="m", agent=f"tcp://10.0.1.{name[1:]}:7000"
    )


def dispatched(todo):
    """Returns the dispatch among actions, and where it goes."""
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
    """An entry is killed and its successor takes its address.

    The agent goes on sending the frames of a request that the successor
    knows nothing of. Unless it says so, the engine generates for nobody.
    """
    world = World()
    agent = "tcp://10.0.1.1:7000"
    todo = world.tell(agent, frames("before", 1, 5, "late"))
    assert replies(todo) == []
    assert cancels(todo) == [(agent, "before", 1)]


def test_a_frame_of_another_agent_never_reaches_the_caller():
    """Answers come crossed: an agent sends a frame under another's request.

    The caller would read a word of somebody else's answer.
    """
    world = World()
    dispatch, agent = world.ask("q")
    other = next(
        each.agent
        for each in (runner("r1"), runner("r2"))
        if each.agent != agent
    )
    assert replies(world.tell(other, frames("q", 1, 0, "wrong"))) == []
    told = replies(world.tell(agent, frames("q", 1, 0, "right")))
    assert [each.text for each in told] == ["right"]


def test_a_late_frame_of_an_agent_given_up_on_is_dropped():
    """An agent is paused in mid-stream, and the entry goes on elsewhere.

    When it wakes it sends what it had. The caller must read each word once,
    so the new attempt goes on behind what was passed on, and the old one is
    told to stop.
    """
    world = World()
    _, first = world.ask("q")
    world.tell(first, frames("q", 1, 0, "one "))
    gone = events.Unreachable(address=first)
    dispatch, second = dispatched(world.core.handle(gone, world.now))
    assert second != first
    assert (dispatch.attempt, dispatch.sequence) == (2, 1)
    assert dispatch.completion.continued == "one "
    late = world.tell(first, frames("q", 1, 1, "two "))
    assert replies(late) == []
    assert cancels(late) == [(first, "q", 1)]
    told = replies(world.tell(second, frames("q", 2, 1, "two ")))
    assert [each.text for each in told] == ["two "]


def test_an_unsent_dispatch_is_redirected_and_its_refusal_is_true():
    """Both runners' VMs are gone; no dispatch ever leaves the entry.

    The caller is told at once that nothing ran, and when to come back; not
    at its deadline.
    """
    world = World()
    dispatch, agent = world.ask("q")
    for _ in range(2):
        gone = events.Unreachable(address=agent, unsent=[dispatch])
        todo = world.core.handle(gone, world.now)
        dispatch, agent = dispatched(todo)
    (told,) = replies(todo)
    assert told.error.code == results.Code.NO_SERVER
    assert told.error.outcome() == results.Ran.NOT_RUN
    assert told.error.retry_after > 0
    assert world.core.idle()
