"""How much memory the jobs of a pool may take at its owner.

Each request is limited, but not the work that many of them hand in together,
or one whose numbers multiply. An owner therefore estimates what it keeps for
jobs, and nodes refuse a new one for which there is no room left. Large jobs are
refused first: a job must leave room for many more of its size, so that callers
with small jobs are still served while others send large ones.
"""

import msgspec

from cyclamentrack.jobs.model import Job

MAX_JOB_TASKS = 10_000
"""How many tasks a job may have in all its steps; they take about 2 MiB."""

# What CPython takes, rounded up. A job has its row's fields, a critical path
# and entries by its id; a step is opened with lists of its tasks and rows.
_JOB_BYTES = 2048
_STEP_BYTES = 1200
_TASK_BYTES = 256
CLOSED_BYTES = 400
"""What the final state of a job takes until it expires."""
CANCELLED_BYTES = 512
"""What the cancellation of a job takes, also if there is no such job."""
PARKED_BYTES = 400
"""What a job takes that stays in the store until there is room."""

# Room for this many more jobs of a job's size is kept for smaller ones.
_JOBS_LEFT = 64
_LARGEST_RESERVE_PART = 2
_CANCELLATIONS_PART = 2


class Room(msgspec.Struct, frozen=True, array_like=True):
    """The bytes that jobs of a pool may take, and those that are free."""

    limit: int
    free: int

    @property
    def admits_cancellations(self) -> bool:
        """Whether cancellations of unknown jobs may be added.

        They are kept for minutes, so they get half of the room at most.
        """
        return self.free > self.limit // _CANCELLATIONS_PART

    def admits(self, size: int) -> bool:
        """Return whether a job that takes ``size`` bytes may be added.

        >>> Room(1000, 1000).admits(400), Room(1000, 700).admits(400)
        (True, False)
        """
        reserve = min(_JOBS_LEFT * size, self.limit // _LARGEST_RESERVE_PART)
        return size + reserve <= self.free

    def less(self, size: int) -> 'Room':
        """Return the room once ``size`` more bytes are taken."""
        return Room(self.limit, self.free - size)


def task_count(job: Job) -> int:
    """Return how many tasks one occurrence of a job has."""
    return sum(step.count for step in job.steps)


def occurrence_bytes(job: Job) -> int:
    """Return what one occurrence of a job takes, whether opened or not."""
    return len(job.steps) * _STEP_BYTES + task_count(job) * _TASK_BYTES


def job_bytes(job: Job) -> int:
    """Return what a job takes with one occurrence."""
    return _JOB_BYTES + len(job.payload.encode()) + occurrence_bytes(job)
