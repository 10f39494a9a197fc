"""Leases and claims of slices, through the store alone.

Safety doesn't depend on the lease. A claim replaces the slice's head row, which
fences the former owner's commits, and the new row's version is the fencing
token that workers check. The lease only shows when a claim is due.
"""

import logging
import math
from collections.abc import Callable, Iterator

import msgspec
import trio

from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.admission import PoolFigures
from cyclamentrack.jobs.journal import Head, OwnershipLostError, head_key
from cyclamentrack.jobs.model import MAX_SHAPES, QueueName, Shape, Token
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Conflict,
    Expect,
    HistoryLostError,
    RowStore,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import CLAIMS, Claim, Lease, lease_key

_log = logging.getLogger(__name__)

RENEW_S = 0.5
# Three missed renewals. A new owner is then at work well before the leases of
# the workers end, which last 6 s or more.
LEASE_EXPIRY_S = 1.7
_FOLLOW_WAIT_S = 0.9
# Renewals of several slices within this time arrive in one answer.
_FOLLOW_GAP_S = 0.3
_RETRY_S = 0.2
# Callers get counts of waiting jobs that are at most this old.
_COUNT_AGE_S = 2.0


class ObservedLease(msgspec.Struct, kw_only=True, eq=False):
    """A lease as last read, and when this node saw it change.

    ``changed_at`` and ``written_after`` are in seconds of trio's clock. The
    lease was written after ``written_after``, which is minus infinity for a
    lease that didn't come from the feed, since it may be of any age.
    ``counts`` are the latest waiting jobs by queue that an owner has given,
    and ``counted_after`` is the same for them as ``written_after``.
    """

    lease: Lease
    version: int
    changed_at: float
    written_after: float = -math.inf
    counts: dict[QueueName, int] = msgspec.field(default_factory=dict)
    counted_after: float = -math.inf


