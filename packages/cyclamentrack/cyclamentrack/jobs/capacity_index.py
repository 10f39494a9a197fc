"""The workers of one round, found by the room that they have left."""

import bisect
from collections.abc import Iterable

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.layout import suits
from cyclamentrack.jobs.model import Step
from cyclamentrack.resources import Resources


class CapacityIndex:
    """Usable workers in the order of their free processors.

    Within a round rooms only shrink. So a step looks at the workers that
    have processors enough, and a need that found no room rules out all that
    are as large.
    """

    def __init__(self, workers: list[Worker]) -> None:
        """Take the room of each worker as it is now."""
        self.version = 0
        self._workers = workers
        self._rooms = [worker.free for worker in workers]
        self._numbers: dict[WorkerId, int] = {
            worker.entry.id: number for number, worker in enumerate(workers)
        }
        self.free = total(self._rooms)
        self._order = sorted(
            (room.milli_cores, number)
            for number, room in enumerate(self._rooms)
        )
        self._too_large: list[Resources] = []

    def with_room_among(
        self, step: Step, names: Iterable[WorkerId]
    ) -> list[Worker]:
        """Return those of some workers that have room for a task of a step."""
        need = charge(step)
        numbers = sorted(
            self._numbers[name] for name in names if name in self._numbers
        )
        return [
            self._workers[number]
            for number in numbers
            if need.fits(self._rooms[number])
            and suits(step, self._workers[number])
        ]

    def with_room(self, step: Step) -> list[Worker]:
        """Return the workers that have room for a task of a step."""
        need = charge(step)
        if any(one.fits(need) for one in self._too_large):
            return []
        first = bisect.bisect_left(self._order, (need.milli_cores, 0))
        numbers = sorted(
            number
            for _, number in self._order[first:]
            if need.fits(self._rooms[number])
        )
        if not numbers:
            self._rule_out(need)
        return [
            self._workers[number]
            for number in numbers
            if suits(step, self._workers[number])
        ]

    def shrink(self, worker: Worker) -> None:
        """Look anew at the room of a worker that was given a task."""
        self.version += 1
        number = self._numbers.get(worker.entry.id)
        if number is None:
            return
        former = (self._rooms[number].milli_cores, number)
        self._order.pop(bisect.bisect_left(self._order, former))
        self._rooms[number] = worker.free
        bisect.insort(self._order, (worker.free.milli_cores, number))

    def _rule_out(self, need: Resources) -> None:
        smaller = [one for one in self._too_large if not need.fits(one)]
        self._too_large = [*smaller, need]


def total(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of many amounts."""
    added = list(amounts)
    return Resources(
        milli_cores=sum(one.milli_cores for one in added),
        memory_mib=sum(one.memory_mib for one in added),
        accelerators=sum(one.accelerators for one in added),
    )
