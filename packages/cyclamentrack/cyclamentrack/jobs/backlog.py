"""Predicts at a pool's owner how long new jobs wait for their first start.

Work is counted in pool-seconds: the dominant share of the pool that tasks
need, times their duration. The wait is the work that goes first, over the rate
at which the owner starts work. Estimates are wrong and permits take time, so
each queue learns from the waits of jobs that started or lost their worth.
"""

import math
from collections import Counter
from itertools import starmap

import msgspec

from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.admission import PoolFigures, QueueWaits
from cyclamentrack.jobs.capacity_index import BUSY_SHARE
from cyclamentrack.jobs.model import JobId, QueueName, Step
from cyclamentrack.jobs.order import Prospect, ready_step
from cyclamentrack.jobs.registry import JobRegistry, JobRun
from cyclamentrack.jobs.room import Room
from cyclamentrack.resources import Resources

# A pool whose backlog takes longer than this is overloaded: no queue's target
# would be met behind it.
_OVERLOAD_S = 1.0
# Rates are averages over about this time: four renewals of the lease.
_AVERAGE_S = 2.0
# Work starts at this part of the whole pool's capacity until it was measured.
_FIRST_RATE = 0.8
_LEARNING = 0.1
# The accepted share of jobs beyond the rate follows the rate that is left for
# them. With a gain of 0.6 it swung, and more of them were lost.
_SHARE_GAIN = 0.2
_SHARE_STEPS = (0.5, 1.5)
# Some are always accepted, so that the rate at which they come is known.
_LEAST_SHARE = 0.1
_FACTORS = (0.25, 4.0)
_MAX_BASE_S = 5.0
# Waits of a shorter fluid prediction tell about permits rather than the rate.
_SHORT_WAIT_S = 0.2
# The lease carries the figures, so their number is limited.
_MAX_QUEUES = 32
_MAX_ACCOUNTS = 64


