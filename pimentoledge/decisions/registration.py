"""Declarations of entries: each writes its own, and one deletes dead ones.

There are no heartbeats. An entry that crashed stays declared until the
sweeping entry has found it unreachable at every attempt for about 20 minutes.
An entry that was only partitioned for that long declares itself again.
"""

import random

from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores

# Two processes with the same name would overwrite each other's declaration for
# ever, so the pause before the next write doubles.
MIN_PAUSE_SECONDS = 5.0
MAX_PAUSE_SECONDS = 320.0


class Registration:
    """Declares one entry by a conditional write.

    Attributes:
        name: the entry's name.
        data_centre: the entry's data centre.
        configuration: this entry's configuration.
        retired: whether the entry is shutting down.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        view: configuration.Configuration,
        seed: int,
    ):
        self.name = name
        self.data_centre = data_centre
        self.configuration = view
        self.retired = False
        self._random = random.Random(seed)
        self._write: stores.Write | None = None
        self._retry = float("-inf")
        self._pause = MIN_PAUSE_SECONDS

    def write_if_due(self, address: str, now: float) -> list[actions.Action]:
        """Writes the declaration when it is due.

        Args:
            address: the entry's mailbox.
            now: the time.
        """
        waiting = self._write is not None or now < self._retry
        if self.retired or waiting or not self.configuration.is_complete():
            return []
        wanted = declarations.EntryNode(
            name=self.name, mailbox=address, data_centre=self.data_centre
        )
        found = self.configuration.get(declarations.EntryNode, self.name)
        if found is not None:
            wanted.version = found.version
        if found == wanted:
            return []
        self._retry = now + self._pause
        self._pause = min(self._pause * 2, MAX_PAUSE_SECONDS)
        return self._call(self.name, declarations.encode(wanted))

    def forget(self, name: str) -> list[actions.Action]:
        """Deletes the declaration of another entry that is dead."""
        found = self.configuration.get(declarations.EntryNode, name)
        if self._write is not None or found is None or name == self.name:
            return []
        return self._call(name, None)

    def retire(self) -> list[actions.Action]:
        """Deletes this entry's declaration before the process ends."""
        self.retired = True
        if self.configuration.get(declarations.EntryNode, self.name) is None:
            return []
        return self._call(self.name, None)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[stores.Object]:
        """Returns the objects that an answer shows to be in the store."""
        if self._write is None or answer.call != self._write.call:
            return []
        write, self._write = self._write, None
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                written = stores.Object(
                    path=write.path, version=answer.version, value=write.value
                )
                return [written]
            case stores.Outcome.CONFLICT:
                return answer.objects
            case _:
                # Down or lost. A lost write that took effect arrives by the
                # watch before the next attempt.
                pause = self._random.uniform(1, 2) * MIN_PAUSE_SECONDS
                self._retry = now + pause
        return []

    def _call(self, name: str, value: bytes | None) -> list[actions.Action]:
        path = declarations.PREFIXES[declarations.EntryNode] + name
        stored = self.configuration.newest(path)
        alive = stored is not None and stored.value is not None
        number = self._random.getrandbits(128)
        self._write = stores.Write(
            call=f"register.{number:032x}",
            path=path,
            value=value,
            expected=stored.version if alive else 0,
            write_id=f"{self.name}.{number:032x}",
        )
        return [actions.CallStore(call=self._write)]
