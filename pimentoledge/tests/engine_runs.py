"""Completions for the fake engine, and what came of them."""

from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.nodes import messages


def run_of(request, prompt="p", max_tokens=5, batch=False, **fields):
    """Returns a completion; `fields` go into it."""
    completion = messages.Completion(
        model="m", prompt=prompt, max_tokens=max_tokens, **fields
    )
    return actions.RunCompletion(
        request=request,
        attempt=1,
        priority="batch" if batch else "interactive",
        completion=completion,
    )


def drive(engine, until=None):
    """Steps an engine in virtual time until it is idle or `until`."""
    found = []
    while (wake := engine.next_wake()) is not None:
        if until is not None and wake > until:
            break
        found.extend(engine.step(wake))
    return found


def text_of(found, request):
    """Returns one stream's text; fails unless its tokens are in order."""
    texts = [
        each
        for each in found
        if isinstance(each, events.EngineText) and each.request == request
    ]
    due = texts[0].index if texts else 0
    for each in texts:
        assert each.index == due
        due += each.tokens
    return "".join(each.text for each in texts)


def last_of(found, request):
    """Returns how a stream ended; fails unless that was its last event."""
    mine = [each for each in found if each.request == request]
    ends = [
        each
        for each in mine
        if isinstance(each, events.EngineEnded | events.EngineBroken)
    ]
    assert ends == mine[-1:]
    return mine[-1]