class LeaseTracker:
    """The leases of all slices, followed in the store."""

    def __init__(self, *, store: RowStore) -> None:
        """Create a tracker without leases; ``follow`` reads them."""
        self.seen: dict[PoolName, ObservedLease] = {}
        self.loaded = trio.Event()
        self.changed = trio.Event()
        self._unread: set[str] = set()
        self._store = store
        self._unreachable_since: float | None = None

    @property
    def store_unreachable(self) -> bool:
        """Whether the store doesn't currently answer this node."""
        return self._unreachable_since is not None

    def is_due(self, pool: PoolName, *, node: str, now: float) -> bool:
        """Return whether a slice should be claimed.

        A lease counts as expired only if the store could be followed all the
        time. A lease of this node from before its restart certainly has no
        owner.
        """
        if (
            not self.loaded.is_set()
            or self.store_unreachable
            or pool in self._unread
        ):
            return False
        seen = self.seen.get(pool)
        if seen is not None and seen.lease.node == node:
            return True
        return not self.is_renewed(pool, now=now)

    def is_renewed(self, pool: PoolName, *, now: float) -> bool:
        """Return whether a slice's lease was renewed recently."""
        seen = self.seen.get(pool)
        if seen is None or seen.lease.released:
            return False
        return now - seen.changed_at <= LEASE_EXPIRY_S

    def unretired(self) -> Iterator[PoolName]:
        """Return the pools that have a lease and haven't been retired."""
        for pool, seen in self.seen.items():
            if not seen.lease.retired:
                yield pool

    def has_unread(self, *, besides: PoolName) -> bool:
        """Return whether another pool may have a lease that isn't known yet."""
        return not self.loaded.is_set() or any(
            part != besides and part not in self.seen for part in self._unread
        )

    def waiting(
        self, pool: PoolName, *, now: float
    ) -> dict[QueueName, int] | None:
        """Return the waiting jobs by queue, ``None`` without a recent count."""
        seen = self.seen.get(pool)
        if seen is None or now - seen.written_after > _COUNT_AGE_S:
            return None
        return seen.lease.waiting

    def may_have_waiting(
        self, pool: PoolName, queue: QueueName, *, settled_at: float
    ) -> bool:
        """Return whether a pool may have waiting jobs of a queue.

        It has none if its last count was taken after ``settled_at``, when it
        got the last ones, and lacks the queue.
        """
        seen = self.seen.get(pool)
        if seen is None or seen.lease.retired:
            return False
        return queue in seen.counts or seen.counted_after < settled_at

    def figures(self, pool: PoolName, *, now: float) -> PoolFigures | None:
        """Return the figures for admission, ``None`` without recent ones."""
        seen = self.seen.get(pool)
        if seen is None or seen.lease.released:
            return None
        if now - seen.written_after > _COUNT_AGE_S:
            return None
        return seen.lease.figures

    async def refresh(self, pool: PoolName) -> None:
        """Read one lease now instead of waiting for the feed.

        Raises ``StoreRefusedError`` or ``StoreUncertainError``.
        """
        row = await self._store.read(lease_key(pool))
        if row is not None:
            self._apply_rows((row,))

    async def follow(self) -> None:
        """Follow the leases until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                version = await self._start_reading(nursery)
                await self._follow_feed(version)
                nursery.cancel_scope.cancel()
            await trio.sleep(_RETRY_S)

    def apply_conflict(self, conflict: Conflict) -> None:
        """Record the leases that a failed claim conflicted with."""
        self._apply_rows(
            tuple(row for row in conflict.rows if row.key.table == CLAIMS)
        )

    async def _start_reading(self, nursery: trio.Nursery) -> int:
        """Start reading all leases; return the version from which to follow.

        Each pool is read on its own, because the store may not answer for
        one pool's rows while it serves the others.
        """
        while True:
            try:
                parts = await self._store.parts(table=CLAIMS)
            except (StoreUncertainError, StoreRefusedError) as error:
                self._note_unreachable(error)
                await trio.sleep(_RETRY_S)
                continue
            self._unread = set(parts.names)
            for part in parts.names:
                nursery.start_soon(self._read_part, part)
            self.loaded.set()
            return parts.version

    async def _follow_feed(self, version: int) -> None:
        """Follow the feed until the store no longer has its history."""
        last_answer_at = -math.inf
        while True:
            try:
                changes = await self._store.follow(
                    table=CLAIMS, after=version, wait_s=_FOLLOW_WAIT_S
                )
            except (StoreUncertainError, StoreRefusedError) as error:
                self._note_unreachable(error)
                await trio.sleep(_RETRY_S)
                continue
            except HistoryLostError:
                return
            version = changes.version
            self._note_reachable()
            self._apply_rows(changes.rows, written_after=last_answer_at)
            last_answer_at = trio.current_time()
            await trio.sleep(_FOLLOW_GAP_S)

    async def _read_part(self, part: str) -> None:
        while part in self._unread:
            try:
                page = await self._store.scan(table=CLAIMS, part=part)
            except (StoreUncertainError, StoreRefusedError) as error:
                _log.warning('lease not read pool=%s: %s', part, error)
                await trio.sleep(_RETRY_S)
                continue
            self._unread.discard(part)
            self._apply_rows(page.rows)
            _log.info('lease read pool=%s', part)

    def _note_unreachable(self, error: Exception) -> None:
        if self._unreachable_since is None:
            self._unreachable_since = trio.current_time()
            _log.warning('following leases failed, retrying: %s', error)

    def _note_reachable(self) -> None:
        if self._unreachable_since is None:
            return
        now = trio.current_time()
        _log.info(
            'following leases again after_s=%.1f',
            now - self._unreachable_since,
        )
        self._unreachable_since = None
        for seen in self.seen.values():
            seen.changed_at = now

    def _apply_rows(
        self, rows: tuple[StoredRow, ...], *, written_after: float = -math.inf
    ) -> None:
        now = trio.current_time()
        for row in rows:
            pool = PoolName(row.key.part)
            self._unread.discard(pool)
            known = self.seen.get(pool)
            if known is not None and known.version >= row.version:
                continue
            self.seen[pool] = _observe(
                row, known, changed_at=now, written_after=written_after
            )
        self.changed.set()
        self.changed = trio.Event()


async def claim_slice(
    *,
    store: RowStore,
    lease_tracker: LeaseTracker,
    pool: PoolName,
    lease: Lease,
    suspended_s: Callable[[], float],
) -> Claim | None:
    """Claim a slice, or return ``None`` if another node was faster.

    ``suspended_s`` is how long the machine has been suspended so far.

    Raises ``StoreRefusedError`` or ``StoreUncertainError``.
    """
    suspended_before_s = suspended_s()
    began = trio.current_time()
    head = await store.read(head_key(pool))
    seen = lease_tracker.seen.get(pool)
    batch = Batch(
        expected=(
            Expect(head_key(pool), head.version if head else 0),
            Expect(lease_key(pool), seen.version if seen else 0),
        ),
        puts=(
            (head_key(pool), encode(Head(owner=lease.claim, number=0))),
            (lease_key(pool), encode(lease)),
        ),
    )
    answer = await store.commit(batch)
    if not isinstance(answer, Committed):
        lease_tracker.apply_conflict(answer)
        _log.info(
            'claim conflicts pool=%s head=%d lease=%d',
            pool,
            head.version if head else 0,
            seen.version if seen else 0,
        )
        return None
    _log.info(
        'slice claimed pool=%s token=%d former=%s after_ms=%d',
        pool,
        answer.version,
        seen.lease.node if seen else 'none',
        int((trio.current_time() - began) * 1000),
    )
    return Claim(
        pool=pool,
        id=lease.claim,
        token=Token(answer.version),
        requested_at=began,
        claimed_at=trio.current_time(),
        suspended_s=suspended_before_s,
    )


class LeaseRenewer:
    """Renews one slice's lease while its owner runs."""

    def __init__(self, *, store: RowStore, claim: Claim, lease: Lease) -> None:
        """Start with the lease row's version that the claim wrote."""
        self._write_lock = trio.Lock()
        self._store = store
        self._claim = claim
        self._lease = lease
        self._version: int = claim.token

    async def renew(
        self,
        *,
        waiting: dict[QueueName, int] | None,
        shapes: tuple[Shape, ...] = (),
        figures: PoolFigures | None = None,
    ) -> bool:
        """Renew the lease once; without ``waiting`` its count stays as it is.

        ``shapes`` are added to those that earlier owners have seen. A released
        lease isn't renewed any more; return whether the store has confirmed
        the claim. Raises ``OwnershipLostError`` if another claim has replaced
        the lease.
        """
        async with self._write_lock:
            if self._lease.released:
                return False
            await self._write(
                waiting=self._lease.waiting if waiting is None else waiting,
                shapes=_merge_shapes(self._lease.shapes, shapes),
                figures=figures,
            )
        return True

    async def release(self, *, retired: bool = False) -> None:
        """Mark the lease as released, so that any node may claim the slice.

        One that is ``retired`` is claimed only once it is needed again.
        """
        async with self._write_lock:
            written = False
            while not written:
                written = await self._write(released=True, retired=retired)

    async def _write(self, **changes: object) -> bool:
        """Write the lease once; return whether the write took effect.

        A conflict with an earlier write of the same claim, whose answer was
        lost, only updates the known version.
        """
        lease = msgspec.structs.replace(
            self._lease, number=self._lease.number + 1, **changes
        )
        self._lease = lease
        key = lease_key(self._claim.pool)
        batch = Batch(
            expected=(Expect(key, self._version),),
            puts=((key, encode(lease)),),
        )
        answer = await self._store.commit(batch)
        match answer:
            case Committed(version=version):
                self._version = version
                return True
            case _:
                row = answer.find(key)
                if row is None or decode(row.body, Lease).claim != lease.claim:
                    raise OwnershipLostError(part=self._claim.pool)
                self._version = row.version
                return False


def _merge_shapes(
    known: tuple[Shape, ...], found: tuple[Shape, ...]
) -> tuple[Shape, ...]:
    return tuple(dict.fromkeys((*known, *found)))[:MAX_SHAPES]


def _observe(
    row: StoredRow,
    known: ObservedLease | None,
    *,
    changed_at: float,
    written_after: float,
) -> ObservedLease:
    """Return a lease as read; without counts it keeps those known before."""
    lease = _lease_of(row)
    counts = lease.waiting
    counted_after = written_after
    if counts is None:
        counts = known.counts if known else {}
        counted_after = known.counted_after if known else -math.inf
    return ObservedLease(
        lease=lease,
        version=row.version,
        changed_at=changed_at,
        written_after=written_after,
        counts=counts,
        counted_after=counted_after,
    )


def _lease_of(row: StoredRow) -> Lease:
    """Decode a lease; one that can't be decoded counts as released."""
    try:
        return decode(row.body, Lease)
    except msgspec.ValidationError as error:
        _log.warning('lease not decoded pool=%s: %s', row.key.part, error)
    return Lease(node='', claim='', address='', number=0, released=True)
