"""How long looks at workers wait, so that an owner can take all answers in."""

import zlib

from cyclamentrack.ids import WorkerId

# Looks keep leases far from their end and progress fresh. One that goes
# unanswered hides ends for so long; while workers leave orders unanswered
# looks are shorter.
_CALM_WAIT_S = 0.6
_TROUBLED_WAIT_S = 0.25
# With more workers looks wait longer than that, rather than add to the load
# that lets answers come late.
LOOKS_PER_S = 120.0
# Two such looks and their answers fit into a worker's lease.
_LONGEST_WAIT_S = 1.5
_HASH_RANGE = 2**32


def look_wait_s(*, workers: int, troubled: bool) -> float:
    """Return how long each look waits for an end, seconds.

    >>> look_wait_s(workers=30, troubled=False)
    0.6
    >>> look_wait_s(workers=30, troubled=True)
    0.25
    >>> look_wait_s(workers=120, troubled=True)
    1.0
    """
    usual = _TROUBLED_WAIT_S if troubled else _CALM_WAIT_S
    return min(max(usual, workers / LOOKS_PER_S), _LONGEST_WAIT_S)


def first_share(worker: WorkerId) -> float:
    """Return the share of the wait that a worker's first look takes.

    All workers are met at once; so their next looks don't fall together.
    """
    return zlib.crc32(worker.encode()) / _HASH_RANGE
