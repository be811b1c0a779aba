"""The outgoing messages of an agent to entries, with batched frames.

All frames for one entry that arrive in one turn of the event loop are sent in
one message: with 64 streams, one engine step makes one message instead of 64.
"""

from pimentoledge.decisions import actions
from pimentoledge.nodes import messages


class Outbox:
    """Messages to entries, in order for each entry.

    Attributes:
        frames: buffered frames by address of the entry.
    """

    def __init__(self):
        self.frames: dict[str, list[messages.Frame]] = {}

    def hold(self, address: str, frame: messages.Frame) -> None:
        """Buffers a frame until the end of the turn."""
        self.frames.setdefault(address, []).append(frame)

    def send(self, address: str, message: object) -> list[actions.Action]:
        """Sends a message after the buffered frames for its receiver."""
        todo: list[actions.Action] = []
        frames = self.frames.pop(address, None)
        if frames:
            todo.append(_batch(address, frames))
        todo.append(actions.Send(address=address, message=message))
        return todo

    def flush(self) -> list[actions.Action]:
        """Sends all buffered frames."""
        buffered, self.frames = self.frames, {}
        return [_batch(address, buffered[address]) for address in buffered]

    def drop(self, address: str) -> None:
        """Drops the buffered frames for an entry that is gone."""
        self.frames.pop(address, None)


def _batch(address: str, frames: list[messages.Frame]) -> actions.Send:
    return actions.Send(address=address, message=messages.Frames(frames=frames))
