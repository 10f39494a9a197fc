"""What the accounts use in one pool, and what of them waits for a cap."""

import msgspec

from cyclamentrack.jobs.accounts import NO_ACCOUNT, AccountName
from cyclamentrack.jobs.allotments import Needs
from cyclamentrack.jobs.model import Job, Step
from cyclamentrack.jobs.registry import JobRegistry, placed_need
from cyclamentrack.resources import NO_RESOURCES, Resources


class Waiting(msgspec.Struct, kw_only=True, eq=False):
    """What of an account waits to be placed, as of one round.

    ``first`` is the need of the first start that the cap didn't allow.
    """

    need: Resources = NO_RESOURCES
    first: Resources | None = None


_NOTHING_WAITS = Waiting()


class AccountUsage:
    """Usage by account, from each placement until its run has ended.

    ``former`` is what closed jobs may still have running after a takeover.
    """

    def __init__(self) -> None:
        """Start with nothing in use."""
        self.former: dict[AccountName, Resources] = {}
        self.waiting: dict[AccountName, Waiting] = {}
        self._placed: dict[AccountName, Resources] = {}
        self._started_at_s: dict[AccountName, float] = {}

    def recover(self, registry: JobRegistry) -> None:
        """Count the runs that the former owner has recorded."""
        for entry in registry.jobs.values():
            self._add(entry.job.account, placed_need(entry))
        for closed in registry.closed.values():
            if closed.running is not None:
                before = self.former.get(closed.account, NO_RESOURCES)
                self.former[closed.account] = before.plus(closed.running)

    def charge(self, job: Job, step: Step, *, wall_s: float) -> None:
        """Count a placement."""
        self._add(job.account, step.need)
        if job.account:
            self._started_at_s[job.account] = wall_s

    def release(self, job: Job, step: Step) -> None:
        """Stop counting a placement."""
        if not job.account:
            return
        left = self.placed(job.account).minus(step.need)
        if left == NO_RESOURCES:
            self._placed.pop(job.account, None)
        else:
            self._placed[job.account] = left

    def placed(self, account: AccountName) -> Resources:
        """Return the needs of an account's placements."""
        return self._placed.get(account, NO_RESOURCES)

    def used(self, account: AccountName) -> Resources:
        """Return what an account may have running."""
        former = self.former.get(account)
        placed = self.placed(account)
        return placed.plus(former) if former else placed

    def needs(self, account: AccountName) -> Needs:
        """Return what an account needs of its cap."""
        waiting = self.waiting.get(account, _NOTHING_WAITS)
        return Needs(
            used=self.used(account),
            waiting=waiting.need,
            first=waiting.first or NO_RESOURCES,
            started_at_s=self._started_at_s.get(account, 0.0),
        )

    def _add(self, account: AccountName, need: Resources) -> None:
        if account != NO_ACCOUNT and need != NO_RESOURCES:
            self._placed[account] = self.placed(account).plus(need)
