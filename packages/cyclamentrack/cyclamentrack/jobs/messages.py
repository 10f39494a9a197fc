"""Requests between the nodes of a job cell, and their replies."""

import msgspec

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.model import Job, JobId, JobState, QueueName, StepName


class AskJobState(msgspec.Struct, frozen=True, kw_only=True, tag='ask-job'):
    """Ask the owner of a slice what it tells callers of a job."""

    pool: PoolName
    job: JobId


class JobStateIs(msgspec.Struct, frozen=True, kw_only=True, tag='job-state'):
    """The owner's word; ``owned`` is false when it doesn't own the slice."""

    owned: bool
    state: JobState | None = None


class AskWaiting(msgspec.Struct, frozen=True, kw_only=True, tag='ask-waiting'):
    """Ask the owner of a slice how many jobs wait."""

    pool: PoolName


class WaitingIs(msgspec.Struct, frozen=True, kw_only=True, tag='waiting'):
    """The owner's counts by queue; ``None`` from one that can't tell."""

    counts: dict[QueueName, int] | None = None


class ForwardShow(msgspec.Struct, frozen=True, kw_only=True, tag='fwd-show'):
    """Tell a job's state for a node that knows neither owner nor store."""

    pool: PoolName
    job: JobId


class ShownIs(msgspec.Struct, frozen=True, kw_only=True, tag='shown'):
    """What the peer would tell a caller of its own."""

    known: bool
    state: JobState | None = None


class AskPermits(msgspec.Struct, frozen=True, kw_only=True, tag='ask-permits'):
    """Ask a peer to call the permit service from its own instance."""

    step: StepName
    workers: list[WorkerId]
    timeout_s: float


class PermitsAre(msgspec.Struct, frozen=True, kw_only=True, tag='permits'):
    """What the permit service answered the peer, if it did."""

    answered: bool
    granted: dict[WorkerId, str] = msgspec.field(default_factory=dict)
    valid_s: float = 0.0


class JobKept(msgspec.Struct, frozen=True, kw_only=True, tag='job-kept'):
    """Tell the owner of a slice at once of a job that was kept."""

    job: Job


class CancelKept(msgspec.Struct, frozen=True, kw_only=True, tag='stop-kept'):
    """Tell the owner of a slice at once of a cancelling that was kept."""

    pool: PoolName
    job: JobId


class ForwardSubmit(msgspec.Struct, frozen=True, kw_only=True, tag='fwd-job'):
    """Keep a job for a node that the store turns away."""

    job: Job


class ForwardCancel(msgspec.Struct, frozen=True, kw_only=True, tag='fwd-stop'):
    """Cancel a job for a node that the store turns away."""

    pool: PoolName
    queue: QueueName
    job: JobId


class YieldSlice(msgspec.Struct, frozen=True, kw_only=True, tag='yield'):
    """Claim a slice from its owner, which the store has left."""

    pool: PoolName
    claim: str


class Verdict(msgspec.Struct, frozen=True, kw_only=True, tag='verdict'):
    """What came of a forwarded request, as a ``RequestOutcome`` value."""

    kept: str


JobCellMessage = (
    AskJobState
    | JobStateIs
    | AskWaiting
    | WaitingIs
    | ForwardShow
    | ShownIs
    | AskPermits
    | PermitsAre
    | JobKept
    | CancelKept
    | ForwardSubmit
    | ForwardCancel
    | YieldSlice
    | Verdict
)
