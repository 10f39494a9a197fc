"""Detects workers that fail, stall or are slow from the progress of their runs.

Health checks don't help: such workers answer every call. A worker is
quarantined after failures in a row of tasks that failed nowhere else, if a
run makes no progress or is far behind its estimate, and if runs of several
jobs are all slowed down. After the quarantine a worker is probed: it gets a
single run until that run shows progress, or for a limited time if it shows
neither progress nor a fault. A failed probe starts another, longer quarantine.
Lasting tasks and gangs don't serve as probes.
"""

import enum
import logging
import math
import statistics
from collections.abc import Iterable

import msgspec

from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.model import QueueName, Step
from cyclamentrack.jobs.registry import Placement, StepRun

_log = logging.getLogger(__name__)

# A run's progress isn't evaluated before this time after its start.
_MEASURE_AFTER_S = 0.35
# A run is slowed down from this factor on. Estimates may be wrong, but hardly
# for several jobs at once and in the same direction.
SLOWDOWN_FACTOR = 2.5
_SLOW_JOBS = 2
# Error of a queue's estimates, as the median absolute logarithm of the ratio
# of actual to estimated time. Estimates that can be trusted are off by up to a
# half, others by a factor of two or more.
_TRUSTED_ERROR = 0.4
_INITIAL_ERROR = 0.6
_ERROR_STEP = 0.03
# Progress is read with each poll, so several readings in a row show none
# before a run counts as stalled.
_STALLED_S = 2.6
# The members of a gang wait for each other before they make progress.
_GANG_STALLED_S = 4.5
# Estimates are off by up to a factor of 2, and workers differ by 1.6.
_SLOW_FACTOR = 3.5
_SLOW_AFTER_S = 1.5
# A restart costs a stop, a new decision and, from a checkpoint, a restore.
_RESTART_COST_S = 1.5
_FIRST_QUARANTINE_S = 2.0
_LONGEST_QUARANTINE_S = 6.0
# A probe that shows nothing for this long ends. A stalled run shows itself in
# half that time.
_LONGEST_PROBE_S = 6.0
_PERCENT = 100.0


class Progress(enum.Enum):
    """Classification of a run's progress."""

    FINE = 'fine'
    STALLED = 'still'
    SLOW = 'crawls'


def classify_progress(
    placement: Placement, step: Step, now: float, *, typical_s: float
) -> Progress:
    """Classify the progress of one run on its worker.

    If ``typical_s`` is 0, the time that the run should take is unknown, and
    only a stalled run is detected.
    """
    stalled_s = _GANG_STALLED_S if step.gang else _STALLED_S
    if placement.percent >= _PERCENT or placement.pace < _PERCENT:
        return Progress.FINE
    if now - placement.progressed_at > stalled_s + step.estimate_s / _PERCENT:
        return Progress.STALLED
    worked = now - placement.confirmed_at
    if step.lasting or worked < _SLOW_AFTER_S or step.fills or not typical_s:
        return Progress.FINE
    expected = _PERCENT * worked / max(typical_s, worked)
    if placement.percent * _SLOW_FACTOR < expected:
        return Progress.SLOW
    return Progress.FINE


class Slowdown(msgspec.Struct, frozen=True, kw_only=True):
    """Slowdown of one run; a factor of 2 means that it takes twice as long."""

    placement: Placement
    step: Step
    typical_s: float
    factor: float


class EstimateAccuracy:
    """Tracks from completed runs which queues' estimates can be trusted.

    It follows the median error of the estimates, so that a period of slow
    workers doesn't make a queue's estimates untrusted.
    """

    def __init__(self) -> None:
        """Start without data; no queue's estimates are trusted."""
        self._errors: dict[QueueName, float] = {}

    def record(self, queue: QueueName, step: Step, worked_s: float) -> None:
        """Record how long a completed run took that wasn't resumed."""
        if step.estimate_s <= 0 or worked_s <= 0:
            return
        error = abs(math.log(worked_s / step.estimate_s))
        known = self._errors.get(queue, _INITIAL_ERROR)
        change = _ERROR_STEP if error > known else -_ERROR_STEP
        self._errors[queue] = known + change

    def typical_s(self, queue: QueueName, run: StepRun) -> float:
        """Return how long a task should take in seconds, or 0 if unknown.

        Tasks of one step are alike, so completed ones predict it best.
        """
        if run.durations_s:
            return run.task_s
        if self._errors.get(queue, _INITIAL_ERROR) < _TRUSTED_ERROR:
            return run.step.estimate_s
        return 0.0


