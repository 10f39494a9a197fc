"""What callers ask of a node: submit, show, cancel, and count what waits.

Every node keeps jobs in the store by itself, so that acceptance depends on no
owner. The state of a job is its owner's to tell.
"""

import logging

import msgspec
import trio

from cyclamentrack.codec import decode
from cyclamentrack.errors import PeerUnreachableError, StoreUncertainError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.cell import JobCell
from cyclamentrack.jobs.fleet import could_hold
from cyclamentrack.jobs.messages import (
    AskJobState,
    AskPermits,
    AskWaiting,
    CancelKept,
    ForwardCancel,
    ForwardShow,
    ForwardSubmit,
    JobCellMessage,
    JobKept,
    JobStateIs,
    PermitsAre,
    ShownIs,
    Verdict,
    WaitingIs,
    YieldSlice,
)
from cyclamentrack.jobs.model import (
    MAX_SHAPES,
    Job,
    JobId,
    JobState,
    Queue,
    QueueName,
)
from cyclamentrack.jobs.persistence import (
    RequestOutcome,
    RequestWriter,
    cancel_batch,
    job_batch,
)
from cyclamentrack.jobs.ports import StoreRefusedError
from cyclamentrack.jobs.records import closed_key, job_key
from cyclamentrack.jobs.registry import Closed

_log = logging.getLogger(__name__)

_OWNER_ANSWER_S = 0.25
_PEER_ANSWER_S = 0.5
_PEERS_ASKED = 3


class Shown(msgspec.Struct, frozen=True, kw_only=True):
    """A job's state, or that it can't be told, or that there is none."""

    state: JobState | None = None
    known: bool = True


