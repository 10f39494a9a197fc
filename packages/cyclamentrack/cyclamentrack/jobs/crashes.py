"""Finds the tasks that crash the workers that run them.

A crash ends all runs of a worker, and most of them have nothing to do with it.
So each run is only suspected: more if it had just begun, and alone if it was
isolated. A suspected task is next started in isolation, on a worker that gets
no other run until it has worked for a while. A task that is suspected enough is
given up with its job, before it takes down one worker after the other.
"""

from collections.abc import Iterable

import msgspec

from cyclamentrack.jobs.registry import Placement, TaskRun

# How long a suspected task runs before its worker gets other runs.
_ISOLATION_S = 0.5
# A run that began this long before the worker was last heard of, or later, may
# have crashed it by starting.
_RECENT_START_S = 1.0
# A run that has worked for this long doesn't crash its worker by starting.
_CLEARED_AFTER_S = 10.0
_RECENT_SUSPICION = 2
_OTHER_SUSPICION = 1
# Two crashes by runs that had just begun, or four by other ones.
_GIVE_UP_SUSPICION = 4
_GIVE_UP_CRASHES = 2
# Runs whose start wasn't answered may not have begun, but hardly this many on
# workers that all crashed.
_CERTAIN_SUSPICION = 5


class CrashedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run of a crashed worker; ``isolated`` if it was to get no others."""

    task: TaskRun
    placement: Placement
    isolated: bool = False


def is_suspected(task: TaskRun) -> bool:
    """Return whether a task must be started in isolation."""
    return task.suspicion >= _RECENT_SUSPICION


def is_hopeless(task: TaskRun) -> bool:
    """Return whether a task is taken to crash every worker."""
    if task.crashes >= _GIVE_UP_CRASHES:
        return task.suspicion >= _GIVE_UP_SUSPICION
    return task.suspicion >= _CERTAIN_SUSPICION


def has_worked(placement: Placement, now: float) -> bool:
    """Return whether an isolated run has worked long enough."""
    return 0 < placement.confirmed_at <= now - _ISOLATION_S


def suspect(runs: Iterable[CrashedRun], *, heard_at: float | None) -> None:
    """Raise the suspicion of the runs of one crashed worker.

    ``heard_at`` is the steady time of its last answer, or ``None`` if it never
    answered this owner. Isolated runs explain the crash, so that only these
    are suspected.
    """
    crashed = list(runs)
    isolated = [run for run in crashed if run.isolated]
    for run in isolated or crashed:
        task = run.task
        confirmed_at = run.placement.confirmed_at
        if not confirmed_at or heard_at is None:
            task.suspicion += _OTHER_SUSPICION
        elif confirmed_at < heard_at - _CLEARED_AFTER_S:
            task.suspicion = 0
            task.crashes = 0
        else:
            task.crashes += 1
            recent = confirmed_at > heard_at - _RECENT_START_S
            task.suspicion += _RECENT_SUSPICION if recent else _OTHER_SUSPICION
