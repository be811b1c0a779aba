"""The clock for leases, deadlines and the age of cached state."""

import time


def now() -> float:
    """Returns seconds on a monotonic clock that counts suspended time.

    CLOCK_MONOTONIC stops while a VM is suspended. A lease measured with it
    would outlive its term, and its holder would send orders at the same time as
    its successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