class JobService:
    """Answers callers and peers on one node."""

    def __init__(self, *, cell: JobCell) -> None:
        """Work on one node's view of the cell."""
        self._cell = cell
        self._store = cell.parts.store
        self._keeper = RequestWriter(
            store=cell.parts.store,
            peers=cell.parts.peers,
            addresses=cell.peer_addresses,
        )

    async def submit(
        self, job: Job, *, caller_timeout_s: float
    ) -> RequestOutcome:
        """Keep a job; one of the same id that is kept already is the same."""
        if not self._could_run(job):
            return RequestOutcome.IMPOSSIBLE
        kept = await self._keeper.keep(
            job_batch(job),
            ForwardSubmit(job=job),
            caller_timeout_s=caller_timeout_s,
        )
        if kept is RequestOutcome.KEPT:
            self._cell.tell_owner(job.pool, JobKept(job=job))
        return kept

    async def cancel(
        self, *, queue: Queue, job: JobId, caller_timeout_s: float
    ) -> RequestOutcome:
        """Cancel a job, unless there is none of this id."""
        shown = await self.show(queue=queue, job=job)
        if shown.known and shown.state is None:
            return RequestOutcome.GONE
        kept = await self._keeper.keep(
            cancel_batch(queue.pool, job),
            ForwardCancel(pool=queue.pool, queue=queue.name, job=job),
            caller_timeout_s=caller_timeout_s,
        )
        if kept is RequestOutcome.KEPT:
            message = CancelKept(pool=queue.pool, job=job)
            self._cell.tell_owner(queue.pool, message)
        return kept

    async def show(self, *, queue: Queue, job: JobId) -> Shown:
        """Return a job's state."""
        owner = self._cell.owners.get(queue.pool)
        if owner is not None and owner.recovered.is_set():
            state = owner.registry.state(job)
        else:
            state = await self._ask_owner(queue.pool, job)
        if state is not None:
            return Shown(state=state)
        shown = await self._read_state(queue.pool, job)
        if not shown.known:
            shown = await self._ask_peers(queue.pool, job)
        return shown

    async def waiting(self, queue: QueueName, pool: PoolName) -> int | None:
        """Count the queue's jobs of which no task has started.

        Returns ``None`` if nobody can tell.
        """
        counts = self._own_counts(pool)
        if counts is None:
            now = trio.current_time()
            counts = self._cell.lease_tracker.waiting(pool, now=now)
        if counts is None:
            counts = await self._ask_waiting(pool)
        return None if counts is None else counts.get(queue, 0)

    async def answer_peer(self, message: JobCellMessage) -> JobCellMessage:
        """Answer a request of a peer."""
        match message:
            case AskJobState(pool=pool, job=job):
                return self._tell_state(pool, job)
            case JobKept(job=job):
                self._tell_if_owned(job.pool, message)
                return Verdict(kept=RequestOutcome.KEPT.value)
            case CancelKept(pool=pool):
                self._tell_if_owned(pool, message)
                return Verdict(kept=RequestOutcome.KEPT.value)
            case AskPermits():
                return await self._tell_permits(message)
            case AskWaiting(pool=pool):
                return WaitingIs(counts=self._own_counts(pool))
            case ForwardShow(pool=pool, job=job):
                return await self._tell_shown(pool, job)
            case ForwardSubmit(job=job):
                kept = await self._keeper.try_here(job_batch(job))
                return Verdict(kept=kept.value)
            case ForwardCancel(pool=pool, job=job):
                kept = await self._keeper.try_here(cancel_batch(pool, job))
                return Verdict(kept=kept.value)
            case YieldSlice(pool=pool, claim=claim):
                taken = await self._cell.take_over(pool, claim)
                return Verdict(
                    kept=(
                        RequestOutcome.KEPT if taken else RequestOutcome.REFUSED
                    ).value
                )
            case _:
                return Verdict(kept=RequestOutcome.REFUSED.value)

    def _tell_if_owned(
        self, pool: PoolName, message: JobKept | CancelKept
    ) -> None:
        if pool in self._cell.owners:
            self._cell.tell_owner(pool, message)

    def _own_counts(self, pool: PoolName) -> dict[QueueName, int] | None:
        owner = self._cell.owners.get(pool)
        if owner is None or not owner.recovered.is_set():
            return None
        return owner.registry.waiting()

    def _could_run(self, job: Job) -> bool:
        """Tell whether the pool has had a worker for each of the steps."""
        seen = self._cell.lease_tracker.seen.get(job.pool)
        shapes = seen.lease.shapes if seen else ()
        if not shapes or len(shapes) >= MAX_SHAPES:
            return True
        return all(could_hold(step, shapes) for step in job.steps)

    def _tell_state(self, pool: PoolName, job: JobId) -> JobStateIs:
        owner = self._cell.owners.get(pool)
        if owner is None or not owner.recovered.is_set():
            return JobStateIs(owned=False)
        return JobStateIs(owned=True, state=owner.registry.state(job))

    async def _tell_shown(self, pool: PoolName, job: JobId) -> ShownIs:
        told = self._tell_state(pool, job)
        state = told.state
        if not told.owned:
            state = await self._ask_owner(pool, job)
        if state is not None:
            return ShownIs(known=True, state=state)
        shown = await self._read_state(pool, job)
        return ShownIs(known=shown.known, state=shown.state)

    async def _ask_peers(self, pool: PoolName, job: JobId) -> Shown:
        """Ask peers what they would tell; the store can't be read here."""
        for address in self._cell.peer_addresses()[:_PEERS_ASKED]:
            try:
                reply = await self._cell.parts.peers.call(
                    address=address,
                    message=ForwardShow(pool=pool, job=job),
                    timeout_s=_PEER_ANSWER_S,
                )
            except PeerUnreachableError:
                continue
            match reply:
                case ShownIs(known=True, state=state):
                    return Shown(state=state)
        return Shown(known=False)

    async def _tell_permits(self, message: AskPermits) -> PermitsAre:
        found = await self._cell.request_permits(
            message.step, message.workers, message.timeout_s
        )
        if found is None:
            return PermitsAre(answered=False)
        return PermitsAre(
            answered=True, granted=found.granted, valid_s=found.valid_s
        )

    async def _ask_waiting(self, pool: PoolName) -> dict[QueueName, int] | None:
        address = self._cell.owner_address(pool)
        if address is None:
            return None
        try:
            reply = await self._cell.parts.peers.call(
                address=address,
                message=AskWaiting(pool=pool),
                timeout_s=_OWNER_ANSWER_S,
            )
        except PeerUnreachableError:
            return None
        match reply:
            case WaitingIs(counts=counts):
                return counts
            case _:
                return None

    async def _ask_owner(self, pool: PoolName, job: JobId) -> JobState | None:
        address = self._cell.owner_address(pool)
        if address is None:
            return None
        try:
            reply = await self._cell.parts.peers.call(
                address=address,
                message=AskJobState(pool=pool, job=job),
                timeout_s=_OWNER_ANSWER_S,
            )
        except PeerUnreachableError:
            return None
        match reply:
            case JobStateIs(state=state):
                return state
            case _:
                return None

    async def _read_state(self, pool: PoolName, job: JobId) -> Shown:
        """Read what the store keeps of a job."""
        try:
            closed = await self._store.read(closed_key(pool, job))
            row = await self._store.read(job_key(pool, job))
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.warning('state of job=%s can not be told: %s', job, error)
            return Shown(known=False)
        if closed is not None:
            return Shown(state=decode(closed.body, Closed).state)
        return Shown(state=JobState.QUEUED if row else None)
