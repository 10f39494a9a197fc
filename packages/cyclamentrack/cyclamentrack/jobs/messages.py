"""Requests between the nodes of a job cell, and their replies."""

import msgspec

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.model import (
    Job,
    JobId,
    JobState,
    Origin,
    QueueName,
    StepName,
)


class AskJobState(msgspec.Struct, frozen=True, kw_only=True, tag='ask-job'):
    """Ask the owner of a slice for a job's state."""

    pool: PoolName
    job: JobId


class JobStateReply(msgspec.Struct, frozen=True, kw_only=True, tag='job-state'):
    """The job's state; ``owned`` is false if the peer isn't the owner.

    The origin is that of the job, ``None`` if there is none.
    """

    owned: bool
    state: JobState | None = None
    origin: Origin | None = None


class AskWaiting(msgspec.Struct, frozen=True, kw_only=True, tag='ask-waiting'):
    """Ask the owner of a slice how many jobs are waiting."""

    pool: PoolName


class WaitingReply(msgspec.Struct, frozen=True, kw_only=True, tag='waiting'):
    """Waiting jobs by queue; ``None`` if the peer doesn't know."""

    counts: dict[QueueName, int] | None = None


class ForwardShow(msgspec.Struct, frozen=True, kw_only=True, tag='fwd-show'):
    """Ask a peer for a job's state when owner and store are unreachable."""

    pool: PoolName
    job: JobId


class ShowReply(msgspec.Struct, frozen=True, kw_only=True, tag='shown'):
    """The state that the peer found; ``known`` is false if it found none.

    A known ``state`` of ``None`` means that there is no such job.
    """

    known: bool
    state: JobState | None = None
    origin: Origin | None = None


class AskPermits(msgspec.Struct, frozen=True, kw_only=True, tag='ask-permits'):
    """Ask a peer to call the permit service from its own instance."""

    step: StepName
    workers: list[WorkerId]
    timeout_s: float


class PermitsReply(msgspec.Struct, frozen=True, kw_only=True, tag='permits'):
    """The permit service's answer to the peer, valid for ``valid_s``.

    ``answered`` is false if there was no usable answer.
    """

    answered: bool
    granted: dict[WorkerId, str] = msgspec.field(default_factory=dict)
    valid_s: float = 0.0


class JobStored(msgspec.Struct, frozen=True, kw_only=True, tag='job-kept'):
    """Notify the owner of a slice of a job that was stored."""

    job: Job


class CancelStored(msgspec.Struct, frozen=True, kw_only=True, tag='stop-kept'):
    """Notify the owner of a slice of a job's cancellation by a queue."""

    pool: PoolName
    job: JobId
    origin: Origin | None = None


class ForwardSubmit(msgspec.Struct, frozen=True, kw_only=True, tag='fwd-job'):
    """Store a job for a node that the store refuses or doesn't answer."""

    job: Job


class ForwardCancel(msgspec.Struct, frozen=True, kw_only=True, tag='fwd-stop'):
    """Cancel a job for a node that the store refuses or doesn't answer.

    With ``job_unknown`` it is cancelled in advance, unless it is stored.
    """

    pool: PoolName
    queue: QueueName
    job: JobId
    origin: Origin | None = None
    job_unknown: bool = False


class TransferSlice(msgspec.Struct, frozen=True, kw_only=True, tag='yield'):
    """Ask a peer to claim a slice from the sender, which owns it.

    ``claim`` is the sender's claim; the peer refuses if there is a newer one.
    """

    pool: PoolName
    claim: str


class OutcomeReply(msgspec.Struct, frozen=True, kw_only=True, tag='verdict'):
    """The outcome of a request, as a ``RequestOutcome`` value.

    ``found`` is the row that was stored under the key already.
    """

    kept: str
    found: bytes | None = None


JobCellMessage = (
    AskJobState
    | JobStateReply
    | AskWaiting
    | WaitingReply
    | ForwardShow
    | ShowReply
    | AskPermits
    | PermitsReply
    | JobStored
    | CancelStored
    | ForwardSubmit
    | ForwardCancel
    | TransferSlice
    | OutcomeReply
)
