"""Names of the job cell's rows, and the forms of those kept beside jobs."""

import msgspec

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.model import (
    JobId,
    QueueName,
    Shape,
    StepName,
    Token,
)
from cyclamentrack.jobs.ports import RowKey

JOBS = 'jobs'
CLAIMS = 'claims'
MEMBERS = 'members'
STEPS = 'journal'

_CANCEL_MARK = '/cancel'
_PART_MARK = '/'


class Lease(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Who owns a slice; renewed while its owner lives.

    ``released`` says that the owner has handed the slice over. ``waiting``
    counts by queue the jobs of which no task has started, ``None`` until the
    owner has recovered; ``shapes`` are those of the workers that the pool has
    had, ``MAX_SHAPES`` at most.
    """

    node: str
    claim: str
    address: str
    number: int
    released: bool = False
    waiting: dict[QueueName, int] | None = None
    shapes: tuple[Shape, ...] = ()


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One node of the cell, where its peers reach it, and what it can carry.

    ``cores`` is its share of the processor in cores, and ``link_mbps`` the
    bandwidth of its link; 0 says that it isn't known.
    """

    node: str
    incarnation: str
    address: str
    zone: str
    cores: float = 0.0
    link_mbps: float = 0.0


def jobs_part(pool: PoolName, job: JobId) -> str:
    """Return the part of a job's rows, one of sixteen of its pool.

    Accepting a job never waits behind the slice's journal, nor behind many
    other jobs when the store is slow.
    """
    return f'{pool}{_PART_MARK}{job[0]}'


def pool_of_part(part: str) -> PoolName:
    """Return the pool that a part of the jobs belongs to."""
    return PoolName(part.rsplit(_PART_MARK, 1)[0])


def all_jobs_parts(pool: PoolName) -> list[str]:
    """Return all parts that the jobs of a pool lie in."""
    return [f'{pool}{_PART_MARK}{digit}' for digit in '0123456789abcdef']


def job_key(pool: PoolName, job: JobId) -> RowKey:
    """Return where a job lies; its row never changes."""
    return RowKey(JOBS, jobs_part(pool, job), job)


def closed_key(pool: PoolName, job: JobId) -> RowKey:
    """Return where the final state of a job lies."""
    return RowKey(STEPS, pool, job)


def cancel_key(pool: PoolName, job: JobId) -> RowKey:
    """Return where the cancelling of a job lies."""
    return RowKey(JOBS, jobs_part(pool, job), f'{job}{_CANCEL_MARK}')


def cancelled_job(key: RowKey) -> JobId | None:
    """Return the job that a row cancels, if it is such a row."""
    if key.key.endswith(_CANCEL_MARK):
        return JobId(key.key.removesuffix(_CANCEL_MARK))
    return None


def step_key(pool: PoolName, step: StepName) -> RowKey:
    """Return where the record of a step lies."""
    return RowKey(STEPS, pool, str(step))


def lease_key(pool: PoolName) -> RowKey:
    """Return where a slice's lease lies."""
    return RowKey(CLAIMS, pool, 'lease')


def member_key(node: str) -> RowKey:
    """Return where a node's entry lies."""
    return RowKey(MEMBERS, '', node)


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """One won claim: its fencing token and the versions of its rows."""

    pool: PoolName
    id: str
    token: Token
    claimed_at: float
