"""Workers that fail, stand still or crawl, found from what their runs show.

Health checks say nothing here: such workers answer every call. Failures in a
row, of tasks that failed nowhere else, put a worker on probation; so does a
run whose progress stands still or is far behind its estimate, and so do runs
of several jobs that all lag behind. After its probation a worker is on trial:
it gets one run, until that shows progress. A trial that fails begins the
probation anew, longer.
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

# A run's progress says something from here on, seconds after its start.
_LAG_AFTER_S = 0.35
# Estimates are off, but not those of several jobs at once and all one way.
SLOWDOWN_FACTOR = 2.5
_LAG_JOBS = 2
# How far estimates are off, as the median logarithm of the ratio: up to a
# half where they can be trusted, twice or more where they can't.
_TRUSTED_OFF = 0.4
_UNTRIED_OFF = 0.6
_OFF_STEP = 0.03
# Progress is read with each look, so several readings in a row show none.
_STILL_S = 2.6
# The members of a gang wait for each other before they progress.
_GANG_STILL_S = 4.5
# Estimates are off by up to a factor of two; workers differ by 1.6.
_CRAWL_FACTOR = 3.5
_CRAWL_AFTER_S = 1.5
# A restart costs a stop, a new decision and, from a checkpoint, a restore.
_RESTART_COST_S = 1.5
_FIRST_PROBATION_S = 2.0
_LONGEST_PROBATION_S = 6.0
_PERCENT = 100.0


class Progress(enum.Enum):
    """What a run's progress says of its worker."""

    FINE = 'fine'
    STILL = 'still'
    CRAWLS = 'crawls'


def classify_progress(
    placement: Placement, step: Step, now: float, *, typical_s: float
) -> Progress:
    """Judge one run that its worker has under way.

    Where nobody can tell how long it should take, only one that stands still
    is found out.
    """
    still_s = _GANG_STILL_S if step.gang else _STILL_S
    if placement.percent >= _PERCENT or placement.pace < _PERCENT:
        return Progress.FINE
    if now - placement.progressed_at > still_s + step.estimate_s / _PERCENT:
        return Progress.STILL
    worked = now - placement.confirmed_at
    if step.lasting or worked < _CRAWL_AFTER_S or step.fills or not typical_s:
        return Progress.FINE
    expected = _PERCENT * worked / max(typical_s, worked)
    if placement.percent * _CRAWL_FACTOR < expected:
        return Progress.CRAWLS
    return Progress.FINE


class Slowdown(msgspec.Struct, frozen=True, kw_only=True):
    """How far one run is behind: 2 means that it takes twice as long."""

    placement: Placement
    step: Step
    typical_s: float
    factor: float


class EstimateAccuracy:
    """Which queues' estimates can be relied on, learnt from runs that are done.

    Follows the median of how far off they are, so that a spell of slow
    workers doesn't discredit a queue.
    """

    def __init__(self) -> None:
        """Trust no queue yet."""
        self._off: dict[QueueName, float] = {}

    def learn(self, queue: QueueName, step: Step, worked_s: float) -> None:
        """Take in how long a run took that wasn't resumed."""
        if step.estimate_s <= 0 or worked_s <= 0:
            return
        off = abs(math.log(worked_s / step.estimate_s))
        known = self._off.get(queue, _UNTRIED_OFF)
        change = _OFF_STEP if off > known else -_OFF_STEP
        self._off[queue] = known + change

    def typical_s(self, queue: QueueName, run: StepRun) -> float:
        """Return how long a task should take, or 0 if nobody can tell.

        Tasks of one step are alike, so those that are done tell it best.
        """
        if run.durations_s:
            return run.task_s
        if self._off.get(queue, _UNTRIED_OFF) < _TRUSTED_OFF:
            return run.step.estimate_s
        return 0.0


def measure_slowdown(
    placement: Placement, step: Step, now: float, *, typical_s: float
) -> Slowdown | None:
    """Measure one run, or return ``None`` where progress says nothing.

    A gang waits for its slowest member, and a run that was resumed from a
    checkpoint doesn't begin at none.
    """
    worked = now - placement.confirmed_at
    telling = placement.percent < _PERCENT and placement.pace >= _PERCENT
    plain = not (step.lasting or step.fills or step.gang or placement.resumed)
    if worked < _LAG_AFTER_S or not telling or not plain:
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
    """Tell whether a worker's runs, of several jobs, all lag behind."""
    lags = list(found)
    behind = {
        one.placement.task.job for one in lags if one.factor >= SLOWDOWN_FACTOR
    }
    if len(behind) < _LAG_JOBS:
        return False
    return statistics.median(one.factor for one in lags) >= SLOWDOWN_FACTOR


def restart_ends_sooner(found: Slowdown) -> bool:
    """Tell whether a run on a slow worker would end sooner on another."""
    left = _PERCENT - found.placement.percent
    rest = found.typical_s * found.factor * left / _PERCENT
    again = found.typical_s
    if found.step.checkpointing:
        again *= left / _PERCENT
    return rest > again + _RESTART_COST_S


def took_expected_time(worked_s: float, *, typical_s: float) -> bool:
    """Tell whether a run that is done took about as long as it should."""
    return (
        not typical_s or worked_s <= _LAG_AFTER_S + SLOWDOWN_FACTOR * typical_s
    )


def restart_pays_off(placement: Placement, step: Step, now: float) -> bool:
    """Tell whether a crawling run would end sooner if it began elsewhere."""
    worked = now - placement.confirmed_at
    rest = worked * (_PERCENT - placement.percent) / max(placement.percent, 1)
    again = step.estimate_s + _RESTART_COST_S
    if step.checkpointing:
        again *= (_PERCENT - placement.percent) / _PERCENT
    return rest > again + _RESTART_COST_S


def quarantine_worker(worker: Worker, now: float, *, why: str) -> None:
    """Put a worker on probation, longer each time in a row."""
    if now < worker.quarantined_until:
        return
    worker.probing = True
    worker.probe_run = None
    worker.quarantine_s = min(
        max(2 * worker.quarantine_s, _FIRST_PROBATION_S), _LONGEST_PROBATION_S
    )
    worker.quarantined_until = now + worker.quarantine_s
    _log.warning(
        'worker on probation worker=%s why=%s for_s=%.1f',
        worker.entry.id,
        why,
        worker.quarantine_s,
    )