def measure_slowdown(
    placement: Placement, step: Step, now: float, *, typical_s: float
) -> Slowdown | None:
    """Measure the slowdown of one run, ``None`` if it can't be measured.

    A gang waits for its slowest member, and a run that was resumed from a
    checkpoint doesn't start at no progress, so neither is measured.
    """
    worked = now - placement.confirmed_at
    measurable = placement.percent < _PERCENT and placement.pace >= _PERCENT
    comparable = not (
        step.lasting or step.fills or step.gang or placement.resumed
    )
    if worked < _MEASURE_AFTER_S or not measurable or not comparable:
        return None
    done_s = typical_s * max(placement.percent, 1.0) / _PERCENT
    if not done_s:
        return None
    return Slowdown(
        placement=placement,
        step=step,
        typical_s=typical_s,
        factor=worked / done_s,
    )


def several_jobs_slowed(found: Iterable[Slowdown]) -> bool:
    """Return whether a worker's runs of several jobs are slowed down.

    The median over all its runs must be slowed down as well.
    """
    slowdowns = list(found)
    slow_jobs = {
        one.placement.task.job
        for one in slowdowns
        if one.factor >= SLOWDOWN_FACTOR
    }
    if len(slow_jobs) < _SLOW_JOBS:
        return False
    return statistics.median(one.factor for one in slowdowns) >= SLOWDOWN_FACTOR


def restart_ends_sooner(found: Slowdown) -> bool:
    """Return whether a run on a slow worker would end sooner on another."""
    left = _PERCENT - found.placement.percent
    remaining_s = found.typical_s * found.factor * left / _PERCENT
    restart_s = found.typical_s
    if found.step.checkpointing:
        restart_s *= left / _PERCENT
    return remaining_s > restart_s + _RESTART_COST_S


def took_expected_time(worked_s: float, *, typical_s: float) -> bool:
    """Return whether a completed run took about as long as it should."""
    return (
        not typical_s
        or worked_s <= _MEASURE_AFTER_S + SLOWDOWN_FACTOR * typical_s
    )


def restart_pays_off(placement: Placement, step: Step, now: float) -> bool:
    """Return whether a slow run would end sooner if restarted elsewhere."""
    worked = now - placement.confirmed_at
    remaining_s = (
        worked * (_PERCENT - placement.percent) / max(placement.percent, 1)
    )
    restart_s = step.estimate_s + _RESTART_COST_S
    if step.checkpointing:
        restart_s *= (_PERCENT - placement.percent) / _PERCENT
    return remaining_s > restart_s + _RESTART_COST_S


def end_long_probe(worker: Worker, now: float) -> None:
    """End a probe that has shown neither progress nor a fault for long."""
    if worker.probing and now >= worker.quarantined_until + _LONGEST_PROBE_S:
        _log.info('probe without a result ended worker=%s', worker.entry.id)
        worker.end_probe()


def quarantine_worker(worker: Worker, now: float, *, why: str) -> None:
    """Quarantine a worker, each time in a row for twice as long, to a limit.

    Nothing changes if the worker is quarantined already.
    """
    if now < worker.quarantined_until:
        return
    worker.probing = True
    worker.probe_run = None
    worker.quarantine_s = min(
        max(2 * worker.quarantine_s, _FIRST_QUARANTINE_S), _LONGEST_QUARANTINE_S
    )
    worker.quarantined_until = now + worker.quarantine_s
    _log.warning(
        'worker quarantined worker=%s why=%s for_s=%.1f',
        worker.entry.id,
        why,
        worker.quarantine_s,
    )
