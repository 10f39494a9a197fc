"""Checks at every start that no account runs more than its cap."""

import math

import trio

from cyclamentrack.jobs.allotments import amounts


class CapWatch:
    """Adds up what the accounts run on the stand-in workers of a world.

    A start must not bring an account above the highest cap of the versions of
    the configuration that may be in force, each until the next one is in force
    everywhere. A task that needs more than the cap
    counts as the whole cap.
    """

    def __init__(self, world):
        self.problems = []
        self._world = world
        world.workers.on_start = self._check

    def running(self, account, pool=None):
        """Return the needs of the runs of an account, maybe of one pool."""
        return [
            self._need(task)
            for worker in self._world.workers.workers.values()
            if pool in {None, worker.entry.pool}
            for task, _ in worker.runs
            if self._world.account_of.get(task.job) == account
        ]

    def _check(self, order):
        account = self._world.account_of.get(order.task.job)
        if not account:
            return
        started = self._need(order.task)
        needs = [*self.running(account), started]
        for dimension, cap in enumerate(self._caps(account)):
            total = sum(min(need[dimension], cap) for need in needs)
            if started[dimension] and total > cap:
                self.problems.append(
                    f'{trio.current_time():.2f}: {account} runs {total} of '
                    f'{cap} with {order.task}'
                )

    def _need(self, task):
        return amounts(self._world.workers.behaviour(task).step.need)

    def _caps(self, account):
        """Return the highest cap in force in each dimension."""
        now = trio.current_time()
        history = self._world.configured_accounts
        ends = [at for at, _ in history[1:]] + [math.inf]
        caps = [
            _cap_in(accounts, account)
            for (_, accounts), end in zip(history, ends, strict=True)
            if end + self._world.rollout_s >= now
        ]
        return [max(column) for column in zip(*caps, strict=True)]


def _cap_in(accounts, name):
    for account in accounts or ():
        if account.name == name:
            return [cap or math.inf for cap in amounts(account.cap)]
    return [math.inf] * 3
