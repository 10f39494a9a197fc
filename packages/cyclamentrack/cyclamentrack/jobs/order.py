"""Scheduling order of steps when more is ready than fits.

Queues of priority 0 come first. Among the others the job that must start
soonest to end within its objective is next, whatever its queue, so that no
queue starves behind another. A job that misses its objective is still worth a
fifth if it ends within three times the objective, and nothing after that. Such
late jobs come next, and worthless ones last, after all others of the pool even
if they are urgent. Among jobs that are worth the same, those that arrived
within their account's rate come before the others, which are ordered by the
weighted dominant share of their account.

The order is made for bursts of large jobs on top of a steady flow, and for
accounts that send several times their usual: what these sent for seconds would
otherwise delay all jobs of a queue long after the burst.
"""

import enum

import msgspec

from cyclamentrack.jobs.critical_path import waves
from cyclamentrack.jobs.registry import JobRun, StepRun, TaskRun

# A job that ends within this many times its objective is still worth a part.
LATE_FACTOR = 3.0
# Each lower priority level counts as starting this much later: about the time
# in which a whole worker becomes free for a gang.
_PRIORITY_S = 5.0


class Prospect(enum.IntEnum):
    """What a job is still worth if it starts now."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class SchedulingKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Sort key of a ready step; the smallest is next.

    ``share`` is the weighted dominant share of an account that is beyond its
    rate, and 0 of others.
    """

    worthless: bool
    after_urgent: bool
    prospect: int
    beyond_rate: bool
    share: float
    latest_start: float
    job: str


def prospect(entry: JobRun, *, latest: float, now: float) -> Prospect:
    """Return what a job is still worth if it must start by ``latest``."""
    if now <= latest:
        return Prospect.IN_TIME
    allowed = entry.due_by - entry.arrived_at
    if now <= latest + (LATE_FACTOR - 1.0) * allowed:
        return Prospect.LATE
    return Prospect.WORTHLESS


class ReadyStep(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """A step with waiting tasks, as of one round."""

    entry: JobRun
    step: StepRun
    waiting: list[TaskRun]
    latest_start: float

    def scheduling_key(
        self, now: float, *, share: float = 0.0
    ) -> SchedulingKey:
        """Return the step's sort key; ``share`` is that of the job's account.

        Lasting tasks have no end, so they never become worthless.
        """
        outlook = self.prospect(now)
        latest = self.latest_start + _PRIORITY_S * self.entry.queue.priority
        worthless = outlook is Prospect.WORTHLESS
        if self.step.step.lasting:
            latest = self.step.opened_at
            worthless = False
        beyond_rate = not self.entry.within_rate
        return SchedulingKey(
            worthless,
            self.entry.queue.priority > 0,
            outlook,
            beyond_rate,
            share if beyond_rate else 0.0,
            latest,
            self.entry.job.id,
        )

    def prospect(self, now: float) -> Prospect:
        """Return what the job is still worth."""
        return prospect(self.entry, latest=self.latest_start, now=now)

    def worthwhile(self, now: float) -> bool:
        """Return whether the job is still worth anything."""
        return self.prospect(now) < Prospect.WORTHLESS


def ready_step(entry: JobRun, step: StepRun) -> ReadyStep | None:
    """Return a step with its waiting tasks, or ``None`` if none waits."""
    waiting = step.idle
    if not waiting:
        return None
    return ReadyStep(
        entry=entry,
        step=step,
        waiting=waiting,
        latest_start=latest_start(entry, step, count=len(waiting)),
    )


def latest_start(entry: JobRun, step: StepRun, *, count: int) -> float:
    """Return when a step's waiting tasks must start to end the job in time.

    It is a steady time: the due time less the time of this step's waves and
    of the steps that follow.
    """
    number = step.name.step
    pool_slots = entry.critical_path.pool_slots[number]
    own_s = step.task_s * waves(step.step, count, pool_slots)
    return entry.due_by - entry.critical_path.after_s[number] - own_s
