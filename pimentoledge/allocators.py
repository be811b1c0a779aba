"""Returns unused memory to the operating system."""

import ctypes


def release_free_memory() -> bool:
    """Releases free heap memory; returns whether the C library did so.

    After a scan of 36,000 objects glibc keeps the answer's 20 MB for later
    allocations of that size, which occur only in the next scan. Other C
    libraries may lack the function; then their own policy applies.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    return trim is not None and bool(trim(0))
