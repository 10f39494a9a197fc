"""Work as callers submit it, and the views that they get of it."""

import enum
import hashlib
from typing import Annotated

import msgspec

from cyclamentrack import defaults
from cyclamentrack.errors import Problem, Ran
from cyclamentrack.ids import PartitionId, PoolName, TeamName, WorkId
from cyclamentrack.resources import Resources

_NAME = r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$'
_NAME_OR_EMPTY = r'^([A-Za-z0-9][A-Za-z0-9._:-]{0,127})?$'
_MAX_RUN_S = 30 * 86_400


class Kind(enum.Enum):
    """The kinds of work, each with a placement policy of its own."""

    LOOKUP = 'lookup'
    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class Urgency(enum.Enum):
    """How soon work should start, from most to least urgent."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    DEFERRABLE = 'deferrable'


class Stage(enum.Enum):
    """The stage of a work between accept and end."""

    QUEUED = 'queued'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'outcome-unknown'


class Outcome(enum.Enum):
    """How one attempt at a task ended.

    ``LOST`` means that it may have run in part or whole, and that this can't
    be found out any more. ``NEVER`` means that it didn't start and never will.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LOST = 'lost'
    NEVER = 'never-started'


FINAL_STAGES = frozenset(
    (Stage.SUCCEEDED, Stage.FAILED, Stage.CANCELLED, Stage.UNKNOWN),
)


class Work(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One piece of work.

    ``run_s`` is the declared run time of a task in seconds. ``deadline_s`` is
    how long the work may wait before its first start, in seconds from accept.
    The id is chosen by the caller: sending the same id with the same content
    again doesn't create another work. ``workload`` names what is run, for
    instance a program; failure counts are kept by workload.
    """

    id: Annotated[WorkId, msgspec.Meta(pattern=_NAME)]
    kind: Kind
    team: Annotated[TeamName, msgspec.Meta(pattern=_NAME)]
    pool: Annotated[PoolName, msgspec.Meta(pattern=_NAME)]
    resources: Resources
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    tasks: Annotated[
        int, msgspec.Meta(ge=1, le=defaults.MAX_TASKS_PER_WORK)
    ] = 1
    run_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_RUN_S)] = 60.0
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_RUN_S)] | None = (
        None
    )
    workload: Annotated[str, msgspec.Meta(pattern=_NAME_OR_EMPTY)] = ''
    payload: Annotated[
        str, msgspec.Meta(max_length=defaults.MAX_PAYLOAD_BYTES)
    ] = ''


class WorkView(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a work as its caller gets it.

    ``answers`` has one entry per task, in task order, once the work has
    ended, and is empty before. ``ran`` says whether any task ever started.
    """

    id: WorkId
    stage: Stage
    ran: Ran
    tasks: int
    running: int = 0
    done: int = 0
    answers: list[str] = []
    reason: str = ''


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to one item of a request: a view or a problem."""

    id: WorkId
    view: WorkView | None = None
    problem: Problem | None = None


def partition_of(name: str, partitions: int) -> PartitionId:
    """Return the partition that a work id or a rack name hashes to.

    >>> partition_of('night-export', 64) == partition_of('night-export', 64)
    True
    """
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return PartitionId(int.from_bytes(digest, 'big') % partitions)
