"""Requests of callers to a node: submit, show, cancel, count waiting jobs.

Every node stores jobs itself, so that accepting one doesn't depend on the
slice's owner. The state of an open job is known to its owner only.
"""

import logging
from collections.abc import Iterable

import msgspec
import trio

from cyclamentrack.codec import decode
from cyclamentrack.errors import PeerUnreachableError, StoreUncertainError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.accounts import NO_ACCOUNT, AccountName
from cyclamentrack.jobs.admission import (
    PoolFigures,
    refusal,
    retry_after_s,
)
from cyclamentrack.jobs.allotments import gang_fits_cap
from cyclamentrack.jobs.cell import JobCell
from cyclamentrack.jobs.fleet import fits_empty_worker
from cyclamentrack.jobs.messages import (
    AskJobState,
    AskPermits,
    AskWaiting,
    CancelStored,
    ForwardCancel,
    ForwardShow,
    ForwardSubmit,
    JobCellMessage,
    JobStateReply,
    JobStored,
    OutcomeReply,
    PermitsReply,
    ShowReply,
    TransferSlice,
    WaitingReply,
)
from cyclamentrack.jobs.model import (
    MAX_SHAPES,
    Job,
    JobId,
    JobState,
    Origin,
    Queue,
    QueueName,
)
from cyclamentrack.jobs.persistence import (
    RequestOutcome,
    RequestWriter,
    WriteResult,
    cancel_batch,
    job_batch,
    tombstone_batch,
)
from cyclamentrack.jobs.pool_rooms import PoolRooms
from cyclamentrack.jobs.ports import Batch, RowKey, StoredRow, StoreRefusedError
from cyclamentrack.jobs.records import closed_key, former_job_keys, job_key
from cyclamentrack.jobs.registry import Closed
from cyclamentrack.jobs.room import job_bytes

_log = logging.getLogger(__name__)

_OWNER_TIMEOUT_S = 0.25
_PEER_TIMEOUT_S = 0.5
_MAX_PEERS_ASKED = 3
_STORED = RequestOutcome.STORED
_NOT_OWNED = JobStateReply(owned=False)


class ShownState(msgspec.Struct, frozen=True, kw_only=True):
    """A job's state; ``known`` is false if it could not be found out.

    A known ``state`` of ``None`` means that there is no such job. ``pool`` and
    ``origin`` are the ones that the job was accepted for, ``None`` if that
    isn't known.
    """

    state: JobState | None = None
    known: bool = True
    pool: PoolName | None = None
    origin: Origin | None = None


