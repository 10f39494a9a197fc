"""The workers of a slice: room, leases, and what their ends say of them."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import (
    MAX_SHAPES,
    Shape,
    Step,
    TaskName,
    WorkerEntry,
    WorkerState,
)
from cyclamentrack.resources import NO_RESOURCES, Resources

_MS_PER_S = 1000
# A worker's steady clock may be this much slow, so its leases last longer.
_CLOCK_SLACK = 1.03
_LEASE_MARGIN_S = 0.3
# Orders that go unanswered come in spells of several seconds.
_TROUBLE_S = 6.0
# Estimates scatter, so one run moves what is known of a speed by so much.
_LEARN_SHARE = 0.1


class RunCharge(msgspec.Struct, frozen=True, kw_only=True):
    """What one run takes of a worker until its end is listed."""

    need: Resources
    fills: bool
    serving: bool
    image: str


class Worker(msgspec.Struct, kw_only=True, eq=False):
    """One worker: its entry, its runs and its lease."""

    entry: WorkerEntry
    listed: bool = True
    contacted: bool = False
    incarnation: int = 0
    slowness: float = 1.0
    charges: dict[tuple[TaskName, int], RunCharge] = msgspec.field(
        default_factory=dict,
    )
    used: Resources = NO_RESOURCES
    acknowledged: int = 0
    clock_ms: int | None = None
    clock_at: float = 0.0
    lease_sent_at: float = 0.0
    heard_at: float = 0.0
    failures: int = 0
    quarantined_until: float = 0.0
    retired: bool = False
    unknown_runs: int = 0
    quarantine_s: float = 0.0
    probing: bool = False
    probe_run: tuple[TaskName, int] | None = None

    @property
    def free(self) -> Resources:
        """What no run has been given; on trial there is room for one run."""
        if self.probing and self.probe_run in self.charges:
            return NO_RESOURCES
        return self.entry.capacity.minus(self.used)

    def usable(self, *, now: float, silence_s: float) -> bool:
        """Tell whether new runs may be given to the worker."""
        return now >= self.quarantined_until and self.present(
            now=now, silence_s=silence_s
        )

    def present(self, *, now: float, silence_s: float) -> bool:
        """Tell whether the worker would take new runs, sick or not."""
        known = self.listed and self.contacted and not self.retired
        current = (
            self.incarnation == self.entry.incarnation and not self.unknown_runs
        )
        heard = now - self.heard_at < silence_s
        ready = self.entry.state is WorkerState.READY
        return all((known, current, heard, ready))

    def take(self, *, task: TaskName, run: int, step: Step) -> None:
        """Charge a run."""
        need = charge(step)
        self.charges[task, run] = RunCharge(
            need=need,
            fills=step.fills,
            serving=step.serving_target_ms > 0,
            image=step.image,
        )
        self.used = self.used.plus(need)
        if self.probing:
            self.probe_run = (task, run)

    def release(self, *, task: TaskName, run: int) -> None:
        """Take a run's charge back."""
        if self.charges.pop((task, run), None) is None:
            return
        used = NO_RESOURCES
        for holding in self.charges.values():
            used = used.plus(holding.need)
        self.used = used

    def release_all(self) -> None:
        """Take all charges back: nothing runs there any more."""
        self.charges.clear()
        self.used = NO_RESOURCES

    def record_clock(self, *, clock_ms: int, now: float) -> None:
        """Note the worker's clock from an answer."""
        self.clock_ms = clock_ms
        self.clock_at = now
        self.heard_at = now

    def lease_until_ms(self, *, now: float, lease_s: float) -> int | None:
        """Return the end of a lease from now, on the worker's clock."""
        if self.clock_ms is None:
            return None
        passed = now - self.clock_at + lease_s
        return self.clock_ms + int(passed * _MS_PER_S)

    def lapsed(self, *, now: float, lease_s: float) -> bool:
        """Tell whether every lease that was given has ended for certain."""
        return (
            now > self.lease_sent_at + lease_s * _CLOCK_SLACK + _LEASE_MARGIN_S
        )

    def learn_speed(
        self, worked_s: float, typical_s: float, step: Step
    ) -> None:
        """Learn from a run that is done how slow the worker is."""
        if not step.fills:
            ratio = min(max(worked_s / typical_s, 0.3), 4.0)
            self.slowness += _LEARN_SHARE * (ratio - self.slowness)

    def note_success(self) -> None:
        """Clear the record of failures, and end a trial."""
        self.failures = 0
        self.quarantine_s = 0.0
        self.probing = False
        self.probe_run = None


def charge(step: Step) -> Resources:
    """Return what a task of the step takes of a worker's capacity."""
    if not step.fills:
        return step.need
    return Resources(
        milli_cores=0,
        memory_mib=step.need.memory_mib,
        accelerators=step.need.accelerators,
    )


def could_hold(step: Step, shapes: Iterable[Shape]) -> bool:
    """Tell whether a worker of some shape, were it empty, could hold a task.

    >>> from cyclamentrack.jobs.model import Shape, Step
    >>> large = Resources(milli_cores=9000, memory_mib=1)
    >>> small = Resources(milli_cores=4000, memory_mib=1)
    >>> could_hold(Step(count=1, need=large), [Shape(small, ())])
    False
    """
    need = charge(step)
    return any(
        need.fits(shape.capacity)
        and (not step.requires or step.requires in shape.labels)
        for shape in shapes
    )


class Fleet:
    """The workers of one pool."""

    def __init__(self) -> None:
        """Start empty."""
        self.workers: dict[WorkerId, Worker] = {}
        self._unanswered_at = -_TROUBLE_S
        self._shapes: dict[Shape, None] = {}
        self._capacities: Counter[Resources] | None = None

    @property
    def shapes(self) -> tuple[Shape, ...]:
        """The shapes of workers that were ever listed."""
        return tuple(self._shapes)

    @property
    def listed(self) -> int:
        """How many workers are listed."""
        return self._count_capacities().total()

    def note_unanswered(self, now: float) -> None:
        """Note that a worker has left an order unanswered."""
        self._unanswered_at = now

    def in_trouble(self, now: float) -> bool:
        """Tell whether some worker left an order unanswered lately."""
        return now - self._unanswered_at < _TROUBLE_S

    def task_capacity(self, step: Step) -> int:
        """Return how many tasks of a step the listed workers hold."""
        need = charge(step)
        return sum(
            count * need.times_in(capacity)
            for capacity, count in self._count_capacities().items()
        )

    def update_entry(self, entry: WorkerEntry) -> Worker:
        """Take in a worker's entry; a known one keeps its runs."""
        self._capacities = None
        worker = self.workers.get(entry.id)
        if worker is None or worker.retired:
            worker = Worker(entry=entry)
            self.workers[entry.id] = worker
        worker.entry = entry
        worker.listed = True
        if len(self._shapes) < MAX_SHAPES:
            self._shapes[_shape(entry)] = None
        return worker

    def mark_unlisted(self, worker: WorkerId) -> None:
        """Note that a worker's entry is gone; its runs may go on."""
        self._capacities = None
        if worker in self.workers:
            self.workers[worker].listed = False

    def _count_capacities(self) -> Counter[Resources]:
        """Count the listed workers by capacity."""
        if self._capacities is None:
            self._capacities = Counter(
                worker.entry.capacity
                for worker in self.workers.values()
                if worker.listed
            )
        return self._capacities


def _shape(entry: WorkerEntry) -> Shape:
    return Shape(entry.capacity, entry.labels)
