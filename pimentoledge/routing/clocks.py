"""The clock by which leases, deadlines and beliefs age."""

import time


def now() -> float:
    """Returns seconds on a steady clock that counts suspended time.

    CLOCK_MONOTONIC stands still while a VM is suspended; a lease measured by
    it would outlive its term, and orders would be given beside a successor's.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