class JobService:
    """Answers the callers and peers of one node."""

    def __init__(self, *, cell: JobCell) -> None:
        """Answer with the state of one node."""
        self._cell = cell
        self._store = cell.dependencies.store
        self._writer = RequestWriter(
            store=cell.dependencies.store,
            peers=cell.peers,
            addresses=cell.peer_addresses,
            store_unreachable=lambda: cell.lease_tracker.store_unreachable,
        )
        self._rooms = PoolRooms(
            leases=cell.lease_tracker, owner=cell.owners.get
        )

    async def submit(
        self, job: Job, *, caller_timeout_s: float
    ) -> RequestOutcome:
        """Store a job, unless a job of the same id is stored already.

        The stored one may have been accepted for another pool, when the
        configuration sent its queue there. If it is another queue's job, the
        outcome is ``TAKEN``.
        """
        batch = job_batch(job)
        if len(batch.puts[0][1]) > self._cell.dependencies.row_bytes:
            return await self._refuse(job, RequestOutcome.TOO_LARGE)
        if not self._could_run(job):
            return await self._refuse(job, RequestOutcome.IMPOSSIBLE)
        if not self._gangs_fit_cap(job):
            return await self._refuse(job, RequestOutcome.OVER_CAP)
        found = await self._refuse_if_overloaded(job)
        if found is not None:
            return found
        if not self._rooms.admits(job.pool, job_bytes(job)):
            return await self._refuse_without_room(job)
        self._rooms.subtract(job.pool, job_bytes(job))
        result = await self._writer.write_with_retry(
            batch,
            ForwardSubmit(job=job),
            caller_timeout_s=caller_timeout_s,
        )
        if result.outcome is RequestOutcome.STORED:
            stored = job if result.found is None else _read_job(result.found)
            if stored is not None:
                return self._accept_stored(stored, job)
        return result.outcome

    def retry_after_s(self, job: Job, outcome: RequestOutcome) -> int:
        """Return after how many seconds a refused job may be sent again."""
        full = outcome is RequestOutcome.FULL
        return retry_after_s(job.id, self._figures(job), full=full)

    async def cancel(
        self,
        *,
        queue: Queue,
        job: JobId,
        caller_timeout_s: float,
        account: AccountName = NO_ACCOUNT,
    ) -> RequestOutcome:
        """Cancel a job; ``NOT_FOUND`` means that there is no such job.

        A submission of it may still be on its way to the store, so it is
        cancelled in advance before that is answered. That is refused while the
        owner has no room for it.
        """
        shown = await self.show(queue=queue, job=job, account=account)
        absent = shown.known and shown.state is None
        if absent and not self._rooms.admits_cancellations(queue.pool):
            return RequestOutcome.REFUSED
        message = ForwardCancel(
            pool=shown.pool or queue.pool,
            queue=queue.name,
            job=job,
            origin=queue.origin_of(account),
        )
        if not shown.known or shown.state is None:
            message = msgspec.structs.replace(message, job_unknown=True)
        result = await self._store_cancellation(message, caller_timeout_s)
        if not message.job_unknown or result.outcome is not _STORED:
            return result.outcome
        if result.found is None:
            return RequestOutcome.NOT_FOUND if shown.known else _STORED
        stored = _read_job(result.found)
        if stored is not None:
            if not stored.origin.matches(queue.origin_of(account)):
                return RequestOutcome.NOT_FOUND
            message = msgspec.structs.replace(message, pool=stored.pool)
        message = msgspec.structs.replace(message, job_unknown=False)
        result = await self._store_cancellation(message, caller_timeout_s)
        return result.outcome

    async def show(
        self, *, queue: Queue, job: JobId, account: AccountName = NO_ACCOUNT
    ) -> ShownState:
        """Return a job's state from its owner, the store or a peer.

        There is no such job if it is another queue's or another account's.
        """
        shown = await self._find(queue.pool, job)
        asked = queue.origin_of(account)
        if shown.origin is None or shown.origin.matches(asked):
            return shown
        return ShownState()

    async def waiting(self, queue: QueueName, pool: PoolName) -> int | None:
        """Count the queue's jobs of which no task has started.

        Returns ``None`` if the count is unknown.
        """
        counts = self._known_counts(pool)
        if counts is None:
            counts = await self._ask_waiting(pool)
        elsewhere = await self._waiting_elsewhere(queue, pool)
        if counts is None or elsewhere is None:
            return None
        return counts.get(queue, 0) + elsewhere

    async def answer_peer(self, message: JobCellMessage) -> JobCellMessage:
        """Answer a request of a peer."""
        match message:
            case AskJobState(pool=pool, job=job):
                return self._own_state(pool, job)
            case JobStored(job=job):
                self._apply_if_owned(job.pool, message)
                return OutcomeReply(kept=RequestOutcome.STORED.value)
            case CancelStored(pool=pool):
                self._apply_if_owned(pool, message)
                return OutcomeReply(kept=RequestOutcome.STORED.value)
            case AskPermits():
                return await self._request_permits_for_peer(message)
            case AskWaiting(pool=pool):
                return WaitingReply(counts=self._own_counts(pool))
            case ForwardShow(pool=pool, job=job):
                return await self._show_to_peer(pool, job)
            case ForwardSubmit(job=job):
                return _reply(await self._writer.store_locally(job_batch(job)))
            case ForwardCancel():
                return _reply(
                    await self._writer.store_locally(_cancellation(message))
                )
            case TransferSlice(pool=pool, claim=claim):
                taken = await self._cell.claim_from_owner(pool, claim)
                return OutcomeReply(
                    kept=(
                        RequestOutcome.STORED
                        if taken
                        else RequestOutcome.REFUSED
                    ).value
                )
            case _:
                return OutcomeReply(kept=RequestOutcome.REFUSED.value)

    async def _store_cancellation(
        self, message: ForwardCancel, caller_timeout_s: float
    ) -> WriteResult:
        """Store a cancellation, and notify the owner once that is done."""
        result = await self._writer.write_with_retry(
            _cancellation(message), message, caller_timeout_s=caller_timeout_s
        )
        if result.outcome is _STORED and result.found is None:
            self._cell.notify_owner(
                message.pool,
                CancelStored(
                    pool=message.pool, job=message.job, origin=message.origin
                ),
            )
        return result

    def _figures(self, job: Job) -> PoolFigures | None:
        return self._cell.lease_tracker.figures(
            job.pool, now=trio.current_time()
        )

    async def _refuse_if_overloaded(self, job: Job) -> RequestOutcome | None:
        """Return the outcome of a job that admission control refuses.

        Only such a job is looked up in the store. If that fails, the job is
        accepted, since it may be a repetition.
        """
        why = refusal(job, self._figures(job))
        if why is None:
            return None
        outcome = await self._refuse(job, RequestOutcome.OVERLOADED)
        if outcome is RequestOutcome.UNKNOWN:
            return None
        if outcome is RequestOutcome.OVERLOADED:
            self._cell.dependencies.metrics.count(
                f'jobs_refused_{why.name.lower()}'
            )
            _log.info(
                'job refused job=%s queue=%s account=%s why=%s',
                job.id,
                job.queue,
                job.account or 'none',
                why.value,
            )
        return outcome

    async def _refuse_without_room(self, job: Job) -> RequestOutcome:
        outcome = await self._refuse(job, RequestOutcome.FULL)
        if outcome is RequestOutcome.FULL:
            self._cell.dependencies.metrics.count('jobs_refused_full')
            _log.info(
                'job refused job=%s queue=%s account=%s why=full bytes=%d',
                job.id,
                job.queue,
                job.account or 'none',
                job_bytes(job),
            )
        return outcome

    def _accept_stored(self, stored: Job, job: Job) -> RequestOutcome:
        if not stored.origin.matches(job.origin):
            return RequestOutcome.TAKEN
        self._cell.notify_owner(stored.pool, JobStored(job=stored))
        return RequestOutcome.STORED

    def _apply_if_owned(
        self, pool: PoolName, message: JobStored | CancelStored
    ) -> None:
        if pool in self._cell.owners:
            self._cell.notify_owner(pool, message)

    def _own_counts(self, pool: PoolName) -> dict[QueueName, int] | None:
        owner = self._cell.owners.get(pool)
        if owner is None or not owner.recovered.is_set():
            return None
        return owner.registry.waiting()

    def _known_counts(self, pool: PoolName) -> dict[QueueName, int] | None:
        """Return recent counts of a pool that are known without a call.

        Leases are renewed more often than callers need the counts.
        """
        counts = self._own_counts(pool)
        if counts is None:
            now = trio.current_time()
            counts = self._cell.lease_tracker.waiting(pool, now=now)
        return counts

    async def _waiting_elsewhere(
        self, queue: QueueName, pool: PoolName
    ) -> int | None:
        """Count the queue's waiting jobs that were accepted for other pools.

        Returns ``None`` if the count is unknown. A pool without a recent count
        matters only if it may have such jobs, as one whose lease this node
        hasn't read yet may.
        """
        total = 0
        tracker = self._cell.lease_tracker
        if tracker.has_unread(besides=pool):
            return None
        for other in list(tracker.seen):
            if other == pool:
                continue
            counts = self._known_counts(other)
            settled_at = self._cell.queue_moves.settled_at(queue, other)
            if counts is None and tracker.may_have_waiting(
                other, queue, settled_at=settled_at
            ):
                counts = await self._ask_waiting(other)
                if counts is None:
                    return None
            total += (counts or {}).get(queue, 0)
        return total

    def _could_run(self, job: Job) -> bool:
        """Return whether each step's tasks fit on some known worker shape.

        Without a complete list of shapes every job is taken to fit.
        """
        seen = self._cell.lease_tracker.seen.get(job.pool)
        shapes = seen.lease.shapes if seen else ()
        if not shapes or len(shapes) >= MAX_SHAPES:
            return True
        return all(fits_empty_worker(step, shapes) for step in job.steps)

    def _gangs_fit_cap(self, job: Job) -> bool:
        """Return whether each gang of a job fits the cap of its account."""
        configuration = self._cell.configuration
        if configuration is None or not job.account:
            return True
        account = configuration.account_index.named(job.account)
        return account is None or all(
            gang_fits_cap(account.cap, step.need, step.count)
            for step in job.steps
            if step.gang
        )

    async def _find(self, pool: PoolName, job: JobId) -> ShownState:
        found = await self._owner_state(pool, job)
        if found.state is not None:
            return ShownState(state=found.state, pool=pool, origin=found.origin)
        shown = await self._read_state(pool, job)
        if not shown.known:
            shown = await self._ask_peers(pool, job)
        return shown

    def _own_state(self, pool: PoolName, job: JobId) -> JobStateReply:
        owner = self._cell.owners.get(pool)
        if owner is None or not owner.recovered.is_set():
            return JobStateReply(owned=False)
        return JobStateReply(
            owned=True,
            state=owner.registry.state(job),
            origin=owner.registry.origin(job),
        )

    async def _show_to_peer(self, pool: PoolName, job: JobId) -> ShowReply:
        found = await self._owner_state(pool, job)
        if found.state is not None:
            return ShowReply(known=True, state=found.state, origin=found.origin)
        shown = await self._read_state(pool, job)
        return ShowReply(
            known=shown.known, state=shown.state, origin=shown.origin
        )

    async def _ask_peers(self, pool: PoolName, job: JobId) -> ShownState:
        """Ask peers for a job's state; the store can't be read here."""
        peers = self._cell.peers
        answering = await peers.find_answering(
            self._cell.peer_addresses(), enough=_MAX_PEERS_ASKED
        )
        for address in answering[:_MAX_PEERS_ASKED]:
            try:
                reply = await peers.call(
                    address=address,
                    message=ForwardShow(pool=pool, job=job),
                    timeout_s=_PEER_TIMEOUT_S,
                )
            except PeerUnreachableError:
                continue
            match reply:
                case ShowReply(known=True, state=state, origin=origin):
                    return ShownState(state=state, origin=origin)
        return ShownState(known=False)

    async def _request_permits_for_peer(
        self, message: AskPermits
    ) -> PermitsReply:
        found = await self._cell.request_permits(
            message.step, message.workers, message.timeout_s
        )
        if found is None:
            return PermitsReply(answered=False)
        return PermitsReply(
            answered=True, granted=found.granted, valid_s=found.valid_s
        )

    async def _ask_waiting(self, pool: PoolName) -> dict[QueueName, int] | None:
        address = self._cell.owner_address(pool)
        if address is None:
            return None
        try:
            reply = await self._cell.peers.call(
                address=address,
                message=AskWaiting(pool=pool),
                timeout_s=_OWNER_TIMEOUT_S,
            )
        except PeerUnreachableError:
            return None
        match reply:
            case WaitingReply(counts=counts):
                return counts
            case _:
                return None

    async def _ask_owner(self, pool: PoolName, job: JobId) -> JobStateReply:
        address = self._cell.owner_address(pool)
        if address is None:
            return _NOT_OWNED
        try:
            reply = await self._cell.peers.call(
                address=address,
                message=AskJobState(pool=pool, job=job),
                timeout_s=_OWNER_TIMEOUT_S,
            )
        except PeerUnreachableError:
            return _NOT_OWNED
        match reply:
            case JobStateReply():
                return reply
            case _:
                return _NOT_OWNED

    async def _owner_state(self, pool: PoolName, job: JobId) -> JobStateReply:
        """Return a job's state from the owner of a pool, if it has the job."""
        own = self._own_state(pool, job)
        return own if own.owned else await self._ask_owner(pool, job)

    async def _read_state(self, pool: PoolName, job: JobId) -> ShownState:
        """Read a job's state from the store."""
        try:
            return await self._find_state(pool, job)
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.warning('job state not read job=%s: %s', job, error)
            return ShownState(known=False)

    async def _find_state(self, pool: PoolName, job: JobId) -> ShownState:
        """Find a job's state by its final state, and then by its own row.

        The job may have been accepted for another pool than that of its queue.
        """
        closed = await self._read_closed(pool, job)
        if closed is not None:
            return ShownState(
                state=closed.state, pool=pool, origin=closed.origin
            )
        row = await self._read_row(pool, job)
        if row is None:
            return ShownState(state=None)
        stored = _read_job(row.body)
        if stored is None:
            return ShownState(known=False)
        state = JobState.QUEUED
        if stored.pool != pool:
            state = await self._state_in_pool(stored.pool, job)
        return ShownState(state=state, pool=stored.pool, origin=stored.origin)

    async def _state_in_pool(self, pool: PoolName, job: JobId) -> JobState:
        """Return the state of a stored job in the pool that it belongs to."""
        found = await self._owner_state(pool, job)
        if found.state is not None:
            return found.state
        closed = await self._read_closed(pool, job)
        return closed.state if closed else JobState.QUEUED

    async def _read_closed(self, pool: PoolName, job: JobId) -> Closed | None:
        row = await self._store.read(closed_key(pool, job))
        return None if row is None else decode(row.body, Closed)

    async def _read_row(self, pool: PoolName, job: JobId) -> StoredRow | None:
        """Read a job's own row, wherever this or an earlier version has it."""
        row = await self._store.read(job_key(job))
        if row is None:
            # At once, so that the cancellation of an unknown job, which needs
            # a write besides, takes no longer than without.
            return await self._read_any(former_job_keys(pool, job))
        return row

    async def _read_any(self, keys: Iterable[RowKey]) -> StoredRow | None:
        """Read rows at the same time; return one that exists.

        Raises ``StoreRefusedError`` or ``StoreUncertainError``.
        """
        found: list[StoredRow] = []
        errors: list[StoreUncertainError | StoreRefusedError] = []

        async def read(key: RowKey) -> None:
            try:
                row = await self._store.read(key)
            except (StoreUncertainError, StoreRefusedError) as error:
                errors.append(error)
                return
            if row is not None:
                found.append(row)

        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(read, key)
        if errors and not found:
            raise errors[0]
        return found[0] if found else None

    async def _refuse(
        self, job: Job, outcome: RequestOutcome
    ) -> RequestOutcome:
        """Refuse a job that can't be run or kept, unless it is a repetition.

        The same request may have been accepted for another pool.
        """
        try:
            row = await self._store.read(job_key(job.id))
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.warning('job not looked up job=%s: %s', job.id, error)
            return RequestOutcome.UNKNOWN
        if row is None:
            return outcome
        stored = _read_job(row.body)
        if stored is None or stored.origin.matches(job.origin):
            return RequestOutcome.STORED
        return RequestOutcome.TAKEN


def _read_job(body: bytes) -> Job | None:
    try:
        return decode(body, Job)
    except msgspec.ValidationError as error:
        _log.error('stored job not decoded: %s', error)
        return None


def _cancellation(message: ForwardCancel) -> Batch:
    if message.job_unknown and message.origin is not None:
        return tombstone_batch(message.job, message.origin)
    return cancel_batch(message.job, message.origin)


def _reply(result: WriteResult) -> OutcomeReply:
    return OutcomeReply(kept=result.outcome.value, found=result.found)
