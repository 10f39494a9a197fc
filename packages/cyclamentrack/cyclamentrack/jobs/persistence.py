"""Stores callers' requests, directly or through peers.

The store may refuse one instance, or leave it without answers, while it serves
the others. Storing a request twice does no harm, so a write that fails here is
tried through peers at once.
"""

import enum
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack.codec import encode
from cyclamentrack.errors import PeerUnreachableError, StoreUncertainError
from cyclamentrack.jobs.messages import (
    ForwardCancel,
    ForwardSubmit,
    OutcomeReply,
)
from cyclamentrack.jobs.model import Job, JobId, Origin
from cyclamentrack.jobs.peer_health import ObservedPeers
from cyclamentrack.jobs.ports import (
    Batch,
    Conflict,
    Expect,
    RowStore,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import Cancellation, cancel_key, job_key

# A slow store takes about 0.25 s; a write that takes longer than this has
# failed.
_STORE_TIMEOUT_S = 0.6
# The peer's own attempt and the round trip to it.
_PEER_TIMEOUT_S = 0.8
# A read takes some milliseconds, about 0.25 s in a slow store.
_READ_TIMEOUT_S = 0.4
_MAX_PEERS_ASKED = 3
_RETRY_S = 0.1
# Part of the caller's timeout that is reserved for sending the answer.
_ANSWER_MARGIN_S = 0.3


class RequestOutcome(enum.Enum):
    """The outcome of a request that changes something.

    ``STORED`` means that the request was stored; ``REFUSED`` that it was not
    and won't be; ``UNKNOWN`` that it may have been; ``NOT_FOUND`` that there is
    no such job; ``IMPOSSIBLE`` that no worker of the pool is large enough for
    one of its tasks; ``OVER_CAP`` that a gang needs more than the cap of its
    account; ``TOO_LARGE`` that no row of the store can hold the job;
    ``TAKEN`` that the id is that of another queue's job; ``OVERLOADED`` that it
    was not stored, since admission control refused it; ``FULL`` that it was not
    stored, since the owner of its pool has no room left for a job of its size.
    """

    STORED = 'kept'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NOT_FOUND = 'gone'
    IMPOSSIBLE = 'impossible'
    OVER_CAP = 'over cap'
    TOO_LARGE = 'too large'
    TAKEN = 'taken'
    OVERLOADED = 'overloaded'
    FULL = 'full'


class WriteResult(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a write, and the body of the job that was there already.

    ``found`` is ``None`` if the write took effect, or the job isn't known.
    """

    outcome: RequestOutcome
    found: bytes | None = None


def job_batch(job: Job) -> Batch:
    """Return the write that accepts a job, unless its id is taken."""
    key = job_key(job.id)
    return Batch(expected=(Expect(key, 0),), puts=((key, encode(job)),))


def cancel_batch(job: JobId, origin: Origin | None) -> Batch:
    """Return the write by which a queue cancels its job."""
    return Batch(puts=((cancel_key(job), encode(origin)),))


def tombstone_batch(job: JobId, origin: Origin) -> Batch:
    """Return the write that cancels a job in advance, unless it is stored."""
    tombstone = Cancellation(
        queue=origin.queue,
        address=origin.address,
        account=origin.account,
        job_unknown=True,
    )
    return Batch(
        expected=(Expect(job_key(job), 0),),
        puts=((cancel_key(job), encode(tombstone)),),
    )


_UNKNOWN = WriteResult(outcome=RequestOutcome.UNKNOWN)
_REFUSED = WriteResult(outcome=RequestOutcome.REFUSED)


class RequestWriter:
    """Stores the requests that one node has received."""

    def __init__(
        self,
        *,
        store: RowStore,
        peers: ObservedPeers,
        addresses: Callable[[], list[str]],
        store_unreachable: Callable[[], bool],
    ) -> None:
        """Use the store first, then the peers at ``addresses``.

        ``store_unreachable`` tells whether the store has stopped answering
        the node's other calls.
        """
        self._store = store
        self._store_unreachable = store_unreachable
        self._peers = peers
        self._addresses = addresses
        self._last_write_in_doubt = False

    async def write_with_retry(
        self,
        batch: Batch,
        message: ForwardSubmit | ForwardCancel,
        *,
        caller_timeout_s: float,
    ) -> WriteResult:
        """Try the store and peers until the outcome is certain or time is up.

        Once a write may have taken effect, only ``STORED`` is certain; until
        then ``REFUSED`` by all of them is returned at once.
        """
        uncertain = False
        with trio.move_on_after(max(caller_timeout_s - _ANSWER_MARGIN_S, 0.1)):
            while True:
                result = await self._try_all_paths(batch, message)
                outcome = result.outcome
                uncertain = uncertain or outcome is RequestOutcome.UNKNOWN
                if outcome is RequestOutcome.STORED or not uncertain:
                    return result
                await trio.sleep(_RETRY_S)
        return _UNKNOWN

    async def store_locally(self, batch: Batch) -> WriteResult:
        """Try the store once; ``UNKNOWN`` means that it may be stored.

        If the last write is not certain to be stored, or the store doesn't
        answer other calls, this first checks that it answers a read. While the
        store is down, requests are therefore refused without having been sent.
        """
        in_doubt = self._last_write_in_doubt or self._store_unreachable()
        if in_doubt and not await self._store_answers_reads(batch):
            return _REFUSED
        result = await self._write(batch)
        self._last_write_in_doubt = result.outcome is not RequestOutcome.STORED
        return result

    async def _write(self, batch: Batch) -> WriteResult:
        """Write once; a row that is there already counts as stored."""
        with trio.move_on_after(_STORE_TIMEOUT_S):
            try:
                answer = await self._store.commit(batch)
            except StoreUncertainError:
                return _UNKNOWN
            except StoreRefusedError:
                return _REFUSED
            found = None
            if isinstance(answer, Conflict):
                row = answer.find(batch.expected[0].key)
                found = row.body if row else None
            return WriteResult(outcome=RequestOutcome.STORED, found=found)
        return _UNKNOWN

    async def _store_answers_reads(self, batch: Batch) -> bool:
        """Return whether the store answers a read."""
        with trio.move_on_after(_READ_TIMEOUT_S):
            try:
                await self._store.read(batch.puts[0][0])
            except (StoreUncertainError, StoreRefusedError):
                return False
            return True
        return False

    async def _try_all_paths(
        self, batch: Batch, message: ForwardSubmit | ForwardCancel
    ) -> WriteResult:
        """Try the store and each peer once.

        ``REFUSED`` means that all of them refused.
        """
        result = await self.store_locally(batch)
        untried = self._addresses()
        for _ in range(_MAX_PEERS_ASKED):
            if result.outcome is RequestOutcome.STORED:
                return result
            answering = await self._peers.find_answering(untried, enough=1)
            if not answering:
                return result
            address = answering[0]
            untried.remove(address)
            answer = await self._store_through_peer(address, message)
            if answer.outcome is not RequestOutcome.REFUSED:
                result = answer
        return result

    async def _store_through_peer(
        self, address: str, message: ForwardSubmit | ForwardCancel
    ) -> WriteResult:
        try:
            reply = await self._peers.call(
                address=address, message=message, timeout_s=_PEER_TIMEOUT_S
            )
        except PeerUnreachableError:
            return _UNKNOWN
        match reply:
            case OutcomeReply(kept=outcome, found=found):
                return WriteResult(outcome=RequestOutcome(outcome), found=found)
            case _:
                return _UNKNOWN
