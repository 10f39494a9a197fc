"""Row keys of the job cell, and the rows that it stores besides jobs."""

import zlib

import msgspec

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.admission import PoolFigures
from cyclamentrack.jobs.model import (
    InstanceId,
    JobId,
    Origin,
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
VOTERS = '.voters'
ALLOTMENTS = 'allotments'

_CANCEL_MARK = '/cancel'
_PART_MARK = '/'
# A store that takes 40 times its usual 4 ms still accepts 400 jobs a second.
# A new owner reads each part that holds rows.
_JOBS_PARTS = 64


class Lease(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The lease of a slice, renewed while its owner is alive.

    ``released`` means that the owner has given the slice up, and ``retired``
    that it had nothing left and wasn't configured any more. ``waiting``
    counts by queue the jobs of which no task has started; it is ``None`` until
    the owner has recovered. ``shapes`` are the shapes of all workers that the
    pool has had, at most ``MAX_SHAPES``. ``figures`` are those of admission
    control, ``None`` in leases of earlier versions and until the owner has
    recovered.
    """

    node: str
    claim: str
    address: str
    number: int
    released: bool = False
    retired: bool = False
    waiting: dict[QueueName, int] | None = None
    shapes: tuple[Shape, ...] = ()
    figures: PoolFigures | None = None


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One node of the cell, with its address and its capacity.

    ``cores`` is its share of the processor in cores, and ``link_mbps`` the
    bandwidth of its link, ``memory_mb`` the memory of the process; 0 means
    unknown. A node that has ``left`` isn't a
    member any more. A ``doubted`` one was silent for its peers, and writes its
    row anew if it lives.
    """

    node: str
    incarnation: str
    address: str
    zone: str
    cores: float = 0.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    left: bool = False
    doubted: bool = False


class Cancellation(Origin, frozen=True, kw_only=True, omit_defaults=True):
    """The row that cancels a job: the queue and account that did.

    ``job_unknown`` marks a tombstone: there was no such job, and a submission
    of it that is stored later must not start it. Earlier versions store and
    read an ``Origin`` alone.
    """

    job_unknown: bool = False


def jobs_part(job: JobId) -> str:
    """Return the part that a job's rows belong to, by the job's id alone.

    The configuration may move a queue to another pool, and the job stays one
    job. The store carries out the writes of a part one after another, so jobs
    have many parts and none behind the journal of a slice: accepting one
    doesn't wait long even when the store is slow.
    """
    number = zlib.crc32(job.encode()) % _JOBS_PARTS
    return f'{_PART_MARK}{number:02x}'


def may_hold_jobs_of(pool: PoolName, part: str) -> bool:
    """Return whether a part of the jobs table may have jobs of a pool.

    Earlier versions had parts for each pool.
    """
    former_pool = part.rsplit(_PART_MARK, 1)[0]
    return not former_pool or former_pool == pool


def all_jobs_parts() -> list[str]:
    """Return all parts that jobs are stored in."""
    return [f'{_PART_MARK}{number:02x}' for number in range(_JOBS_PARTS)]


def job_key(job: JobId) -> RowKey:
    """Return the key of a job; its row never changes."""
    return RowKey(JOBS, jobs_part(job), job)


def closed_key(pool: PoolName, job: JobId) -> RowKey:
    """Return the key of a job's final state."""
    return RowKey(STEPS, pool, job)


def cancel_key(job: JobId) -> RowKey:
    """Return the key of the row that cancels a job."""
    return cancel_key_beside(job_key(job))


def cancel_key_beside(job: RowKey) -> RowKey:
    """Return the key of the row that cancels the job of a row."""
    return RowKey(JOBS, job.part, f'{job.key}{_CANCEL_MARK}')


def former_job_keys(pool: PoolName, job: JobId) -> tuple[RowKey, ...]:
    """Return the keys that earlier versions stored a job of a pool under.

    They had parts for each pool: 64 by a hash of the job's id, and before that
    16 by its first digit.
    """
    return (
        RowKey(JOBS, f'{pool}{jobs_part(job)}', job),
        RowKey(JOBS, f'{pool}{_PART_MARK}{job[0]}', job),
    )


def cancelled_job(key: RowKey) -> JobId | None:
    """Return the job that a row cancels, or ``None`` for other rows."""
    if key.key.endswith(_CANCEL_MARK):
        return JobId(key.key.removesuffix(_CANCEL_MARK))
    return None


def step_key(pool: PoolName, step: StepName, first: int = 0) -> RowKey:
    """Return the key of the row of a step's tasks from the first one on.

    Earlier versions had all tasks of a step in the row of task 0.
    """
    return RowKey(STEPS, pool, f'{step}.{first}' if first else str(step))


def recorded_job(key: RowKey) -> JobId | None:
    """Return the job that a row of the journal records, or ``None``."""
    job, _, step = key.key.partition('.')
    return JobId(job) if job and step else None


def lease_key(pool: PoolName) -> RowKey:
    """Return the key of a slice's lease."""
    return RowKey(CLAIMS, pool, 'lease')


def member_key(node: str) -> RowKey:
    """Return the key of a node's member entry."""
    return RowKey(MEMBERS, '', node)


def voters_key(pool: PoolName) -> RowKey:
    """Return the key of the record of a slice's voters.

    Versions without voters read it as the step of a job that has ended, and
    remove it.
    """
    return RowKey(STEPS, pool, VOTERS)


def allotment_key(account: AccountName) -> RowKey:
    """Return the key of an account's allotments."""
    return RowKey(ALLOTMENTS, '', account)


class Voter(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a worker whose answers vouch for a slice's owner."""

    incarnation: int
    instance: InstanceId


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A successful claim and its fencing token.

    The token is also the version of the head and lease rows that the claim
    wrote. ``requested_at`` and ``claimed_at`` are the times before the call to
    the store and after its answer, in seconds of trio's clock;
    ``suspended_s`` is how long the machine had been suspended before the call.
    """

    pool: PoolName
    id: str
    token: Token
    requested_at: float
    claimed_at: float
    suspended_s: float = 0.0
