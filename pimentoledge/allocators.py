"""Keeps the C library's allocator from holding unused memory."""

import ctypes

# Parameter of mallopt, in glibc's malloc.h.
_ARENA_MAX = -8
ARENAS = 2


def release_free_memory() -> bool:
    """Releases free heap memory; returns whether the C library did so.

    After a scan of 36,000 objects glibc keeps the answer's 20 MB for later
    allocations of that size, which occur only in the next scan. Other C
    libraries may lack the function; then their own policy applies.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    return trim is not None and bool(trim(0))


def limit_arenas() -> bool:
    """Limits the number of heaps; returns whether the C library did so.

    By default glibc has eight heaps for each core, and each keeps memory that
    its threads have freed. Must be called before threads are started.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and bool(mallopt(_ARENA_MAX, ARENAS))
