"""What an agent has to tell entries, with frames held back until a turn ends.

The frames of all streams of one entry that came in one turn go in one
message: at 64 streams a step of the engine is one message, not 64.
"""

from pimentoledge.decisions import actions
from pimentoledge.nodes import messages


class Outbox:
    """Messages to entries; keeps the order of each entry's.

    Attributes:
        frames: frames held back, by entry.
    """

    def __init__(self):
        self.frames: dict[str, list[messages.Frame]] = {}

    def hold(self, address: str, frame: messages.Frame) -> None:
        """Keeps a frame for the end of the turn."""
        self.frames.setdefault(address, []).append(frame)

    def send(self, address: str, message: object) -> list[actions.Action]:
        """Sends a message behind the frames that wait for its receiver."""
        todo: list[actions.Action] = []
        frames = self.frames.pop(address, None)
        if frames:
            todo.append(_batch(address, frames))
        todo.append(actions.Send(address=address, message=message))
        return todo

    def flush(self) -> list[actions.Action]:
        """Sends what was held back."""
        held, self.frames = self.frames, {}
        return [_batch(address, held[address]) for address in held]

    def drop(self, address: str) -> None:
        """Forgets what was held back for an entry that is gone."""
        self.frames.pop(address, None)


def _batch(address: str, frames: list[messages.Frame]) -> actions.Send:
    return actions.Send(address=address, message=messages.Frames(frames=frames))
