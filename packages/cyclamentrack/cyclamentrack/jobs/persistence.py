"""Keeping what callers hand in, here or through peers.

The store may turn one instance away, or leave it without answers, while it
serves the others. What callers hand in can be kept twice without harm, so
whatever fails here is tried through peers at once.
"""

import enum
from collections.abc import Callable

import trio

from cyclamentrack.codec import encode
from cyclamentrack.errors import PeerUnreachableError, StoreUncertainError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.messages import ForwardCancel, ForwardSubmit, Verdict
from cyclamentrack.jobs.model import Job, JobId
from cyclamentrack.jobs.ports import (
    Batch,
    Expect,
    RowStore,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import cancel_key, job_key
from cyclamentrack.ports import Peers

# A store that is slow takes a quarter of a second; longer means no answer.
_TRY_S = 0.6
# A peer's try and the way there and back.
_PEER_TRY_S = 0.8
# A read takes some milliseconds, a quarter of a second in a slow store.
_PROBE_S = 0.4
_PEERS_ASKED = 3
_RETRY_S = 0.1
# Part of a caller's patience that is left for the answer's way back.
_ANSWER_MARGIN_S = 0.3


class RequestOutcome(enum.Enum):
    """What came of a request that changes something.

    ``REFUSED`` means that nothing was kept nor will be; ``UNKNOWN`` that
    nobody can tell; ``GONE`` that there is no such job; ``IMPOSSIBLE`` that
    no worker of the pool could ever hold one of its tasks.
    """

    KEPT = 'kept'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    GONE = 'gone'
    IMPOSSIBLE = 'impossible'


def job_batch(job: Job) -> Batch:
    """Return the write that accepts a job, unless its id is taken."""
    key = job_key(job.pool, job.id)
    return Batch(expected=(Expect(key, 0),), puts=((key, encode(job)),))


def cancel_batch(pool: PoolName, job: JobId) -> Batch:
    """Return the write that cancels a job."""
    return Batch(puts=((cancel_key(pool, job), b'1'),))


class RequestWriter:
    """Keeps what one node was handed in."""

    def __init__(
        self,
        *,
        store: RowStore,
        peers: Peers,
        addresses: Callable[[], list[str]],
    ) -> None:
        """Try the store, then the peers at the addresses."""
        self._store = store
        self._peers = peers
        self._addresses = addresses
        self._in_doubt = False

    async def keep(
        self,
        batch: Batch,
        message: ForwardSubmit | ForwardCancel,
        *,
        caller_timeout_s: float,
    ) -> RequestOutcome:
        """Try here and through peers until it is certain or patience ends."""
        uncertain = False
        with trio.move_on_after(max(caller_timeout_s - _ANSWER_MARGIN_S, 0.1)):
            while True:
                kept = await self._try_all(batch, message)
                uncertain = uncertain or kept is RequestOutcome.UNKNOWN
                if kept is RequestOutcome.KEPT or not uncertain:
                    return kept
                await trio.sleep(_RETRY_S)
        return RequestOutcome.UNKNOWN

    async def try_here(self, batch: Batch) -> RequestOutcome:
        """Try once; ``UNKNOWN`` means that it may have been kept.

        After a write without an answer the store is asked before the next
        one, so that what is refused while it is down was never sent.
        """
        if self._in_doubt and not await self._answers(batch):
            return RequestOutcome.REFUSED
        kept = await self._write(batch)
        self._in_doubt = kept is not RequestOutcome.KEPT
        return kept

    async def _write(self, batch: Batch) -> RequestOutcome:
        with trio.move_on_after(_TRY_S):
            try:
                await self._store.commit(batch)
            except StoreUncertainError:
                return RequestOutcome.UNKNOWN
            except StoreRefusedError:
                return RequestOutcome.REFUSED
            return RequestOutcome.KEPT
        return RequestOutcome.UNKNOWN

    async def _answers(self, batch: Batch) -> bool:
        """Tell whether the store answers a read."""
        with trio.move_on_after(_PROBE_S):
            try:
                await self._store.read(batch.puts[0][0])
            except (StoreUncertainError, StoreRefusedError):
                return False
            return True
        return False

    async def _try_all(
        self, batch: Batch, message: ForwardSubmit | ForwardCancel
    ) -> RequestOutcome:
        """Try each way once; ``REFUSED`` means that all of them refused."""
        found = await self.try_here(batch)
        for address in self._addresses()[:_PEERS_ASKED]:
            if found is RequestOutcome.KEPT:
                return found
            kept = await self._try_through(address, message)
            if kept is not RequestOutcome.REFUSED:
                found = kept
        return found

    async def _try_through(
        self, address: str, message: ForwardSubmit | ForwardCancel
    ) -> RequestOutcome:
        try:
            reply = await self._peers.call(
                address=address, message=message, timeout_s=_PEER_TRY_S
            )
        except PeerUnreachableError:
            return RequestOutcome.UNKNOWN
        match reply:
            case Verdict(kept=kept):
                return RequestOutcome(kept)
            case _:
                return RequestOutcome.UNKNOWN
