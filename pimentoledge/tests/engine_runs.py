"""Runs completions on a fake engine and inspects its events."""

from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.nodes import messages


def run_of(request, prompt="p", max_tokens=5, batch=False, **fields):
    """Returns the action that runs a completion with these `fields`."""
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
    """Steps an engine until it is idle or `until`; returns its events."""
    output = []
    while (wake := engine.next_wake()) is not None:
        if until is not None and wake > until:
            break
        output.extend(engine.step(wake))
    return output


def text_of(output, request):
    """Returns a stream's text; fails if tokens are missing or out of order."""
    texts = [
        each
        for each in output
        if isinstance(each, events.EngineText) and each.request == request
    ]
    expected_index = texts[0].index if texts else 0
    for each in texts:
        assert each.index == expected_index
        expected_index += each.tokens
    return "".join(each.text for each in texts)


def end_of(output, request):
    """Returns a stream's end event; fails if another event follows it."""
    stream_events = [each for each in output if each.request == request]
    ends = [
        each
        for each in stream_events
        if isinstance(each, events.EngineEnded | events.EngineBroken)
    ]
    assert ends == stream_events[-1:]
    return stream_events[-1]
