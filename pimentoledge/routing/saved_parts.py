"""Shared prompt parts that KV cache servers hold, as far as routers know."""

import collections

from pimentoledge.routing import request_types

# Time from a runner's first event until its parts can be fetched from the KV
# cache server: 2,520 tokens of 131 KB take some 15 ms to transfer, twice that
# between data centres.
SAVE_SECONDS = 0.05
# A part that was saved longer ago may have been evicted by the KV cache server.
RETENTION_SECONDS = 20.0
# For this long a part counts as being saved. Otherwise each router that sends a
# request with the part before the first runner is done has it saved again.
SAVING_SECONDS = 2.0
# Maximum number of tracked parts, some 200 bytes each.
MAX_PARTS = 8000

Key = tuple[str, str, str]


class SavedParts:
    """Parts saved by this router's requests or reported by its peers.

    Attributes:
        saved: when each part was saved, by address of the KV cache server,
            namespace and name.
        saving: when the request that is to save it was sent, by the same key.
    """

    def __init__(self):
        self.saved: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )
        self.saving: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )

    def note_saving(
        self,
        address: str,
        namespace: str,
        parts: tuple[request_types.Part, ...],
        now: float,
    ) -> None:
        """Records that a request was sent that will save these parts."""
        _note(self.saving, address, namespace, parts, now)

    def note_saved(
        self,
        address: str,
        namespace: str,
        parts: tuple[request_types.Part, ...],
        now: float,
    ) -> None:
        """Records that a runner has prefilled these parts and saves them."""
        _note(self.saved, address, namespace, parts, now + SAVE_SECONDS)

    def unsaved_tokens(
        self,
        address: str,
        namespace: str,
        parts: tuple[request_types.Part, ...],
        now: float,
    ) -> int:
        """Returns how many tokens of the parts are neither saved nor pending.

        Saving always includes the last part, which no other request shares. If
        every request were saved, these parts would evict the shared ones: 15
        prompts per second fill a KV cache server of 839,000 tokens within 20 s.
        """
        total = 0
        for part in parts:
            key = (address, namespace, part.name)
            if now - self.saved.get(key, -1e9) <= RETENTION_SECONDS:
                continue
            if now - self.saving.get(key, -1e9) > SAVING_SECONDS:
                total += part.tokens
        return total

    def tokens(
        self,
        address: str,
        namespace: str,
        parts: tuple[request_types.Part, ...],
        now: float,
    ) -> int:
        """Returns the number of leading tokens of a prompt that are saved."""
        total = 0
        for part in parts:
            saved = self.saved.get((address, namespace, part.name))
            if saved is None or not 0 <= now - saved <= RETENTION_SECONDS:
                break
            total += part.tokens
        return total

    def saved_before(
        self,
        address: str,
        namespace: str,
        parts: tuple[request_types.Part, ...],
        moment: float,
        now: float,
    ) -> bool:
        """Returns whether all these parts were saved at a given time.

        Parts that may have been evicted since don't count.
        """
        times = [
            self.saved.get((address, namespace, part.name)) for part in parts
        ]
        return all(
            when is not None
            and when <= moment
            and now - when <= RETENTION_SECONDS
            for when in times
        )

    def clear(self) -> None:
        """Removes all parts, since a KV cache server may have lost its own.

        Otherwise they would count as saved for up to 20 s more, in which every
        runner would prefill them itself and no request would save them again.
        """
        self.saved.clear()
        self.saving.clear()


def _note(
    where: collections.OrderedDict[Key, float],
    address: str,
    namespace: str,
    parts: tuple[request_types.Part, ...],
    when: float,
) -> None:
    for part in parts:
        key = (address, namespace, part.name)
        where[key] = when
        where.move_to_end(key)
    while len(where) > MAX_PARTS:
        where.popitem(last=False)
