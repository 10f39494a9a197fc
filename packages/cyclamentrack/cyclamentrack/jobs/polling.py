"""How long polls wait, so that an owner can process all answers."""

import zlib

from cyclamentrack.ids import WorkerId

# Polls keep leases far from their end and progress up to date. A poll whose
# answer is lost hides ends for as long as it waits, so polls are shorter while
# workers leave orders unanswered.
_USUAL_WAIT_S = 0.6
_SHORT_WAIT_S = 0.25
# Highest rate of polls. With more workers they wait longer, rather than add to
# the load that delays answers.
POLLS_PER_S = 120.0
# Two polls of this length and their answers fit into a worker's lease.
_MAX_WAIT_S = 1.5
_HASH_RANGE = 2**32


def poll_wait_s(*, workers: int, troubled: bool) -> float:
    """Return how long each poll waits for a run to end, seconds.

    >>> poll_wait_s(workers=30, troubled=False)
    0.6
    >>> poll_wait_s(workers=30, troubled=True)
    0.25
    >>> poll_wait_s(workers=120, troubled=True)
    1.0
    """
    usual = _SHORT_WAIT_S if troubled else _USUAL_WAIT_S
    return min(max(usual, workers / POLLS_PER_S), _MAX_WAIT_S)


def first_poll_share(worker: WorkerId) -> float:
    """Return the share of the usual wait for a worker's second poll.

    All workers get their first poll at about the same time. The share differs
    by worker, so that the following polls are spread.
    """
    return zlib.crc32(worker.encode()) / _HASH_RANGE
