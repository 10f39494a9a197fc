"""Jobs of steps, the queues they come through, and the workers they run on."""

import enum
from typing import NewType

import msgspec

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.resources import Resources

JobId = NewType('JobId', str)
"""Id of a job, chosen by the caller: 16 hexadecimal digits."""

QueueName = NewType('QueueName', str)
"""Name of a queue, as the configuration gives it."""

Token = NewType('Token', int)
"""Fencing token of one claim of a slice; a later claim has a higher one."""


class JobState(enum.Enum):
    """What a caller is told about its job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class End(enum.Enum):
    """How a run ended, as its worker reports it."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class PermitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """What one permit decision of a queue costs and how long it holds.

    Times are in seconds: ``decide_s`` for each call, ``each_s`` more for each
    worker that it names.
    """

    decide_s: float
    each_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """One queue of the configuration in force.

    ``stretch`` times a job's longest chain of work, and ``target_s`` more, is
    the time within which its job should end. Priority 0 comes first.
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


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; versions only rise."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[PoolName, ...]
    max_body_bytes: int

    def route(self, *, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path."""
        fitting = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            fitting,
            key=lambda queue: len(queue.path_prefix),
            default=None,
        )

    def queue(self, name: QueueName) -> Queue | None:
        """Return a queue by its name."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of one shape that become ready together.

    ``after`` holds the numbers of earlier steps that must be done first. Zero
    in ``max_per_worker`` means no limit, zero in ``serving_target_ms`` that
    the tasks serve nobody. ``may_miss`` is how many lasting tasks may be away
    at a time by our own doing.
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
    """One accepted job, as it is kept.

    ``repeat`` above zero makes that many occurrences; each is due at
    ``start_at_s`` plus its number times ``interval_s``, as Unix time.
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

    @property
    def timed(self) -> bool:
        """Whether the job has due times."""
        return self.repeat > 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(self.repeat, 1)


class WorkerState(enum.Enum):
    """Whether a worker takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One worker as the platform lists it.

    ``incarnation`` tells one start of the worker from another under the same
    id.
    """

    id: WorkerId
    pool: PoolName
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    state: WorkerState
    incarnation: int

    @property
    def rack(self) -> str:
        """The rack, the last of the labels."""
        return self.labels[-1] if self.labels else ''


# Shapes travel with each renewal of a lease. A list of so many may lack some.
MAX_SHAPES = 64


class Shape(msgspec.Struct, frozen=True, array_like=True):
    """What some worker of a pool has: its capacity and its labels."""

    capacity: Resources
    labels: tuple[str, ...]


class TaskName(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Names one task: job, occurrence, step and index within the step."""

    job: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Return the dotted form that workers know."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'


class StepName(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Names one step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the dotted form that the permit service knows."""
        return f'{self.job}.{self.occurrence}.{self.step}'


def parse_task(text: str) -> TaskName | None:
    """Return the task that a dotted name means, or ``None``."""
    parts = text.split('.')
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    job, occurrence, step, index = parts
    return TaskName(JobId(job), int(occurrence), int(step), int(index))
