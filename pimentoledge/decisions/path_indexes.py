"""Sorted index of the paths of all objects in force."""

import bisect


class PathIndex:
    """The paths in force; sorted lazily, when they are read.

    Added paths are appended. Sorting a list that is sorted except for its
    end takes about one pass.
    """

    def __init__(self):
        self._paths: list[str] = []
        self._sorted = True

    def __contains__(self, path: str) -> bool:
        """Returns whether a path is in force."""
        self._sort()
        index = bisect.bisect_left(self._paths, path)
        return self._paths[index : index + 1] == [path]

    def __len__(self) -> int:
        """Returns the number of paths."""
        return len(self._paths)

    def add(self, path: str) -> None:
        """Adds a path, which must not be in the index."""
        self._paths.append(path)
        self._sorted = False

    def remove(self, path: str) -> None:
        """Removes a path, which must be in the index."""
        self._sort()
        del self._paths[bisect.bisect_left(self._paths, path)]

    def below(
        self, prefix: str, *, after: str = "", limit: int | None = None
    ) -> list[str]:
        """Returns sorted paths with a prefix that come after a given path."""
        self._sort()
        first = bisect.bisect_left(self._paths, prefix)
        if after:
            first = max(first, bisect.bisect_right(self._paths, after))
        # U+10FFFF is the last code point, so this sorts after all paths
        # with the prefix.
        last = bisect.bisect_left(self._paths, prefix + "\U0010ffff")
        if limit is not None:
            last = min(last, first + limit)
        return self._paths[first:last]

    def _sort(self) -> None:
        if not self._sorted:
            self._paths.sort()
            self._sorted = True
