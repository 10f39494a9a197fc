"""Messages between daemons, each a typed class."""

import msgspec

from cyclamentrack.errors import Problem
from cyclamentrack.ids import (
    AttemptId,
    BootId,
    DaemonId,
    Epoch,
    Incarnation,
    PartitionId,
    PoolName,
    Revision,
    TeamName,
    WorkerId,
    WorkId,
)
from cyclamentrack.jobs.messages import JobCellMessage
from cyclamentrack.resources import Resources
from cyclamentrack.work import Answer, Kind, Outcome, Work

PROTOCOL_VERSION = 1


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """The sender of a request: the owner of a partition, with its epoch."""

    daemon: DaemonId
    incarnation: Incarnation
    partition: PartitionId
    epoch: Epoch


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Where an attempt was placed: the worker, its rack and its boot id."""

    worker: WorkerId
    rack: str
    boot: BootId


class SubmitWork(msgspec.Struct, frozen=True, kw_only=True, tag='submit'):
    """Accept works; the reply is ``Answers``."""

    works: list[Work]
    deadline_s: float


class ShowWork(msgspec.Struct, frozen=True, kw_only=True, tag='show'):
    """Return a work's state once it ended or after ``wait_s`` seconds."""

    id: WorkId
    wait_s: float = 0


class CancelWork(msgspec.Struct, frozen=True, kw_only=True, tag='cancel'):
    """Cancel works; the reply is ``Answers``."""

    ids: list[WorkId]


class Answers(msgspec.Struct, frozen=True, kw_only=True, tag='answers'):
    """One answer for each item of the request, in its order."""

    answers: list[Answer]


class RunLookup(msgspec.Struct, frozen=True, kw_only=True, tag='lookup'):
    """Run a lookup on a worker that the receiver owns."""

    work: Work
    deadline_s: float


class LookupDone(msgspec.Struct, frozen=True, kw_only=True, tag='looked-up'):
    """The answer to a lookup, or the problem that prevented it."""

    answer: str = ''
    problem: Problem | None = None


class AttemptRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt and the capacity that it needs."""

    attempt: AttemptId
    kind: Kind
    pool: PoolName
    resources: Resources
    run_s: float
    workload: str = ''


class Reserve(msgspec.Struct, frozen=True, kw_only=True, tag='reserve'):
    """Reserve capacity for attempts until confirmed, released or expired.

    With ``partial``, a gang may get capacity for only some of its tasks.
    ``owed`` says that the work's urgency or team has less than its fair
    share, so the receiver may free capacity for it.
    """

    origin: Origin
    needs: list[AttemptRequest]
    partial: bool = False
    owed: bool = False


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """The worker on which capacity is reserved for one attempt."""

    attempt: AttemptId
    site: Site


class Reserved(msgspec.Struct, frozen=True, kw_only=True, tag='reserved'):
    """The attempts that got a reservation; the others got none."""

    grants: list[Grant]


class Release(msgspec.Struct, frozen=True, kw_only=True, tag='release'):
    """Release reservations, and refuse their requests if they arrive later."""

    origin: Origin
    attempts: list[AttemptId]


class Confirmation(msgspec.Struct, frozen=True, kw_only=True):
    """What the worker's owner needs to start a reserved attempt."""

    attempt: AttemptId
    payload: str


class Confirm(msgspec.Struct, frozen=True, kw_only=True, tag='confirm'):
    """Start reserved attempts; their intents are durable."""

    origin: Origin
    confirmations: list[Confirmation]


class Confirmed(msgspec.Struct, frozen=True, kw_only=True, tag='confirmed'):
    """The attempts that can't start because they have no reservation."""

    refused: list[AttemptId]


class Revocation(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to stop or to bar from starting, and its placement."""

    attempt: AttemptId
    site: Site
    stop: bool


class Revoke(msgspec.Struct, frozen=True, kw_only=True, tag='revoke'):
    """Resolve attempts in doubt.

    Running attempts are stopped if their ``stop`` is set. Attempts that have
    not started are barred from starting.
    """

    origin: Origin
    revocations: list[Revocation]


class AttemptEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended."""

    attempt: AttemptId
    outcome: Outcome
    answer: str = ''


class AttemptStates(msgspec.Struct, frozen=True, kw_only=True, tag='settled'):
    """The known states of attempts.

    The state of an attempt in neither list isn't known yet; the owner of the
    work asks again.
    """

    ended: list[AttemptEnd]
    running: list[AttemptId]


class ReportEnds(msgspec.Struct, frozen=True, kw_only=True, tag='ends'):
    """Report ended attempts to the owner of their works."""

    settlements: list[AttemptEnd]


class EndsRecorded(msgspec.Struct, frozen=True, kw_only=True, tag='ends-kept'):
    """The reported attempts whose ends are durable; workers may forget them."""

    attempts: list[AttemptId]


class PoolSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Free capacity of a daemon's workers in one pool.

    ``largest`` is, for each resource, the most that is free on one worker.
    """

    pool: PoolName
    free: Resources
    largest: Resources
    slots: int
    capacity: Resources
    largest_worker: Resources


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """Resources of a team's running tasks, for the works of one daemon."""

    team: TeamName
    used: Resources


class Summary(msgspec.Struct, frozen=True, kw_only=True, tag='summary'):
    """A daemon's free capacity, usage by team and configuration revision."""

    daemon: DaemonId
    incarnation: Incarnation
    revision: Revision
    pools: list[PoolSummary]
    queued: int
    teams: list[TeamUsage] = []


class ConfigChanged(msgspec.Struct, frozen=True, kw_only=True, tag='config'):
    """Notify a peer that a ticket was accepted at this revision."""

    revision: Revision


class Done(msgspec.Struct, frozen=True, kw_only=True, tag='done'):
    """The request was carried out and has no other result."""


class Declined(msgspec.Struct, frozen=True, kw_only=True, tag='declined'):
    """The receiver can't carry out the request; ``problem`` says why."""

    problem: Problem


PeerMessage = (
    SubmitWork
    | ShowWork
    | CancelWork
    | Answers
    | RunLookup
    | LookupDone
    | Reserve
    | Reserved
    | Release
    | Confirm
    | Confirmed
    | Revoke
    | AttemptStates
    | ReportEnds
    | EndsRecorded
    | Summary
    | ConfigChanged
    | Done
    | Declined
    | JobCellMessage
)
