"""Maintains one pool's allotments of all accounts in the store.

The rows are followed by a change feed. A row is written by compare-and-swap on
its version, several rows in one transaction, and only where a need or a cap
has changed. A reply may be lost and the write be applied later; until the
row's version has moved, the lower of the two amounts counts as this pool's.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec
import trio

from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.account_usage import AccountUsage
from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.allotments import (
    AccountRow,
    Allotment,
    amounts,
    falls,
    is_capped,
    is_introduced,
    must_be_stored,
    next_allotment,
    resources,
    without_claims,
)
from cyclamentrack.jobs.feeds import FeedHealth
from cyclamentrack.jobs.journal import OwnershipLostError
from cyclamentrack.jobs.model import Configuration
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Conflict,
    Expect,
    HistoryLostError,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import ALLOTMENTS, Claim, allotment_key
from cyclamentrack.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies

_log = logging.getLogger(__name__)

_FEED_WAIT_S = 1.0
# A change of cap between two pools takes up to three writes and two answers of
# the feed, and is to take about a second.
_FEED_GAP_S = 0.1
_WRITE_GAP_S = 0.2
# Nothing starts before an owner has adopted the rows, once for each claim.
_ADOPTION_GAP_S = 0.02
_CHECK_GAP_S = 0.02
_RETRY_S = 0.15
_COMMIT_TIMEOUT_S = 1.0
# How often it is checked whether the configuration has caps now.
_CAPS_CHECK_S = 0.1
# The store accepts 100 entries per call; each row takes two of them.
_MAX_ROWS = 48
# Owners that adopt the same rows at the same time conflict, and a conflict
# costs all rows of a call.
_MIN_ROWS = 4
_MILLI = 1000
# A start must reach its worker while the configuration is still current.
_CONFIGURATION_AGE_SHARE = 0.9


class _Read(msgspec.Struct, frozen=True, kw_only=True):
    """From ``since`` on, a row must be known as of ``after`` or later.

    A row that says that ``version`` was in force everywhere will do as well.
    """

    since: float
    after: float
    version: int


class AccountState(msgspec.Struct, kw_only=True, eq=False):
    """What an owner knows of the row of an account, and the account's cap.

    ``introduced`` is the configuration's version in which this owner noticed
    that a dimension has a cap now. ``uncertain`` are own amounts of writes
    whose outcome isn't known, conditional on the present ``version``.
    """

    cap: Resources
    introduced: int = 0
    row: AccountRow = msgspec.field(default_factory=AccountRow)
    version: int = 0
    uncertain: list[Resources] = msgspec.field(default_factory=list)
    reads: list[_Read] = msgspec.field(default_factory=list)


class _Write(msgspec.Struct, frozen=True, kw_only=True):
    """One row to write, on the condition that the known version holds."""

    account: AccountName
    state: AccountState
    row: AccountRow


class AllotmentRows:
    """The allotments of one pool under one claim.

    Times are in seconds of a clock that goes on while the machine is
    suspended.
    """

    def __init__(
        self,
        *,
        claim: Claim,
        usage: AccountUsage,
        dependencies: OwnerDependencies,
        on_change: Callable[[], None],
    ) -> None:
        """Create the task; it reads nothing until ``run``.

        ``on_change`` is called when starts may have become possible.
        """
        self.accounts: dict[AccountName, AccountState] = {}
        self._claim = claim
        self._usage = usage
        self._dependencies = dependencies
        self._on_change = on_change
        self._configuration: Configuration | None = None
        self._as_of = -math.inf
        self._rolled_out_at = math.inf
        self._read_after: set[float] = set()
        self._feed_scope = trio.CancelScope()
        self._health = FeedHealth(name='allotments')
        self._due: dict[AccountName, None] = {}
        self._wake = trio.Event()
        self._max_rows = _MAX_ROWS

    @property
    def now(self) -> float:
        """The time, including that in which the machine was suspended."""
        return trio.current_time() + self._dependencies.suspended_s()

    @property
    def configuration_is_current(self) -> bool:
        """Whether no other version than the known ones must be in force."""
        limit_s = (
            _CONFIGURATION_AGE_SHARE
            * self._dependencies.timings.configuration_s
        )
        return self._dependencies.configuration_age_s() < limit_s

    def own_amount(self, account: AccountName) -> Resources | None:
        """Return the amount that this owner may rely on.

        ``None`` if nothing may start: the account hasn't been adopted, or what
        is known of it may be outdated.
        """
        state = self.accounts.get(account)
        if state is None or not self.configuration_is_current:
            return None
        own = state.row.pools.get(self._claim.pool)
        if own is None or own.token != self._claim.token:
            return None
        if self._is_awaiting(state) or self._is_outdated(state):
            return None
        return _lowest([own.amount, *state.uncertain])

    def row(self, account: AccountName) -> AccountRow:
        """Return an account's row with the claims that count."""
        configured = self._configuration.pools if self._configuration else ()
        return without_claims(self.accounts[account].row, configured)

    def note(self, account: AccountName) -> None:
        """Check an account's allotment soon, since its needs have changed."""
        if account in self.accounts:
            self._due[account] = None
            self._wake.set()

    def apply_configuration(self, configuration: Configuration | None) -> None:
        """Take over the caps of a version of the configuration."""
        if configuration is None or configuration is self._configuration:
            return
        noticed = None if self._configuration is None else configuration.version
        self._configuration = configuration
        rollout = self._dependencies.configuration_rollout()
        rollout_s = self._dependencies.timings.configuration_s
        self._rolled_out_at = rollout.read_at + rollout_s
        former = self.accounts
        self.accounts = {}
        for account in configuration.accounts or ():
            if is_capped(account.cap) and account.name not in self.accounts:
                self.accounts[account.name] = self._state(
                    former.get(account.name), account.cap, noticed
                )
        if self.accounts:
            self._read_after.add(self._rolled_out_at)
        if noticed is not None:
            self._due.update(dict.fromkeys(self.accounts))
        self._feed_scope.cancel()
        self._wake.set()

    async def run(self) -> None:
        """Maintain the rows while the configuration has caps.

        Raises ``OwnershipLostError`` once a newer owner has written a row.
        """
        while True:
            while not self.accounts:
                await trio.sleep(_CAPS_CHECK_S)
                self.apply_configuration(self._dependencies.configuration())
            async with trio.open_nursery() as nursery:
                version = await self._read_all()
                self._note_all()
                nursery.start_soon(self._write_due_rows)
                await self._follow(version)
                nursery.cancel_scope.cancel()

    def _state(
        self, former: AccountState | None, cap: Resources, noticed: int | None
    ) -> AccountState:
        """Return the state of an account with its new cap.

        ``noticed`` is the version of the configuration if this owner knew the
        one before.
        """
        before = former.cap if former else NO_RESOURCES
        state = former or AccountState(cap=cap)
        state.cap = cap
        if falls(before, cap):
            state.reads.extend(self._reads_after_fall())
        if noticed is not None and is_introduced(before, cap):
            state.introduced = noticed
        return state

    def _reads_after_fall(self) -> tuple[_Read, _Read]:
        """Return what must be known of a row once its account's cap fell."""
        version = self._configuration.version if self._configuration else 0
        rollout = self._dependencies.configuration_rollout()
        rollout_s = self._dependencies.timings.configuration_s
        self._read_after.add(rollout.read_at)
        return (
            _Read(
                since=rollout.read_at, after=rollout.read_at, version=version
            ),
            _Read(
                since=rollout.stored_after + rollout_s,
                after=self._rolled_out_at,
                version=version,
            ),
        )

    def _note_all(self) -> None:
        """Check all accounts, first those that something waits for."""
        names = sorted(
            self.accounts,
            key=lambda name: (
                self._usage.waiting.get(name) is None,
                self._usage.used(name) == NO_RESOURCES,
            ),
        )
        self._due.update(dict.fromkeys(names))
        self._wake.set()

    async def _read_all(self) -> int:
        """Read all rows; return the version to follow."""
        while True:
            asked_at = self.now
            try:
                page = await self._dependencies.store.scan(
                    table=ALLOTMENTS, part=''
                )
            except (StoreUncertainError, StoreRefusedError) as error:
                self._health.note_failure(error)
                await trio.sleep(_RETRY_S)
                continue
            self._apply_rows(page.rows, asked_at)
            return page.version

    async def _follow(self, version: int) -> None:
        """Follow the rows until the configuration has no caps."""
        while self.accounts:
            asked_at = self.now
            self._feed_scope = trio.CancelScope()
            try:
                with self._feed_scope:
                    changes = await self._dependencies.store.follow(
                        table=ALLOTMENTS,
                        after=version,
                        wait_s=self._feed_wait_s(),
                    )
            except (StoreUncertainError, StoreRefusedError) as error:
                self._health.note_failure(error)
                await trio.sleep(_RETRY_S)
                continue
            except HistoryLostError:
                version = await self._read_all()
                continue
            if self._feed_scope.cancelled_caught:
                continue
            self._health.note_answer()
            version = changes.version
            self._apply_rows(changes.rows, asked_at)
            await trio.sleep(_FEED_GAP_S)

    def _feed_wait_s(self) -> float:
        """Return how long the feed may wait; it answers at once if needed."""
        next_at = min(self._read_after, default=math.inf)
        return min(max(next_at - self.now, 0.0), _FEED_WAIT_S)

    def _apply_rows(self, rows: Iterable[StoredRow], as_of: float) -> None:
        """Take rows over; all changes up to ``as_of`` are known then."""
        for row in rows:
            self._apply_row(row)
        self._as_of = max(self._as_of, as_of)
        left = {one for one in self._read_after if one > as_of}
        if left != self._read_after:
            self._read_after = left
            self._note_all()
        self._on_change()

    def _apply_row(self, stored: StoredRow) -> None:
        """Take a row over unless a newer version is known.

        A row that can't be decoded is replaced as if it were new: nothing
        starts before all pools have written their amounts again.
        """
        account = AccountName(stored.key.key)
        state = self.accounts.get(account)
        if state is None or stored.version <= state.version:
            return
        try:
            row = decode(stored.body, AccountRow)
        except msgspec.ValidationError as error:
            _log.error('allotments not decoded account=%s: %s', account, error)
            row = AccountRow()
        own = row.pools.get(self._claim.pool)
        if own is not None and own.token > self._claim.token:
            raise OwnershipLostError(part=self._claim.pool)
        self._replace(state, row, stored.version)
        self.note(account)

    def _replace(
        self, state: AccountState, row: AccountRow, version: int
    ) -> None:
        state.row = row
        state.version = version
        state.uncertain = []

    def _is_awaiting(self, state: AccountState) -> bool:
        """Return whether runs of some pool may not be covered by the row."""
        if state.introduced > state.row.introduced:
            return True
        configured = self._configuration.pools if self._configuration else ()
        return any(pool in configured for pool in state.row.awaited)

    def _is_outdated(self, state: AccountState) -> bool:
        """Return whether the row may lack amounts of before the cap fell.

        Others may have raised theirs under the former cap until the new one is
        in force everywhere. After that the row must be as of then. The moment
        isn't known exactly, so nothing starts between its bounds, unless the
        row says that it has passed. An owner that has just started can't tell
        a new cap from one that has been in force for long without that.
        """
        if not state.reads:
            return False
        state.reads = [
            one
            for one in state.reads
            if one.after > self._as_of and one.version > state.row.rolled_out
        ]
        now = self.now
        return any(one.since <= now for one in state.reads)

    async def _write_due_rows(self) -> None:
        """Write rows that must change, a few times a second at most."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            self.apply_configuration(self._dependencies.configuration())
            writes = self._next_writes()
            gap_s = self._gap_s(writes)
            if writes:
                await self._commit(writes)
            await trio.sleep(gap_s)

    def _gap_s(self, writes: list[_Write]) -> float:
        """Return how long to wait before the next check."""
        if not writes:
            return _CHECK_GAP_S
        if any(self._is_adoption(one) for one in writes):
            return _ADOPTION_GAP_S
        return _WRITE_GAP_S

    def _is_adoption(self, write: _Write) -> bool:
        """Return whether a row is still to be written the first time."""
        own = write.state.row.pools.get(self._claim.pool)
        return own is None or own.token != self._claim.token

    def _next_writes(self) -> list[_Write]:
        """Return the writes of the next call; the others stay due."""
        if not self.configuration_is_current:
            self._wake.set()
            return []
        writes: list[_Write] = []
        while self._due and len(writes) < self._max_rows:
            account = next(iter(self._due))
            self._due.pop(account)
            state = self.accounts.get(account)
            row = self._next_row(account, state) if state else None
            if state is not None and row is not None:
                writes.append(_Write(account=account, state=state, row=row))
        if self._due:
            self._wake.set()
        return writes

    def _next_row(
        self, account: AccountName, state: AccountState
    ) -> AccountRow | None:
        """Return the row as it should be, ``None`` if it may stay.

        After a write whose outcome is unknown, it is written in any case: that
        write can't be applied any more once the version has moved.
        """
        configuration = self._configuration
        if configuration is None:
            return None
        pool = self._claim.pool
        row = state.row
        pools = configuration.pools
        claims = without_claims(row, pools)
        new = next_allotment(
            state.cap,
            claims,
            pool,
            self._usage.needs(account),
            token=self._claim.token,
            pools=len(pools) if pool in pools else 0,
        )
        introduced, awaited = self._coverage(state, configuration)
        rolled_out = max(row.rolled_out, self._rolled_out_version())
        if (
            not state.uncertain
            and (introduced, awaited) == (row.introduced, row.awaited)
            and rolled_out == row.rolled_out
            and not must_be_stored(state.cap, claims, pool, new)
        ):
            return None
        return AccountRow(
            pools={**row.pools, pool: new},
            introduced=introduced,
            awaited=awaited,
            rolled_out=rolled_out,
        )

    def _rolled_out_version(self) -> int:
        """Return the known version if it is in force everywhere, else 0."""
        if self._configuration is None or self.now < self._rolled_out_at:
            return 0
        return self._configuration.version

    def _coverage(
        self, state: AccountState, configuration: Configuration
    ) -> tuple[int, tuple[PoolName, ...]]:
        """Return since when runs must be covered, and by which pools still."""
        row = state.row
        others = tuple(
            one for one in configuration.pools if one != self._claim.pool
        )
        if not row.pools:
            return max(configuration.version, row.introduced), others
        if state.introduced > row.introduced:
            return state.introduced, others
        if configuration.version < row.introduced:
            return row.introduced, row.awaited
        return row.introduced, tuple(
            one for one in row.awaited if one != self._claim.pool
        )

    async def _commit(self, writes: list[_Write]) -> None:
        """Write rows together, and learn as much as the answer tells."""
        batch = Batch(
            expected=tuple(
                Expect(allotment_key(one.account), one.state.version)
                for one in writes
            ),
            puts=tuple(
                (allotment_key(one.account), encode(one.row)) for one in writes
            ),
        )
        for one in writes:
            one.state.uncertain.append(self._amount_in(one.row))
        answer = await self._send(batch)
        match answer:
            case Committed(version=version):
                for one in writes:
                    self._note_stored(one, version)
                self._measure_held()
                self._max_rows = min(2 * self._max_rows, _MAX_ROWS)
                self._on_change()
                return
            case Conflict(rows=rows):
                self._max_rows = max(self._max_rows // 2, _MIN_ROWS)
                self._forget_sent(writes)
                for row in rows:
                    self._apply_row(row)
            case StoreRefusedError():
                self._forget_sent(writes)
        self._due.update(dict.fromkeys(one.account for one in writes))
        self._wake.set()

    async def _send(
        self, batch: Batch
    ) -> Committed | Conflict | StoreRefusedError | None:
        """Send a write; ``None`` means that it may be applied, also later."""
        with trio.move_on_after(_COMMIT_TIMEOUT_S):
            try:
                return await self._dependencies.store.commit(batch)
            except StoreRefusedError as error:
                _log.warning(
                    'allotments refused pool=%s: %s', self._claim.pool, error
                )
                return error
            except StoreUncertainError as error:
                _log.warning(
                    'allotments uncertain pool=%s: %s', self._claim.pool, error
                )
        return None

    def _forget_sent(self, writes: list[_Write]) -> None:
        """Forget amounts that have certainly not been stored.

        The list is empty if the version has moved meanwhile.
        """
        for one in writes:
            if one.state.uncertain:
                one.state.uncertain.pop()

    def _note_stored(self, write: _Write, version: int) -> None:
        state = write.state
        before = state.row.pools.get(self._claim.pool)
        if version > state.version:
            self._replace(state, write.row, version)
        amount = self._amount_in(write.row)
        if before is not None and before.amount == amount:
            return
        self._dependencies.metrics.count('allotment_changes')
        needs = self._usage.needs(write.account)
        _log.info(
            'allotment changed account=%s pool=%s amount=%s before=%s '
            'used=%s waiting=%s cap=%s version=%d',
            write.account,
            self._claim.pool,
            amounts(amount),
            amounts(before.amount) if before else None,
            amounts(needs.used),
            amounts(needs.waiting),
            amounts(state.cap),
            version,
        )

    def _measure_held(self) -> None:
        pool = self._claim.pool
        found = [one.row.pools.get(pool) for one in self.accounts.values()]
        cores = sum(one.amount.milli_cores for one in found if one)
        self._dependencies.metrics.gauge(
            f'allotted_cores{{pool="{pool}"}}', cores / _MILLI
        )

    def _amount_in(self, row: AccountRow) -> Resources:
        own: Allotment = row.pools[self._claim.pool]
        return own.amount


def _lowest(found: list[Resources]) -> Resources:
    """Return the lowest amount of each dimension."""
    return resources(
        min(column) for column in zip(*map(amounts, found), strict=True)
    )
