"""The paths of all objects in force, in order."""

import bisect


class PathIndex:
    """The paths that are in force, in order; sorted when they are read.

    A sort of a list that is sorted but for its end costs one pass.
    """

    def __init__(self):
        self._paths: list[str] = []
        self._sorted = True

    def __contains__(self, path: str) -> bool:
        """Returns whether a path is in force."""
        self._sort()
        place = bisect.bisect_left(self._paths, path)
        return self._paths[place : place + 1] == [path]

    def __len__(self) -> int:
        """Returns the number of paths."""
        return len(self._paths)

    def add(self, path: str) -> None:
        """Adds a path that is not there yet."""
        self._paths.append(path)
        self._sorted = False

    def remove(self, path: str) -> None:
        """Removes a path that is there."""
        self._sort()
        del self._paths[bisect.bisect_left(self._paths, path)]

    def below(
        self, prefix: str, *, after: str = "", limit: int | None = None
    ) -> list[str]:
        """Returns paths that start with a prefix, behind one, in order."""
        self._sort()
        first = bisect.bisect_left(self._paths, prefix)
        if after:
            first = max(first, bisect.bisect_right(self._paths, after))
        # No path holds a character above the last of Unicode.
        last = bisect.bisect_left(self._paths, prefix + "\U0010ffff")
        if limit is not None:
            last = min(last, first + limit)
        return self._paths[first:last]

    def _sort(self) -> None:
        if not self._sorted:
            self._paths.sort()
            self._sorted = True
