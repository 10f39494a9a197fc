"""Claiming slices: who owns which pool, found out through the store alone.

Safety never rests on the lease. A claim replaces the slice's head row, which
fences the former owner's commits, and its version is the fencing token that
workers check. The lease only tells when a claim is due.
"""

import logging
import math

import msgspec
import trio

from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import PoolName
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
# Three renewals missed; a successor is at work well before workers' leases,
# which last 6 s or more, have ended.
LAPSE_S = 1.7
_FOLLOW_WAIT_S = 0.9
# Renewals of all slices that come within this time share one answer.
_FOLLOW_GAP_S = 0.3
_RETRY_S = 0.2
# Callers are told counts that are at most this old.
_COUNT_AGE_S = 2.0


class SeenLease(msgspec.Struct, kw_only=True, eq=False):
    """A lease as last seen, and since when it has not changed.

    It was written after ``written_after``, steady seconds; a lease that was
    read rather than followed may be of any age.
    """

    lease: Lease
    version: int
    changed_at: float
    written_after: float = -math.inf


class LeaseTracker:
    """All slices' leases, followed in the store."""

    def __init__(self, *, store: RowStore) -> None:
        """Know nothing yet."""
        self.seen: dict[PoolName, SeenLease] = {}
        self.loaded = trio.Event()
        self.changed = trio.Event()
        self._missing: set[str] = set()
        self._store = store
        self._blind_since: float | None = None

    @property
    def blind(self) -> bool:
        """Whether the store doesn't answer this node."""
        return self._blind_since is not None

    def due(self, pool: PoolName, *, node: str, now: float) -> bool:
        """Tell whether a slice should be claimed.

        An unchanged lease counts only while the store was watched all along.
        A lease of this node's own earlier life has no owner for certain.
        """
        if not self.loaded.is_set() or self.blind or pool in self._missing:
            return False
        seen = self.seen.get(pool)
        if seen is not None and seen.lease.node == node:
            return True
        return not self.lives(pool, now=now)

    def lives(self, pool: PoolName, *, now: float) -> bool:
        """Tell whether a lease was seen to be renewed lately."""
        seen = self.seen.get(pool)
        if seen is None or seen.lease.released:
            return False
        return now - seen.changed_at <= LAPSE_S

    def waiting(
        self, pool: PoolName, *, now: float
    ) -> dict[QueueName, int] | None:
        """Return what waits by queue, ``None`` if that isn't known of now."""
        seen = self.seen.get(pool)
        if seen is None or now - seen.written_after > _COUNT_AGE_S:
            return None
        return seen.lease.waiting

    async def refresh(self, pool: PoolName) -> None:
        """Read one lease now, rather than wait for the feed.

        Raises ``StoreRefusedError`` or ``StoreUncertainError``.
        """
        row = await self._store.read(lease_key(pool))
        if row is not None:
            self._take((row,))

    async def follow(self) -> None:
        """Follow the leases until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                version = await self._begin(nursery)
                await self._follow_feed(version)
                nursery.cancel_scope.cancel()
            await trio.sleep(_RETRY_S)

    def learn(self, conflict: Conflict) -> None:
        """Take in the leases that stood in a claim's way."""
        self._take(
            tuple(row for row in conflict.rows if row.key.table == CLAIMS)
        )

    async def _begin(self, nursery: trio.Nursery) -> int:
        """Have all leases read; return the version from which to follow.

        The store may leave one pool's rows unanswered and serve the others.
        """
        while True:
            try:
                parts = await self._store.parts(table=CLAIMS)
            except (StoreUncertainError, StoreRefusedError) as error:
                self._go_blind(error)
                await trio.sleep(_RETRY_S)
                continue
            self._missing = set(parts.names)
            for part in parts.names:
                nursery.start_soon(self._read_part, part)
            self.loaded.set()
            return parts.version

    async def _follow_feed(self, version: int) -> None:
        """Follow the feed until its history is lost."""
        heard_at = -math.inf
        while True:
            try:
                changes = await self._store.follow(
                    table=CLAIMS, after=version, wait_s=_FOLLOW_WAIT_S
                )
            except (StoreUncertainError, StoreRefusedError) as error:
                self._go_blind(error)
                await trio.sleep(_RETRY_S)
                continue
            except HistoryLostError:
                return
            version = changes.version
            self._see_again()
            self._take(changes.rows, written_after=heard_at)
            heard_at = trio.current_time()
            await trio.sleep(_FOLLOW_GAP_S)

    async def _read_part(self, part: str) -> None:
        while part in self._missing:
            try:
                page = await self._store.scan(table=CLAIMS, part=part)
            except (StoreUncertainError, StoreRefusedError) as error:
                _log.warning('leases of pool=%s not read: %s', part, error)
                await trio.sleep(_RETRY_S)
                continue
            self._missing.discard(part)
            self._take(page.rows)
            _log.info('leases read pool=%s', part)

    def _go_blind(self, error: Exception) -> None:
        if self._blind_since is None:
            self._blind_since = trio.current_time()
            _log.warning('leases can not be watched: %s', error)

    def _see_again(self) -> None:
        if self._blind_since is None:
            return
        now = trio.current_time()
        _log.info(
            'leases are watched again after_s=%.1f', now - self._blind_since
        )
        self._blind_since = None
        for seen in self.seen.values():
            seen.changed_at = now

    def _take(
        self, rows: tuple[StoredRow, ...], *, written_after: float = -math.inf
    ) -> None:
        now = trio.current_time()
        for row in rows:
            pool = PoolName(row.key.part)
            self._missing.discard(pool)
            known = self.seen.get(pool)
            if known is not None and known.version >= row.version:
                continue
            self.seen[pool] = SeenLease(
                lease=_lease_of(row),
                version=row.version,
                changed_at=now,
                written_after=written_after,
            )
        self.changed.set()
        self.changed = trio.Event()


