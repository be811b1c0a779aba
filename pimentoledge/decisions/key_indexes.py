"""Index of the owners of API keys, by digest."""


class KeyIndex:
    """Maps digests of API keys to the names of their owners.

    Two concurrent updates can put one key into two declarations by mistake.
    Every node then chooses the same owner, the first by name, whatever the
    order in which it received the declarations.

    Attributes:
        first: by digest, the owner that is first by name.
        others: by digest, the sorted further owners; mostly empty.
    """

    def __init__(self):
        self.first: dict[bytes, str] = {}
        self.others: dict[bytes, list[str]] = {}

    def add(self, digest: str, name: str) -> None:
        """Adds an owner of a key, given its hexadecimal digest."""
        self._set(bytes.fromhex(digest), self._owners(digest) | {name})

    def drop(self, digest: str, name: str) -> None:
        """Removes an owner of a key."""
        self._set(bytes.fromhex(digest), self._owners(digest) - {name})

    def find(self, digest: str) -> str | None:
        """Returns the owner's name; None for an unknown or malformed key."""
        try:
            return self.first.get(bytes.fromhex(digest))
        except ValueError:
            return None

    def _owners(self, digest: str) -> set[str]:
        key = bytes.fromhex(digest)
        if key not in self.first:
            return set()
        return {self.first[key], *self.others.get(key, ())}

    def _set(self, key: bytes, owners: set[str]) -> None:
        self.first.pop(key, None)
        self.others.pop(key, None)
        if owners:
            self.first[key], *others = sorted(owners)
            if others:
                self.others[key] = others
