"""Row keys of the job cell, and the rows that it stores besides jobs."""

import zlib

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
# A store that takes 40 times its usual 4 ms still accepts 400 jobs a second.
# A new owner reads each part that holds rows.
_JOBS_PARTS = 64


class Lease(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The lease of a slice, renewed while its owner is alive.

    ``released`` means that the owner has given the slice up. ``waiting``
    counts by queue the jobs of which no task has started; it is ``None`` until
    the owner has recovered. ``shapes`` are the shapes of all workers that the
    pool has had, at most ``MAX_SHAPES``.
    """

    node: str
    claim: str
    address: str
    number: int
    released: bool = False
    waiting: dict[QueueName, int] | None = None
    shapes: tuple[Shape, ...] = ()


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One node of the cell, with its address and its capacity.

    ``cores`` is its share of the processor in cores, and ``link_mbps`` the
    bandwidth of its link; 0 means unknown.
    """

    node: str
    incarnation: str
    address: str
    zone: str
    cores: float = 0.0
    link_mbps: float = 0.0


def jobs_part(pool: PoolName, job: JobId) -> str:
    """Return the part that a job's rows belong to, one of many of its pool.

    The store carries out the writes of a part one after another. Jobs have
    parts of their own so that accepting one never waits behind the slice's
    journal, nor behind many other jobs when the store is slow.
    """
    number = zlib.crc32(job.encode()) % _JOBS_PARTS
    return f'{pool}{_PART_MARK}{number:02x}'


def pool_of_part(part: str) -> PoolName:
    """Return the pool that a part of the jobs table belongs to."""
    return PoolName(part.rsplit(_PART_MARK, 1)[0])


def all_jobs_parts(pool: PoolName) -> list[str]:
    """Return all parts that jobs of a pool are stored in."""
    return [f'{pool}{_PART_MARK}{number:02x}' for number in range(_JOBS_PARTS)]


def job_key(pool: PoolName, job: JobId) -> RowKey:
    """Return the key of a job; its row never changes."""
    return RowKey(JOBS, jobs_part(pool, job), job)


def closed_key(pool: PoolName, job: JobId) -> RowKey:
    """Return the key of a job's final state."""
    return RowKey(STEPS, pool, job)


def cancel_key(pool: PoolName, job: JobId) -> RowKey:
    """Return the key of the row that cancels a job."""
    return RowKey(JOBS, jobs_part(pool, job), f'{job}{_CANCEL_MARK}')


def former_job_keys(pool: PoolName, job: JobId) -> tuple[RowKey, RowKey]:
    """Return the job's and its cancellation's keys of earlier versions.

    These had 16 parts, by the first digit of the job's id.
    """
    part = f'{pool}{_PART_MARK}{job[0]}'
    return RowKey(JOBS, part, job), RowKey(JOBS, part, f'{job}{_CANCEL_MARK}')


def cancelled_job(key: RowKey) -> JobId | None:
    """Return the job that a row cancels, or ``None`` for other rows."""
    if key.key.endswith(_CANCEL_MARK):
        return JobId(key.key.removesuffix(_CANCEL_MARK))
    return None


def step_key(pool: PoolName, step: StepName) -> RowKey:
    """Return the key of a step's record."""
    return RowKey(STEPS, pool, str(step))


def lease_key(pool: PoolName) -> RowKey:
    """Return the key of a slice's lease."""
    return RowKey(CLAIMS, pool, 'lease')


def member_key(node: str) -> RowKey:
    """Return the key of a node's member entry."""
    return RowKey(MEMBERS, '', node)


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A successful claim and its fencing token.

    The token is also the version of the head and lease rows that the claim
    wrote. ``claimed_at`` is in seconds of trio's clock.
    """

    pool: PoolName
    id: str
    token: Token
    claimed_at: float
