"""Messages between daemons, one typed class each."""

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
    """Who asks: the owner of a work's partition, with its epoch."""

    daemon: DaemonId
    incarnation: Incarnation
    partition: PartitionId
    epoch: Epoch


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Where an attempt was placed: the worker, its rack and its boot."""

    worker: WorkerId
    rack: str
    boot: BootId


class SubmitWork(msgspec.Struct, frozen=True, kw_only=True, tag='submit'):
    """Accept works; answered by ``Answers``."""

    works: list[Work]
    deadline_s: float


class ShowWork(msgspec.Struct, frozen=True, kw_only=True, tag='show'):
    """Return a work's state, after it ended or ``wait_s`` seconds."""

    id: WorkId
    wait_s: float = 0


class CancelWork(msgspec.Struct, frozen=True, kw_only=True, tag='cancel'):
    """Cancel works; answered by ``Answers``."""

    ids: list[WorkId]


class Answers(msgspec.Struct, frozen=True, kw_only=True, tag='answers'):
    """Answers in the order of the request's items."""

    answers: list[Answer]


class RunLookup(msgspec.Struct, frozen=True, kw_only=True, tag='lookup'):
    """Run a lookup on a worker of the peer."""

    work: Work
    deadline_s: float


class LookupDone(msgspec.Struct, frozen=True, kw_only=True, tag='looked-up'):
    """The answer to a lookup, or the problem that it met."""

    answer: str = ''
    problem: Problem | None = None


class AttemptRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What one attempt asks room for."""

    attempt: AttemptId
    kind: Kind
    pool: PoolName
    resources: Resources
    run_s: float
    workload: str = ''


class Reserve(msgspec.Struct, frozen=True, kw_only=True, tag='reserve'):
    """Hold room for attempts until confirmed, cancelled or expired.

    With ``partial`` a gang may get room for some of its tasks. ``owed`` says
    that the work's urgency or team holds less than its due.
    """

    origin: Origin
    needs: list[AttemptRequest]
    partial: bool = False
    owed: bool = False


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Room held for one attempt."""

    attempt: AttemptId
    site: Site


class Reserved(msgspec.Struct, frozen=True, kw_only=True, tag='reserved'):
    """The attempts that got room; the others got none."""

    grants: list[Grant]


class Release(msgspec.Struct, frozen=True, kw_only=True, tag='release'):
    """Give reservations back, and refuse them if they come late."""

    origin: Origin
    attempts: list[AttemptId]


class Confirmation(msgspec.Struct, frozen=True, kw_only=True):
    """What the owner of a reservation needs to start its attempt."""

    attempt: AttemptId
    payload: str


class Confirm(msgspec.Struct, frozen=True, kw_only=True, tag='confirm'):
    """Start reserved attempts; their intents are committed."""

    origin: Origin
    confirmations: list[Confirmation]


class Confirmed(msgspec.Struct, frozen=True, kw_only=True, tag='confirmed'):
    """The attempts that can't start: no reservation is held for them."""

    refused: list[AttemptId]


class Revocation(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to stop or to seal, and where it was placed."""

    attempt: AttemptId
    site: Site
    stop: bool


class Revoke(msgspec.Struct, frozen=True, kw_only=True, tag='revoke'):
    """Settle attempts: stop those that run if asked, seal the others."""

    origin: Origin
    revocations: list[Revocation]


class AttemptEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended."""

    attempt: AttemptId
    outcome: Outcome
    answer: str = ''


class AttemptStates(msgspec.Struct, frozen=True, kw_only=True, tag='settled'):
    """What is known of attempts.

    An attempt in neither list can't be told yet; it is asked about again.
    """

    ended: list[AttemptEnd]
    running: list[AttemptId]


class ReportEnds(msgspec.Struct, frozen=True, kw_only=True, tag='ends'):
    """Attempts that ended, told to the owner of their work."""

    settlements: list[AttemptEnd]


class EndsKept(msgspec.Struct, frozen=True, kw_only=True, tag='ends-kept'):
    """The ends that are on record, which a worker may now forget."""

    attempts: list[AttemptId]


class PoolSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Free room of a daemon's workers in one pool.

    ``largest`` is the largest single free block in each dimension.
    """

    pool: PoolName
    free: Resources
    largest: Resources
    slots: int
    capacity: Resources
    largest_worker: Resources


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a team's running tasks hold, for works of one daemon."""

    team: TeamName
    used: Resources


class Summary(msgspec.Struct, frozen=True, kw_only=True, tag='summary'):
    """A daemon's room and the configuration that it has in force."""

    daemon: DaemonId
    incarnation: Incarnation
    revision: Revision
    pools: list[PoolSummary]
    queued: int
    teams: list[TeamUsage] = []


class ConfigChanged(msgspec.Struct, frozen=True, kw_only=True, tag='config'):
    """A ticket was accepted at this revision."""

    revision: Revision


class Done(msgspec.Struct, frozen=True, kw_only=True, tag='done'):
    """The message was taken in."""


class Declined(msgspec.Struct, frozen=True, kw_only=True, tag='declined'):
    """The peer can't do it: it isn't the owner, or no longer."""

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
    | EndsKept
    | Summary
    | ConfigChanged
    | Done
    | Declined
    | JobCellMessage
)
