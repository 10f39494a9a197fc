"""How long polls wait, so that an owner can process all answers."""

import zlib

from cyclamentrack.ids import WorkerId

# Polls are sent often enough that leases never come close to their end and
# progress is up to date. If the answer to a poll is lost, ends go unnoticed for
# as long as it waited, so polls are shorter while orders go unanswered.
_USUAL_WAIT_S = 0.6
_SHORT_WAIT_S = 0.25
# Highest rate of polls. With more workers they wait longer, rather than add to
# the load that delays answers.
POLLS_PER_S = 120.0
# Two polls of this length and their answers fit into a worker's lease.
_MAX_WAIT_S = 1.5
_HASH_RANGE = 2**32


def poll_wait_s(*, workers: int, unanswered: bool) -> float:
    """Return how long each poll waits for a run to end, seconds.

    ``unanswered`` says that an order went unanswered recently.

    >>> poll_wait_s(workers=30, unanswered=False)
    0.6
    >>> poll_wait_s(workers=30, unanswered=True)
    0.25
    >>> poll_wait_s(workers=120, unanswered=True)
    1.0
    """
    usual = _SHORT_WAIT_S if unanswered else _USUAL_WAIT_S
    return min(max(usual, workers / POLLS_PER_S), _MAX_WAIT_S)


def first_poll_share(worker: WorkerId) -> float:
    """Return the share of the usual wait for a worker's second poll.

    All workers get their first poll at about the same time. The share differs
    by worker, so that the following polls are spread.
    """
    return zlib.crc32(worker.encode()) / _HASH_RANGE