class _Rank(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Which jobs go first: a coarse ``SchedulingKey``."""

    after_urgent: bool
    prospect: int
    beyond_rate: bool


class _Learnt(msgspec.Struct, kw_only=True, eq=False):
    """Seconds that jobs of a queue wait without backlog, and a correction."""

    base_s: float = 0.0
    factor: float = 1.0

    def predict(self, fluid_s: float) -> float:
        """Return the predicted wait for one computed from the backlog."""
        return self.base_s + self.factor * fluid_s

    def learn(self, waited_s: float, fluid_s: float) -> None:
        """Learn from the wait of one job."""
        if fluid_s < _SHORT_WAIT_S:
            waited_s = min(waited_s, _MAX_BASE_S)
            self.base_s += _LEARNING * (waited_s - self.base_s)
            return
        ratio = max(waited_s - self.base_s, 0.0) / fluid_s
        ratio = min(max(ratio, _FACTORS[0]), _FACTORS[1])
        self.factor += _LEARNING * (ratio - self.factor)


class _Prediction(msgspec.Struct, frozen=True, kw_only=True):
    """What was predicted for a job when it arrived, in seconds."""

    fluid_s: float
    wait_s: float


class Backlog:
    """Work that waits in one pool, and the rates at which it comes and goes."""

    def __init__(self, *, registry: JobRegistry) -> None:
        """Start without measured rates."""
        self._registry = registry
        self._learnt: dict[QueueName, _Learnt] = {}
        self._predicted: dict[JobId, _Prediction] = {}
        self._arrived: Counter[tuple[bool, bool]] = Counter()
        self._inflow: dict[tuple[bool, bool], float] = {}
        self._started = 0.0
        self._rate = _FIRST_RATE
        self._shares: dict[bool, float] = {False: 1.0, True: 1.0}
        self._measured_at: float | None = None
        self._busy_at = -math.inf
        self._whole: Resources | None = None
        self._work: Counter[_Rank] = Counter()

    def note_arrival(self, entry: JobRun) -> None:
        """Count a job that has just arrived and predict its wait."""
        if self._whole is None:
            return
        job_class = _class_of(entry)
        self._arrived[job_class] += self._waiting_work(entry)
        fluid_s = self._fluid_s(_Rank(job_class[0], 0, job_class[1]))
        self._predicted[entry.job.id] = _Prediction(
            fluid_s=fluid_s, wait_s=self._of(entry).predict(fluid_s)
        )

    def note_start(self, entry: JobRun, step: Step, now: float) -> float | None:
        """Count a started task; return the error of the job's prediction.

        The error is in seconds, ``None`` unless it is the job's first start.
        """
        if self._whole is not None:
            self._started += _pool_seconds(step, self._whole)
        return self._learn(entry, now)

    def forget(self, job: JobId) -> None:
        """Forget a job that has ended."""
        self._predicted.pop(job, None)

    def figures(
        self,
        now: float,
        *,
        whole: Resources,
        used: Resources,
        far_beyond: tuple[AccountName, ...] = (),
        room: Room | None = None,
    ) -> PoolFigures:
        """Measure the backlog and return what nodes need to know of it.

        ``whole`` is the capacity of all workers, ``used`` the part of it in
        use, ``far_beyond`` are the accounts that have sent far more than their
        rate, and ``room`` is what is left for jobs. A pool that hasn't been
        busy isn't overloaded: what waits there waits for permits, for certain
        workers or for its account's cap.
        """
        self._whole = whole
        if used.dominant_share(whole) >= BUSY_SHARE:
            self._busy_at = now
        busy = now - self._busy_at <= _AVERAGE_S
        self._measure_work(now)
        self._measure_rates(now, busy=busy)
        queues = {
            entry.job.queue: entry.queue.priority > 0
            for entry in self._registry.jobs.values()
            if entry.state is None
        }
        total = sum(
            work
            for rank, work in self._work.items()
            if rank.prospect < Prospect.WORTHLESS
        )
        clear_s = total / self._rate
        overloaded = busy and clear_s > _OVERLOAD_S
        waits = list(starmap(self._waits, queues.items()))
        return PoolFigures(
            capacity=whole,
            overloaded=overloaded,
            clear_s=round(clear_s, 2),
            waits=tuple(waits[:_MAX_QUEUES]) if overloaded else (),
            far_beyond=far_beyond[:_MAX_ACCOUNTS],
            room=room,
        )

    def _measure_work(self, now: float) -> None:
        self._work.clear()
        for entry in self._registry.jobs.values():
            if entry.state is not None or entry.job.timed:
                continue
            rank = _rank(entry, now)
            self._work[rank] += self._waiting_work(entry)
            if rank.prospect == Prospect.WORTHLESS:
                self._learn(entry, now)

    def _measure_rates(self, now: float, *, busy: bool) -> None:
        """Average the rates; that of starts only while the pool is busy.

        The owner starts nothing while the store doesn't record starts.
        """
        since = self._measured_at
        self._measured_at = now
        if since is None or now <= since:
            return
        share = 1 - math.exp((since - now) / _AVERAGE_S)
        for job_class in {*self._arrived, *self._inflow}:
            inflow = self._inflow.get(job_class, 0.0)
            rate = self._arrived[job_class] / (now - since)
            self._inflow[job_class] = inflow + share * (rate - inflow)
        if busy and self._started and self._work.total() > _SHORT_WAIT_S:
            rate = self._started / (now - since)
            self._rate += share * (rate - self._rate)
        self._measure_shares()
        self._arrived.clear()
        self._started = 0.0

    def _measure_shares(self) -> None:
        """Adjust which part of jobs beyond the rate is accepted.

        They may use what the jobs that go before them leave.
        """
        left = self._rate
        for after_urgent in (False, True):
            left -= self._inflow.get((after_urgent, False), 0.0)
            accepted = self._inflow.get((after_urgent, True), 0.0)
            share = self._shares[after_urgent]
            wanted = max(left, 0.0) / accepted if accepted else math.inf
            change = 1 + _SHARE_GAIN * (wanted - 1)
            share *= min(max(change, _SHARE_STEPS[0]), _SHARE_STEPS[1])
            self._shares[after_urgent] = min(max(share, _LEAST_SHARE), 1.0)
            left -= accepted

    def _waits(self, queue: QueueName, after_urgent: bool) -> QueueWaits:
        learnt = self._learnt.get(queue) or _Learnt()
        return QueueWaits(
            queue,
            *(
                round(
                    learnt.predict(
                        self._fluid_s(_Rank(after_urgent, prospect, False))
                    ),
                    2,
                )
                for prospect in (Prospect.IN_TIME, Prospect.LATE)
            ),
            self._shares[after_urgent],
        )

    def _fluid_s(self, rank: _Rank) -> float:
        """Return how long the work takes that goes before a new job.

        Later work may go before it too. It isn't counted, since no job is to
        be refused for what may come.
        """
        ahead = sum(work for other, work in self._work.items() if other <= rank)
        return ahead / self._rate

    def _learn(self, entry: JobRun, now: float) -> float | None:
        predicted = self._predicted.pop(entry.job.id, None)
        if predicted is None:
            return None
        waited_s = now - entry.arrived_at
        self._of(entry).learn(waited_s, predicted.fluid_s)
        return waited_s - predicted.wait_s

    def _of(self, entry: JobRun) -> _Learnt:
        return self._learnt.setdefault(entry.job.queue, _Learnt())

    def _waiting_work(self, entry: JobRun) -> float:
        """Return the work of a job that hasn't started, in pool-seconds."""
        whole = self._whole
        if whole is None or entry.job.timed:
            return 0.0
        work = 0.0
        for number, step in enumerate(entry.job.steps):
            run = entry.steps.get((0, number))
            count = step.count if run is None else len(run.idle)
            if count and not step.lasting:
                work += count * _pool_seconds(step, whole)
        return work


def _class_of(entry: JobRun) -> tuple[bool, bool]:
    return entry.queue.priority > 0, not entry.within_rate


def _rank(entry: JobRun, now: float) -> _Rank:
    """Return a job's rank by the step of it that is the least late."""
    found = [
        ready.prospect(now)
        for run in entry.steps.values()
        if not run.done and (ready := ready_step(entry, run))
    ]
    after_urgent, beyond = _class_of(entry)
    prospect = min(found, default=Prospect.IN_TIME)
    if prospect is Prospect.WORTHLESS:
        return _Rank(True, prospect, True)
    return _Rank(after_urgent, prospect, beyond)


def _pool_seconds(step: Step, whole: Resources) -> float:
    if not whole.milli_cores:
        return 0.0
    share = step.need.dominant_share(whole)
    return share * step.estimate_s if math.isfinite(share) else 0.0
