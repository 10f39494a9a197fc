"""Finds the workers of one round by their free capacity."""

import bisect
from collections.abc import Iterable

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.model import Step
from cyclamentrack.resources import Resources

# A pool is busy if at least this share of some resource is in use.
BUSY_SHARE = 0.55


class CapacityIndex:
    """Index of usable workers, sorted by their free processors.

    A search only checks the workers with enough free processors. Within a
    round free capacity only shrinks, so a need that fitted nowhere rules out
    every need that is at least as large.
    """

    def __init__(self, workers: list[Worker]) -> None:
        """Index the current free capacity of the workers."""
        self.version = 0
        self._workers = workers
        self._free_by_number = [worker.free for worker in workers]
        self._numbers: dict[WorkerId, int] = {
            worker.entry.id: number for number, worker in enumerate(workers)
        }
        self.total_free = total(self._free_by_number)
        self._order = sorted(
            (amount.milli_cores, number)
            for number, amount in enumerate(self._free_by_number)
        )
        self._too_large: list[Resources] = []

    def with_free_capacity_among(
        self, step: Step, names: Iterable[WorkerId]
    ) -> list[Worker]:
        """Return the named workers with free capacity for a task of a step."""
        need = charge(step)
        numbers = sorted(
            self._numbers[name] for name in names if name in self._numbers
        )
        return [
            self._workers[number]
            for number in numbers
            if need.fits(self._free_by_number[number])
        ]

    def with_free_capacity(self, step: Step) -> list[Worker]:
        """Return the workers with free capacity for a task of a step."""
        need = charge(step)
        if any(one.fits(need) for one in self._too_large):
            return []
        first = bisect.bisect_left(self._order, (need.milli_cores, 0))
        numbers = sorted(
            number
            for _, number in self._order[first:]
            if need.fits(self._free_by_number[number])
        )
        if not numbers:
            self._rule_out(need)
        return [self._workers[number] for number in numbers]

    def update(self, worker: Worker) -> None:
        """Update the free capacity of a worker that was assigned a task."""
        self.version += 1
        number = self._numbers.get(worker.entry.id)
        if number is None:
            return
        previous = (self._free_by_number[number].milli_cores, number)
        self._order.pop(bisect.bisect_left(self._order, previous))
        self._free_by_number[number] = worker.free
        bisect.insort(self._order, (worker.free.milli_cores, number))

    def _rule_out(self, need: Resources) -> None:
        smaller = [one for one in self._too_large if not need.fits(one)]
        self._too_large = [*smaller, need]


def total(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of some resource amounts."""
    added = list(amounts)
    return Resources(
        milli_cores=sum(one.milli_cores for one in added),
        memory_mib=sum(one.memory_mib for one in added),
        accelerators=sum(one.accelerators for one in added),
    )
