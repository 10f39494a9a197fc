"""Workers that fail, stand still or crawl, found from what their runs show.

Health checks say nothing here: such workers answer every call. Failures in a
row, of tasks that failed nowhere else, put a worker on probation; so does a
run whose progress stands still or is far behind its estimate. A probation
that ends without better news begins anew, longer.
"""

import enum

from cyclamentrack.jobs.book import Placement
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.model import Step

# Progress is read each second, so two readings may show none.
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


def judge(placement: Placement, step: Step, now: float) -> Progress:
    """Judge one run that its worker has under way."""
    still_s = _GANG_STILL_S if step.gang else _STILL_S
    if placement.percent >= _PERCENT or placement.pace < _PERCENT:
        return Progress.FINE
    if now - placement.moved_at > still_s + step.estimate_s / _PERCENT:
        return Progress.STILL
    worked = now - placement.confirmed_at
    if step.lasting or worked < _CRAWL_AFTER_S or step.fills:
        return Progress.FINE
    expected = _PERCENT * worked / max(step.estimate_s, worked)
    if placement.percent * _CRAWL_FACTOR < expected:
        return Progress.CRAWLS
    return Progress.FINE


def worth_moving(placement: Placement, step: Step, now: float) -> bool:
    """Tell whether a crawling run would end sooner if it began elsewhere."""
    worked = now - placement.confirmed_at
    rest = worked * (_PERCENT - placement.percent) / max(placement.percent, 1)
    again = step.estimate_s + _RESTART_COST_S
    if step.checkpointing:
        again *= (_PERCENT - placement.percent) / _PERCENT
    return rest > again + _RESTART_COST_S


def suspect(worker: Worker, now: float) -> None:
    """Put a worker on probation, longer each time in a row."""
    if now < worker.suspect_until:
        return
    worker.probation_s = min(
        max(2 * worker.probation_s, _FIRST_PROBATION_S), _LONGEST_PROBATION_S
    )
    worker.suspect_until = now + worker.probation_s
