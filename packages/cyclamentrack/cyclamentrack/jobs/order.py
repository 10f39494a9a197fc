"""Whose turn it is when more is ready than fits.

Queues of priority 0 come first. Among the others the job that must start
soonest to end within its objective is next, whatever its queue, so that no
queue starves behind another; jobs that can't make it any more follow, since
they earn a fifth, and last those that earn nothing. This answers loads in
which bursts of large jobs meet a steady flow.
"""

import enum

import msgspec

from cyclamentrack.jobs.critical_path import waves
from cyclamentrack.jobs.registry import JobRun, StepRun, TaskRun

# An end within three times the objective still earns a part.
_LATE_FACTOR = 3.0
# A queue of the next lower priority waits this much longer, seconds: about
# the time in which a whole worker becomes free for a gang.
_PRIORITY_S = 5.0


class Prospect(enum.IntEnum):
    """What a job can still earn if it starts now."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class Turn(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Sort key of a step that is ready; the smallest is next."""

    after_urgent: bool
    prospect: int
    latest_start: float
    job: str


def prospect(entry: JobRun, *, latest: float, now: float) -> Prospect:
    """Tell what a job can still earn."""
    if now <= latest:
        return Prospect.IN_TIME
    allowed = entry.due_by - entry.arrived_at
    if now <= latest + (_LATE_FACTOR - 1.0) * allowed:
        return Prospect.LATE
    return Prospect.WORTHLESS


class Ready(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """A step with tasks that wait, as one round sees it."""

    entry: JobRun
    step: StepRun
    waiting: list[TaskRun]
    latest_start: float

    def turn(self, now: float) -> Turn:
        """Return when it is the step's turn."""
        hope = self.prospect(now)
        latest = self.latest_start + _PRIORITY_S * self.entry.queue.priority
        if self.step.step.lasting:
            latest = self.step.opened_at
        return Turn(
            self.entry.queue.priority > 0,
            hope,
            latest,
            self.entry.job.id,
        )

    def prospect(self, now: float) -> Prospect:
        """Tell what the job can still earn."""
        return prospect(self.entry, latest=self.latest_start, now=now)

    def hopeful(self, now: float) -> bool:
        """Tell whether the job can still earn its whole worth or a part."""
        return self.prospect(now) < Prospect.WORTHLESS


def ready(entry: JobRun, step: StepRun) -> Ready | None:
    """Return a step as a round sees it, unless none of its tasks waits."""
    waiting = step.idle
    if not waiting:
        return None
    return Ready(
        entry=entry,
        step=step,
        waiting=waiting,
        latest_start=latest_start(entry, step, count=len(waiting)),
    )


def latest_start(entry: JobRun, step: StepRun, *, count: int) -> float:
    """Return when a step's waiting tasks must start for the job to be due."""
    number = step.name.step
    room = entry.critical_path.rooms[number]
    own_s = step.task_s * waves(step.step, count, room)
    return entry.due_by - entry.critical_path.after_s[number] - own_s
