"""Workers of a slice: free capacity, leases, runs and health."""

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
from cyclamentrack.jobs.registry import Placement
from cyclamentrack.resources import NO_RESOURCES, Resources

_MS_PER_S = 1000
# A worker's steady clock may be slow by this factor, which makes its leases
# last longer.
_CLOCK_SLACK = 1.03
_LEASE_MARGIN_S = 0.3
# When one order goes unanswered, more do within the next seconds, so polls
# stay short for this long.
_UNANSWERED_WINDOW_S = 6.0
# Polls wait for 1.5 s at most.
_ANSWERING_S = 2.0
# Estimates are inexact, so one run changes a worker's known speed only by this
# share.
_LEARNING_RATE = 0.1


class RunCharge(msgspec.Struct, frozen=True, kw_only=True):
    """Resources that a run uses on a worker until its end is reported."""

    need: Resources
    best_effort: bool
    serving: bool
    image: str


class Worker(msgspec.Struct, kw_only=True, eq=False):
    """One worker: its entry, its runs, its lease and its health.

    Times are steady seconds except ``clock_ms``, which is on the worker's
    clock. ``slowness`` is the ratio of the time that runs take on this worker
    to their typical time. A refused or closed connection makes the worker
    ``disconnected`` until its next answer. It is ``silent`` while the last poll
    of it has no answer, and ``leaving`` is the last incarnation of which an
    entry said that it drains. ``lost_runs`` are those that were
    given up when its lease had ended without an answer, and
    ``retired_heard_at`` is when it had answered last if it was retired then
    and has come back. ``processed`` and
    ``acknowledged`` are the numbers of the last end of this incarnation that
    was processed, and of the last one whose effects are stored.
    """

    entry: WorkerEntry
    listed: bool = True
    contacted: bool = False
    incarnation: int = 0
    slowness: float = 1.0
    charges: dict[tuple[TaskName, int], RunCharge] = msgspec.field(
        default_factory=dict,
    )
    used: Resources = NO_RESOURCES
    processed: int = 0
    acknowledged: int = 0
    clock_ms: int | None = None
    clock_at: float = 0.0
    lease_sent_at: float = 0.0
    heard_at: float = 0.0
    retired_heard_at: float | None = None
    disconnected: bool = False
    silent: bool = False
    leaving: int = 0
    failures: int = 0
    quarantined_until: float = 0.0
    retired: bool = False
    unknown_runs: int = 0
    quarantine_s: float = 0.0
    probing: bool = False
    probe_run: tuple[TaskName, int] | None = None
    isolated_run: tuple[TaskName, int] | None = None
    lost_runs: list[Placement] = msgspec.field(default_factory=list)

    @property
    def free(self) -> Resources:
        """Capacity that no run uses; none beside a probe or an isolated run."""
        if self.probing and self.probe_run in self.charges:
            return NO_RESOURCES
        if self.isolated_run in self.charges:
            return NO_RESOURCES
        return self.entry.capacity.minus(self.used)

    def usable(self, *, now: float, unreachable_after_s: float) -> bool:
        """Return whether new runs may be assigned to the worker."""
        return now >= self.quarantined_until and self.present(
            now=now, unreachable_after_s=unreachable_after_s
        )

    def present(self, *, now: float, unreachable_after_s: float) -> bool:
        """Return whether the worker accepts new runs, quarantined or not."""
        known = self.listed and self.contacted and not self.retired
        connected = not self.disconnected
        current = (
            self.incarnation == self.entry.incarnation and not self.unknown_runs
        )
        heard = now - self.heard_at < unreachable_after_s
        ready = self.entry.state is WorkerState.READY
        return all((known, connected, current, heard, ready))

    @property
    def start_obstacle(self) -> str:
        """Why a run that is charged already mustn't start; empty if it may.

        The worker may have changed since the run was assigned to it.
        """
        if self.entry.state is not WorkerState.READY:
            return 'its worker is draining'
        if not self.used.fits(self.entry.capacity):
            return 'its worker has shrunk'
        return ''

    @property
    def last_heard_at(self) -> float | None:
        """When the worker answered this owner last, ``None`` if never."""
        return self.heard_at if self.contacted else self.retired_heard_at

    def answers(self, *, now: float) -> bool:
        """Return whether the worker has answered a call recently."""
        return bool(self.heard_at) and now - self.heard_at < _ANSWERING_S

    def charge_run(
        self, *, task: TaskName, run: int, step: Step, isolated: bool = False
    ) -> None:
        """Charge the worker for a run; an isolated one keeps others away."""
        need = charge(step)
        self.charges[task, run] = RunCharge(
            need=need,
            best_effort=step.fills,
            serving=step.serving_target_ms > 0,
            image=step.image,
        )
        self.used = self.used.plus(need)
        if self.probing and tells_health(step):
            self.probe_run = (task, run)
        if isolated:
            self.isolated_run = (task, run)

    def release(self, *, task: TaskName, run: int) -> None:
        """Remove the charge of a run."""
        if self.charges.pop((task, run), None) is None:
            return
        used = NO_RESOURCES
        for run_charge in self.charges.values():
            used = used.plus(run_charge.need)
        self.used = used

    def release_all(self) -> None:
        """Remove all charges, since nothing runs on the worker any more."""
        self.charges.clear()
        self.used = NO_RESOURCES

    def take_lost_runs(self) -> list[Placement]:
        """Return the lost runs and forget them."""
        lost = self.lost_runs
        self.lost_runs = []
        return lost

    def record_clock(self, *, clock_ms: int, now: float) -> None:
        """Record the worker's clock from an answer received at ``now``."""
        self.clock_ms = clock_ms
        self.clock_at = now
        self.heard_at = now
        self.disconnected = False
        self.silent = False

    def lease_until_ms(
        self, *, now: float, lease_s: float, overdue_s: float
    ) -> int | None:
        """Return the end of a lease given now, on the worker's clock.

        It is as much shorter as the permission to give it is overdue. ``None``
        if nothing is left of it, or if that clock is unknown.
        """
        if self.clock_ms is None or overdue_s >= lease_s:
            return None
        passed = now - self.clock_at + lease_s - overdue_s
        return self.clock_ms + int(passed * _MS_PER_S)

    def leases_expired(
        self, *, now: float, lease_s: float, former_sent_at: float
    ) -> bool:
        """Return whether all leases of the worker have certainly ended.

        A former owner may have extended them until ``former_sent_at``.
        """
        sent_at = max(self.lease_sent_at, former_sent_at)
        return now > lease_end(sent_at=sent_at, lease_s=lease_s)

    def learn_speed(
        self, worked_s: float, typical_s: float, step: Step
    ) -> None:
        """Update the worker's slowness from a completed run."""
        if not step.fills:
            ratio = min(max(worked_s / typical_s, 0.3), 4.0)
            self.slowness += _LEARNING_RATE * (ratio - self.slowness)

    def note_success(self) -> None:
        """Clear the record of failures and end a probe."""
        self.failures = 0
        self.quarantine_s = 0.0
        self.end_probe()

    def end_probe(self) -> None:
        """Let the worker have several new runs at a time again."""
        self.probing = False
        self.probe_run = None


