"""Clocks of the machine that trio doesn't provide."""

import time


def suspended_s() -> float:
    """Return for how long the machine has been suspended since its start.

    The steady clock doesn't count that time. It is read last, so that a
    suspension between the two readings isn't counted yet.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
