"""Data model of jobs and steps, queues, workers and the configuration."""

import enum
import functools
from typing import NewType

import msgspec

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.accounts import (
    NO_ACCOUNT,
    Access,
    AccountIndex,
    AccountName,
    ClientAccount,
)
from cyclamentrack.jobs.queue_index import QueueIndex
from cyclamentrack.resources import Resources

JobId = NewType('JobId', str)
"""Id of a job, chosen by the caller: 16 hexadecimal digits."""

QueueName = NewType('QueueName', str)
"""Name of a queue, as the configuration gives it."""

Token = NewType('Token', int)
"""Fencing token of one claim of a slice; a later claim has a higher one."""


InstanceId = NewType('InstanceId', str)
"""Id of the machine that a worker runs on."""


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class End(enum.Enum):
    """How a run ended, as reported by its worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class PermitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How long a permit decision of a queue takes and how long it is valid.

    Times are in seconds: a call takes ``decide_s`` plus ``each_s`` for each
    worker that it names.
    """

    decide_s: float
    each_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One queue, as one version of the configuration defines it.

    A job should end within ``target_s`` plus ``stretch`` times the length of
    its critical path. Priority 0 comes first. Requests to a ``public`` queue
    need no key of a client account.
    """

    name: QueueName
    host: str
    path_prefix: str
    pool: PoolName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    permits: PermitPolicy | None = None
    public: bool = False

    @property
    def address(self) -> str:
        """Where callers reach the queue: host and prefix of the path."""
        return f'{self.host}{self.path_prefix}'

    @property
    def origin(self) -> 'Origin':
        """The origin of jobs that the queue accepts of no account."""
        return self.origin_of(NO_ACCOUNT)

    def origin_of(self, account: AccountName) -> 'Origin':
        """Return the origin of jobs that the queue accepts of an account."""
        return Origin(queue=self.name, address=self.address, account=account)


class Origin(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The queue and account that a job was accepted of, and the address then.

    Rows of earlier versions lack the address and the account.
    """

    queue: QueueName
    address: str = ''
    account: AccountName = NO_ACCOUNT

    def matches(self, other: 'Origin') -> bool:
        """Return whether both are one queue, by its name or its address.

        The configuration may change either of them. Two different accounts
        never match; a request of no account may concern any job of its queue.
        """
        if self.account and other.account and self.account != other.account:
            return False
        if self.queue == other.queue:
            return True
        return bool(self.address) and self.address == other.address


class Configuration(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """One version of the configuration; version numbers only increase.

    Without ``accounts``, requests need no keys.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolName, ...]
    max_body_bytes: int
    accounts: tuple[ClientAccount, ...] | None = None

    @functools.cached_property
    def index(self) -> QueueIndex:
        """The queues by name and by route."""
        return QueueIndex(self.queues)

    def route(self, *, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix of the path."""
        return self.index.route(host=host, path=path)

    def queue(self, name: QueueName) -> Queue | None:
        """Return a queue by its name, ``None`` if there is none."""
        return self.index.named(name)

    @functools.cached_property
    def account_index(self) -> AccountIndex:
        """The accounts by key and by name."""
        return AccountIndex(self.accounts or ())

    def authenticate(self, queue: Queue, key: str) -> ClientAccount | Access:
        """Return the account with a key, or why there is none.

        ``key`` is empty if a request has none.
        """
        if self.accounts is None:
            return Access.PUBLIC
        found = self.account_index.with_key(key)
        if found is not None:
            return found
        return Access.PUBLIC if queue.public else Access.UNKNOWN_KEY


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks with the same requirements that become ready together.

    ``after`` holds the numbers of earlier steps that must be done first. Zero
    in ``max_per_worker`` means no limit, zero in ``serving_target_ms`` that
    the tasks have no response time target. ``lasting`` tasks run until they
    are stopped, and ``may_miss`` is how many of them the scheduler itself may
    stop at a time. ``fills`` marks best-effort tasks, which use processors
    that others leave idle.
    """

    count: int
    need: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    requires: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ''
    serving_target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


class Job(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One accepted job, as it is stored.

    A ``repeat`` above zero gives that many occurrences; each is due at the
    Unix time ``start_at_s`` plus its number, from 0, times ``interval_s``.
    ``terms`` is the queue as it was configured at acceptance; rows of earlier
    versions lack it. ``account`` is empty for jobs of public queues.
    """

    id: JobId
    queue: QueueName
    pool: PoolName
    payload: str
    steps: tuple[Step, ...]
    accepted_at_s: float
    repeat: int = 0
    start_at_s: float = 0.0
    interval_s: float = 0.0
    terms: Queue | None = None
    account: AccountName = NO_ACCOUNT

    @property
    def origin(self) -> Origin:
        """The queue and account that the job was accepted of."""
        if self.terms:
            return self.terms.origin_of(self.account)
        return Origin(queue=self.queue, account=self.account)

    @property
    def timed(self) -> bool:
        """Whether the job's occurrences have due times."""
        return self.repeat > 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(self.repeat, 1)


class WorkerState(enum.Enum):
    """Whether a worker accepts new work."""

    READY = 'ready'
    DRAINING = 'draining'


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One worker as the platform lists it.

    ``incarnation`` tells one start of the worker from another under the same
    id, and rises over all workers of an ``instance``. An instance runs one
    worker at a time; it is empty if the platform doesn't name it.
    """

    id: WorkerId
    pool: PoolName
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    state: WorkerState
    incarnation: int
    instance: InstanceId = InstanceId('')

    @property
    def rack(self) -> str:
        """The rack: the last label, or empty without labels."""
        return self.labels[-1] if self.labels else ''


# Each renewal of a lease carries the shapes, so their number is limited. A
# list of this length may be incomplete.
MAX_SHAPES = 64


class Shape(msgspec.Struct, frozen=True, array_like=True):
    """Capacity and labels that some workers of a pool have in common."""

    capacity: Resources
    labels: tuple[str, ...]


class TaskName(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name of one task: job, occurrence, step and index within the step."""

    job: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Return the dotted form that is sent to workers."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'


class StepName(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name of one step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the dotted form that is sent to the permit service."""
        return f'{self.job}.{self.occurrence}.{self.step}'


def parse_task(text: str) -> TaskName | None:
    """Parse a dotted task name, ``None`` if it isn't one."""
    parts = text.split('.')
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    job, occurrence, step, index = parts
    return TaskName(JobId(job), int(occurrence), int(step), int(index))
