"""Gives unused memory back to the operating system."""

import ctypes


def release_free_memory() -> bool:
    """Returns whether the C library could give memory back.

    After a scan of 36,000 objects glibc keeps the answer's 20 MB for later
    allocations of that size, which come only with the next scan. Another C
    library may not have the function; its own policy then holds.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    return trim is not None and bool(trim(0))
