"""Rates and shares of client accounts in one pool.

An account is owed ``weight`` jobs a second, and beyond that only what others
leave. This is made for accounts that send several times their usual load for
seconds, in a pool that is in full use anyway.
"""

from collections.abc import Callable, Iterable

import msgspec

from cyclamentrack.jobs.accounts import NO_ACCOUNT, AccountName
from cyclamentrack.jobs.capacity_index import total
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.registry import JobRegistry
from cyclamentrack.resources import Resources

# An account may send the jobs of this time at once. Callers count seconds, and
# independent callers of one account come in clusters.
_BURST_S = 2.0
# An account that sends a job less often than once in ``_BURST_S`` may still
# send it.
_LEAST_BURST = 1.0
# An account is far beyond its rate with this many bursts in excess.
_FAR_BEYOND = 2.0

AccountWeight = Callable[[AccountName], float | None]
"""Returns the weight of an account, ``None`` if no account has this name."""

_NO_WEIGHTS: dict[AccountName, float] = {}


def no_weight(name: AccountName) -> float | None:
    """Return no weight, where there are no accounts."""
    return _NO_WEIGHTS.get(name)


class _Bucket(msgspec.Struct, kw_only=True, eq=False):
    """Token bucket of one account: the jobs that it may send now.

    ``excess`` counts the jobs beyond the rate. They are paid off at the rate
    too, so it only grows while the account sends twice its weight.
    """

    tokens: float
    excess: float = 0.0
    filled_at: float


class AccountRates:
    """Tells which jobs arrive within the rate that their account is owed.

    Jobs of no account, or of one that isn't configured, have no rate and are
    always within it. The rates of one pool don't count the jobs of others.
    """

    def __init__(self, *, weight: AccountWeight) -> None:
        """Start with each account's whole burst."""
        self._weight = weight
        self._buckets: dict[AccountName, _Bucket] = {}

    def admit(self, account: AccountName, *, arrived_at: float) -> bool:
        """Count a job and return whether it is within its account's rate.

        A job beyond the rate takes nothing from later ones.
        """
        weight = None if account == NO_ACCOUNT else self._weight(account)
        if weight is None:
            return True
        bucket = self._filled(account, weight, arrived_at)
        if bucket.tokens < 1:
            bucket.excess += 1
            return False
        bucket.tokens -= 1
        return True

    def far_beyond(self, now: float) -> tuple[AccountName, ...]:
        """Return the accounts that have sent far more than their rate.

        Accounts send independent jobs in clusters, so one that sends its usual
        is now and then beyond its rate, but not for long.
        """
        found = []
        for account in self._buckets:
            weight = self._weight(account)
            if weight is None:
                continue
            bucket = self._filled(account, weight, now)
            if bucket.excess > _FAR_BEYOND * _burst(weight):
                found.append(account)
        return tuple(found)

    def _filled(
        self, account: AccountName, weight: float, now: float
    ) -> _Bucket:
        burst = _burst(weight)
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = _Bucket(tokens=burst, filled_at=now)
            self._buckets[account] = bucket
        passed_s = max(now - bucket.filled_at, 0.0)
        bucket.tokens = min(bucket.tokens + passed_s * weight, burst)
        bucket.excess = max(bucket.excess - passed_s * weight, 0.0)
        bucket.filled_at = max(now, bucket.filled_at)
        return bucket


def _burst(weight: float) -> float:
    """Return how many jobs an account may send at once."""
    return max(weight * _BURST_S, _LEAST_BURST)


def account_shares(
    *, registry: JobRegistry, workers: Iterable[Worker], weight: AccountWeight
) -> dict[AccountName, float]:
    """Return the weighted dominant share of each account that runs tasks."""
    present = list(workers)
    needs: dict[AccountName, list[Resources]] = {}
    for worker in present:
        for (task, _), charged in worker.charges.items():
            entry = registry.jobs.get(task.job)
            if entry is not None and entry.job.account:
                needs.setdefault(entry.job.account, []).append(charged.need)
    whole = total(worker.entry.capacity for worker in present)
    return {
        account: total(amounts).weighted_share(
            whole, weight=_weight_or_default(weight(account))
        )
        for account, amounts in needs.items()
    }


def _weight_or_default(weight: float | None) -> float:
    """Return the weight; that of an account that was removed is 1."""
    return 1.0 if weight is None else weight
