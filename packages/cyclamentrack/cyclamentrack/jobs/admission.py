"""Admission control: which jobs a node refuses before it stores them.

The owner of a pool predicts how long a new job of each queue waits for its
first start, and publishes that in its lease. While the pool is overloaded, a
node refuses a job that would clearly be worth nothing when it ends, and of
accounts that are far beyond their rate the part of the jobs that can't be
served. This is made for accounts that send several times their usual for
seconds: what is accepted then ends too late to be worth anything, long after
the burst.

In the load test a refusal of all late jobs of such accounts lost more jobs that
would have ended in time: nodes then refuse all or nothing for half a second,
until the next figures.
"""

import enum
import math
import zlib

import msgspec

from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.critical_path import compute_critical_path
from cyclamentrack.jobs.model import Job, JobId, Queue, QueueName
from cyclamentrack.jobs.order import LATE_FACTOR, Prospect
from cyclamentrack.jobs.room import Room
from cyclamentrack.resources import Resources

# Estimates are off by a factor of up to 1.9, so a job of an account within its
# rate, or of none, is only refused if it would end this many times too late.
# A refusal that wasn't needed costs its caller more than a late job.
_CLEAR_MARGIN = 2.0
_MAX_RETRY_AFTER_S = 30
_FULL_RETRY_AFTER_S = 3
_SHARE_PARTS = 1000


class QueueWaits(msgspec.Struct, frozen=True, array_like=True):
    """Predicted seconds until a new job of a queue starts.

    The first wait is behind the jobs that can still end in time, the second
    one behind late ones too. Of accounts that are far beyond their rate,
    ``accepted_share`` of the jobs is accepted.
    """

    queue: QueueName
    in_time_s: float
    late_s: float
    accepted_share: float


class PoolFigures(msgspec.Struct, frozen=True, kw_only=True):
    """What the owner of a pool publishes for admission control.

    A queue without ``waits`` has no backlog ahead of it. ``clear_s`` is how
    long the present backlog takes, and ``far_beyond`` are accounts that
    have sent far more than their rate. ``room`` is what the owner's memory has
    left for jobs, ``None`` if that isn't limited, or not by earlier versions.
    """

    capacity: Resources
    overloaded: bool = False
    clear_s: float = 0.0
    waits: tuple[QueueWaits, ...] = ()
    far_beyond: tuple[AccountName, ...] = ()
    room: Room | None = None

    def waits_of(self, queue: QueueName) -> QueueWaits | None:
        """Return the waits of a queue, ``None`` without a backlog."""
        return next((one for one in self.waits if one.queue == queue), None)


class Refusal(enum.Enum):
    """Why a job is refused."""

    WORTHLESS = 'worthless'
    BEYOND_RATE = 'beyond rate'


def outlook(
    job: Job, queue: Queue, figures: PoolFigures, *, margin: float = 1.0
) -> Prospect:
    """Return what a new job will be worth when it ends.

    The job counts as late or worthless only if it would end ``margin`` times
    after the time allowed.
    """
    waits = figures.waits_of(queue.name)
    if waits is None:
        return Prospect.IN_TIME
    path_s = compute_critical_path(
        job,
        permits=queue.permits,
        capacity=lambda step: step.need.times_in(figures.capacity),
        task_s=[step.estimate_s for step in job.steps],
    ).total_s
    allowed_s = margin * (queue.target_s + queue.stretch * path_s)
    if waits.in_time_s + path_s <= allowed_s:
        return Prospect.IN_TIME
    if waits.late_s + path_s <= LATE_FACTOR * allowed_s:
        return Prospect.LATE
    return Prospect.WORTHLESS


def refusal(job: Job, figures: PoolFigures | None) -> Refusal | None:
    """Return why a new job is refused, ``None`` if it is accepted.

    Lasting tasks and jobs with due times are always accepted, since they have
    no objective that counts from now.
    """
    queue = job.terms
    if figures is None or queue is None or not figures.overloaded:
        return None
    if job.timed or any(step.lasting for step in job.steps):
        return None
    if _is_beyond_share(job, queue, figures):
        return Refusal.BEYOND_RATE
    expected = outlook(job, queue, figures, margin=_CLEAR_MARGIN)
    return Refusal.WORTHLESS if expected is Prospect.WORTHLESS else None


def retry_after_s(
    job: JobId, figures: PoolFigures | None, *, full: bool = False
) -> int:
    """Return when a refused caller should try again, in whole seconds.

    That is when the backlog will be cleared, and up to as much later, by the
    job's id, so that callers don't all come back at once. Room in a ``full``
    owner's memory is left by jobs that end, which takes seconds.
    """
    clear_s = figures.clear_s if figures else 0.0
    soonest = _FULL_RETRY_AFTER_S if full else 1
    least = min(max(math.ceil(clear_s), soonest), _MAX_RETRY_AFTER_S)
    return least + zlib.crc32(job.encode()) % least


def _is_beyond_share(job: Job, queue: Queue, figures: PoolFigures) -> bool:
    """Return whether a job is one of those that its account may not submit.

    It is decided by the job's id, so all nodes decide alike.
    """
    waits = figures.waits_of(queue.name)
    if waits is None or job.account not in figures.far_beyond:
        return False
    place = zlib.crc32(job.id.encode()) % _SHARE_PARTS
    return place >= waits.accepted_share * _SHARE_PARTS
