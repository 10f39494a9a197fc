"""Decides which starts the caps of accounts allow in one pool."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from cyclamentrack.jobs.account_usage import AccountUsage, Waiting
from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.allotment_rows import AllotmentRows
from cyclamentrack.jobs.allotments import (
    Holding,
    amounts,
    gang_fits_cap,
    holding,
    resources,
)
from cyclamentrack.jobs.model import Job, Step
from cyclamentrack.jobs.order import ReadyStep
from cyclamentrack.jobs.records import Claim
from cyclamentrack.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies

_log = logging.getLogger(__name__)

# A start is sent some hundredths of a second after it was decided, or tenths
# with a slow store. One that takes longer may have been paused.
_LONG_START_S = 1.0
# As many steps of an account count as waiting in a round; more than these
# seldom fit the pool, and each costs some microseconds.
_MAX_NOTED = 64


_Basis = tuple[int, Resources, Resources, Resources, Resources, float]


class AccountCaps:
    """The caps of all accounts, as they limit the starts of one pool."""

    def __init__(
        self,
        *,
        claim: Claim,
        dependencies: OwnerDependencies,
        on_change: Callable[[], None],
    ) -> None:
        """Allow no starts of capped accounts until the rows are adopted."""
        self.usage = AccountUsage()
        self.rows = AllotmentRows(
            claim=claim,
            usage=self.usage,
            dependencies=dependencies,
            on_change=on_change,
        )
        self._claim = claim
        self._dependencies = dependencies
        self._blocked: set[AccountName] = set()
        self._taken_caps: dict[AccountName, Resources] = {}
        # A split takes about 0.1 ms, and waiting accounts are looked at in
        # every round, so what a holding was derived from is kept with it.
        self._holdings: dict[AccountName, tuple[_Basis, Holding]] = {}

    def cap(self, account: AccountName) -> Resources:
        """Return the cap of an account; without one it is empty."""
        self.rows.apply_configuration(self._dependencies.configuration())
        state = self.rows.accounts.get(account)
        return state.cap if state else NO_RESOURCES

    def take_changes(self) -> set[AccountName]:
        """Return the accounts whose cap has changed since the last call."""
        self.rows.apply_configuration(self._dependencies.configuration())
        caps = {name: one.cap for name, one in self.rows.accounts.items()}
        self._holdings.clear()
        former = self._taken_caps
        self._taken_caps = caps
        return {
            name
            for name in {*former, *caps}
            if former.get(name) != caps.get(name)
        }

    def charge(self, job: Job, step: Step) -> None:
        """Count a placement."""
        if job.account:
            wall_s = self._dependencies.wall_clock()
            self.usage.charge(job, step, wall_s=wall_s)
            self.rows.note(job.account)

    def release(self, job: Job, step: Step) -> None:
        """Stop counting a placement whose run has certainly ended."""
        if job.account:
            self.usage.release(job, step)
            self.rows.note(job.account)

    def release_former(self) -> None:
        """Stop counting what closed jobs had running before the claim."""
        former = list(self.usage.former)
        self.usage.former = {}
        for account in former:
            self.rows.note(account)

    def holding(self, account: AccountName) -> Holding | None:
        """Return what limits an account, ``None`` if nothing may start."""
        self.rows.apply_configuration(self._dependencies.configuration())
        amount = self.rows.own_amount(account)
        if amount is None:
            return None
        state = self.rows.accounts[account]
        needs = self.usage.needs(account)
        basis = (
            state.version,
            state.cap,
            amount,
            needs.used,
            needs.first,
            needs.started_at_s,
        )
        known = self._holdings.get(account)
        if known is None or known[0] != basis:
            row = self.rows.row(account)
            found = holding(state.cap, row, self._claim.pool, needs, amount)
            known = (basis, found)
            self._holdings[account] = known
        return known[1]

    def start_obstacle(self, job: Job, step: Step, *, since: float) -> str:
        """Why a run that is counted already mustn't start; empty if it may.

        The cap or the allotment may have changed since it was placed at the
        steady time ``since``, and this node may have been paused.
        """
        if not job.account:
            return ''
        self.rows.apply_configuration(self._dependencies.configuration())
        if job.account not in self.rows.accounts:
            if self._may_have_cap(since):
                return 'its account may have a cap now'
            return ''
        found = self.holding(job.account)
        if found is None:
            return 'its account has no current allotment'
        before = self.usage.used(job.account).minus(step.need)
        room = found.room(before, step.need, shared=False, single=not step.gang)
        return '' if room is None or room else 'its account is at its cap'

    def begin_round(self) -> CapRound:
        """Return the state of the caps in one round."""
        return CapRound(caps=self)

    def end_round(self, found: dict[AccountName, Waiting]) -> None:
        """Take over what of the accounts waits after a round."""
        former = self.usage.waiting
        self.usage.waiting = found
        for account in {*former, *found}:
            self.rows.note(account)
        blocked = {name for name, one in found.items() if one.first is not None}
        for account in blocked - self._blocked:
            self._log_blocked(account, found[account])
        self._blocked = blocked
        if self.rows.accounts:
            pool = self._claim.pool
            self._dependencies.metrics.gauge(
                f'accounts_waiting_for_cap{{pool="{pool}"}}', len(blocked)
            )

    def _may_have_cap(self, since: float) -> bool:
        """Return whether an account may have got a cap during a pause."""
        configuration = self._dependencies.configuration()
        return (
            configuration is not None
            and configuration.accounts is not None
            and trio.current_time() - since > _LONG_START_S
            and not self.rows.configuration_is_current
        )

    def _log_blocked(self, account: AccountName, waiting: Waiting) -> None:
        state = self.rows.accounts[account]
        own = state.row.pools.get(self._claim.pool)
        _log.info(
            'account waits for its cap account=%s pool=%s cap=%s amount=%s '
            'used=%s waiting=%s',
            account,
            self._claim.pool,
            amounts(state.cap),
            amounts(own.amount) if own else None,
            amounts(self.usage.used(account)),
            amounts(waiting.need),
        )


class _AccountRound(msgspec.Struct, kw_only=True, eq=False):
    """One account in one round; ``closed`` if nothing more may start."""

    holding: Holding | None
    used: Resources
    waiting: Waiting = msgspec.field(default_factory=Waiting)
    noted: int = 0
    closed: bool = False


class CapRound:
    """What the caps still allow in one round."""

    def __init__(self, *, caps: AccountCaps) -> None:
        """Begin with nothing assigned."""
        self._caps = caps
        self._accounts: dict[AccountName, _AccountRound] = {}

    def admitted(self, ready: ReadyStep, *, free: Resources) -> int:
        """Return how many of a step's waiting tasks may start; a gang whole.

        What the pool's ``free`` capacity has room for counts as waiting.
        """
        count = len(ready.waiting)
        account = ready.entry.job.account
        if not account or not self._caps.rows.accounts:
            return count
        cap = self._caps.cap(account)
        if cap == NO_RESOURCES:
            return count
        step = ready.step.step
        if step.gang and not gang_fits_cap(cap, step.need, step.count):
            return 0
        found = self._find(account)
        room = self._room(found, step)
        if found.noted < _MAX_NOTED:
            found.noted += 1
            self._note_waiting(found, step, count, room, free)
        return min(count, room)

    def room_left(self, ready: ReadyStep) -> int | None:
        """Return how many more of a step's tasks may start.

        ``None`` if the account has no cap.
        """
        found = self._accounts.get(ready.entry.job.account)
        return self._room(found, ready.step.step) if found else None

    def assign(self, account: AccountName, step: Step) -> None:
        """Count a task that was assigned in this round."""
        found = self._accounts.get(account)
        if found is not None:
            found.used = found.used.plus(step.need)
            found.waiting.need = found.waiting.need.minus(step.need)

    def end(self) -> None:
        """Report what waits."""
        self._caps.end_round(
            {
                account: found.waiting
                for account, found in self._accounts.items()
                if found.waiting.first is not None
                or found.waiting.need != NO_RESOURCES
            }
        )

    def _find(self, account: AccountName) -> _AccountRound:
        found = self._accounts.get(account)
        if found is None:
            found = _AccountRound(
                holding=self._caps.holding(account),
                used=self._caps.usage.used(account),
            )
            self._accounts[account] = found
        return found

    def _room(self, found: _AccountRound, step: Step) -> int:
        """Return how many tasks of a step fit; of a gang all or none."""
        if found.holding is None or found.closed:
            return 0
        if not step.gang:
            room = found.holding.room(
                found.used, step.need, shared=True, single=True
            )
            return step.count if room is None else room
        need = step.need.times(step.count)
        room = found.holding.room(found.used, need, shared=True, single=False)
        return step.count if room is None or room else 0

    def _note_waiting(
        self,
        found: _AccountRound,
        step: Step,
        count: int,
        room: int,
        free: Resources,
    ) -> None:
        """Note what waits, and the first start that isn't allowed.

        A task that needs more than the cap has to run alone, so it keeps the
        account's later steps from starting until the account is idle.
        """
        once = step.need.times(step.count) if step.gang else step.need
        if not once.fits(free):
            return
        number = 1 if step.gang else min(count, max(once.times_in(free), 1))
        wanted = found.waiting.need.plus(once.times(number))
        found.waiting.need = resources(map(min, amounts(wanted), amounts(free)))
        if room < count and found.waiting.first is None:
            found.waiting.first = once
        cap = found.holding.cap if found.holding else NO_RESOURCES
        if not room and any(
            whole and one > whole
            for whole, one in zip(amounts(cap), amounts(once), strict=True)
        ):
            found.closed = True