def _successor(former: Worker | None, entry: WorkerEntry) -> Worker:
    """Return a new worker; it may have lost the runs of a retired one."""
    if former is None:
        return Worker(entry=entry)
    return Worker(
        entry=entry,
        leaving=former.leaving,
        lost_runs=former.take_lost_runs(),
        retired_heard_at=former.last_heard_at,
    )


def lease_end(*, sent_at: float, lease_s: float) -> float:
    """Return the time at which a lease that was sent has certainly ended."""
    return sent_at + lease_s * _CLOCK_SLACK + _LEASE_MARGIN_S


def tells_health(step: Step) -> bool:
    """Return whether the run of a task shows how well its worker works.

    Lasting tasks don't end, and a gang fails with any of its members.
    """
    return not (step.lasting or step.gang)


def charge(step: Step) -> Resources:
    """Return the resources that a task of the step is charged for.

    Best-effort tasks use processors that others leave idle, so they are not
    charged for any.
    """
    if not step.fills:
        return step.need
    return Resources(
        milli_cores=0,
        memory_mib=step.need.memory_mib,
        accelerators=step.need.accelerators,
    )


def fits_empty_worker(step: Step, shapes: Iterable[Shape]) -> bool:
    """Return whether a task fits on an empty worker of one of the shapes.

    >>> from cyclamentrack.jobs.model import Shape, Step
    >>> large = Resources(milli_cores=9000, memory_mib=1)
    >>> small = Resources(milli_cores=4000, memory_mib=1)
    >>> fits_empty_worker(Step(count=1, need=large), [Shape(small, ())])
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
        self._unanswered_at = -_UNANSWERED_WINDOW_S
        self._shapes: dict[Shape, None] = {}
        self._capacities: Counter[Resources] | None = None

    @property
    def shapes(self) -> tuple[Shape, ...]:
        """The shapes of all workers that were ever listed, up to a limit."""
        return tuple(self._shapes)

    @property
    def listed(self) -> int:
        """How many workers are listed."""
        return self._count_capacities().total()

    def note_unanswered(self, now: float) -> None:
        """Record that a worker didn't answer an order."""
        self._unanswered_at = now

    def recently_unanswered(self, now: float) -> bool:
        """Return whether some worker didn't answer an order recently."""
        return now - self._unanswered_at < _UNANSWERED_WINDOW_S

    def task_capacity(self, step: Step) -> int:
        """Return how many tasks of a step fit on the listed, empty workers."""
        need = charge(step)
        return sum(
            count * need.times_in(capacity)
            for capacity, count in self._count_capacities().items()
        )

    def update_entry(self, entry: WorkerEntry) -> Worker:
        """Add or update a worker; a known one keeps its runs."""
        self._capacities = None
        worker = self.workers.get(entry.id)
        if worker is None or worker.retired:
            worker = _successor(worker, entry)
            self.workers[entry.id] = worker
        if entry.state is WorkerState.DRAINING:
            worker.leaving = entry.incarnation
        worker.entry = entry
        worker.listed = True
        if len(self._shapes) < MAX_SHAPES:
            self._shapes[_shape(entry)] = None
        return worker

    def mark_unlisted(self, worker: WorkerId) -> None:
        """Record that a worker's entry is gone; its runs may continue."""
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