async def claim_slice(
    *,
    store: RowStore,
    lease_tracker: LeaseTracker,
    pool: PoolName,
    lease: Lease,
) -> Claim | None:
    """Claim a slice, or return ``None`` when another was faster.

    Raises ``StoreRefusedError`` or ``StoreUncertainError``.
    """
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
        lease_tracker.learn(answer)
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
        claimed_at=trio.current_time(),
    )


class LeaseKeeper:
    """Renews one slice's lease while its owner runs."""

    def __init__(self, *, store: RowStore, claim: Claim, lease: Lease) -> None:
        """Renew from the version that the claim wrote."""
        self._turn = trio.Lock()
        self._store = store
        self._claim = claim
        self._lease = lease
        self._version: int = claim.token

    async def renew(
        self,
        *,
        waiting: dict[QueueName, int] | None,
        shapes: tuple[Shape, ...] = (),
    ) -> None:
        """Renew once; without a count of what waits it stays unknown.

        Shapes join those that earlier owners have seen. A lease that was
        released isn't renewed any more. Raises ``OwnershipLostError`` when
        another claim stands there.
        """
        async with self._turn:
            if not self._lease.released:
                await self._write(
                    waiting=self._lease.waiting if waiting is None else waiting,
                    shapes=_joined(self._lease.shapes, shapes),
                )

    async def release(self) -> None:
        """Hand the slice over to whoever claims it next."""
        async with self._turn:
            written = False
            while not written:
                written = await self._write(released=True)

    async def _write(self, **changes: object) -> bool:
        """Write the lease, or only learn of an earlier try that was done."""
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


def _joined(
    known: tuple[Shape, ...], found: tuple[Shape, ...]
) -> tuple[Shape, ...]:
    return tuple(dict.fromkeys((*known, *found)))[:MAX_SHAPES]


def _lease_of(row: StoredRow) -> Lease:
    """Read a lease; one that can't be read is up for a claim."""
    try:
        return decode(row.body, Lease)
    except msgspec.ValidationError as error:
        _log.warning('lease of pool=%s not decoded: %s', row.key.part, error)
    return Lease(node='', claim='', address='', number=0, released=True)
