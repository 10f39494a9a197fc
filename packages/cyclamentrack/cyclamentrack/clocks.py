"""Clocks of the machine that trio doesn't provide."""

import time


def suspended_s() -> float:
    """Return for how long the machine has been suspended since its start.

    The steady clock doesn't count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
