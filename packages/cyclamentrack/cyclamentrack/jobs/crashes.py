"""Finds the tasks that crash the workers that run them.

A crash ends all runs of a worker, and most of them have nothing to do with it.
So each run is only suspected: more if it had just begun, and alone if it was
isolated. A start without an answer counts as a run that had just begun, since
the worker may have crashed before it answered. A suspected task is next started
in isolation, on a worker that gets no other run until it has worked for a
while. A task that is suspected enough is given up with its job, before it takes
down one worker after the other, but not while a run of another job explains the
crash as well.

Only crashes that an owner has seen count. A worker that was lost while no owner
watched it may have left as planned, and one that never answered a start may
have lost power before. Such tasks are isolated at their next start and nothing
else.
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


class CrashedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run of a crashed worker; ``isolated`` if it was to get no others."""

    task: TaskRun
    placement: Placement
    isolated: bool = False


def is_suspected(task: TaskRun) -> bool:
    """Return whether a task must be started in isolation."""
    return task.lost_unseen or task.suspicion >= _RECENT_SUSPICION


def is_hopeless(task: TaskRun) -> bool:
    """Return whether a task is taken to crash every worker."""
    return (
        task.crashes >= _GIVE_UP_CRASHES
        and task.suspicion >= _GIVE_UP_SUSPICION
    )


def has_worked(placement: Placement, now: float) -> bool:
    """Return whether an isolated run has worked long enough."""
    return 0 < placement.confirmed_at <= now - _ISOLATION_S


def clear(task: TaskRun, placement: Placement, now: float) -> bool:
    """Clear a task whose run has worked for long; return whether that changed.

    A later crash has another cause, also for an owner that doesn't know how
    long the run has worked.
    """
    confirmed_at = placement.confirmed_at
    worked_long = 0 < confirmed_at < now - _CLEARED_AFTER_S
    suspected = task.suspicion or task.crashes or task.lost_unseen
    if not worked_long or not suspected:
        return False
    _reset(task)
    return True


def had_just_begun(placement: Placement, heard_at: float | None) -> bool:
    """Return whether a run may have crashed its worker by starting.

    ``heard_at`` is the steady time of the worker's last answer, or ``None`` if
    it never answered this owner. A former owner may have recorded then that
    the worker closed its connection soon after the start.
    """
    if heard_at is None:
        return placement.connection_lost
    confirmed_at = placement.confirmed_at
    return not confirmed_at or confirmed_at > heard_at - _RECENT_START_S


def suspect(
    runs: Iterable[CrashedRun],
    *,
    heard_at: float | None,
    watched: bool = True,
) -> list[TaskRun]:
    """Raise the suspicion of one lost worker's runs; return the hopeless.

    ``heard_at`` is the steady time of its last answer, or ``None`` if it never
    answered this owner, which ``watched`` it since then. Isolated runs explain
    a crash, so that only these are suspected. A run that wasn't sent can't
    have caused it.
    """
    sent = [
        run for run in runs if run.placement.sent or run.placement.confirmed_at
    ]
    seen = _seen(sent, heard_at=heard_at, watched=watched)
    _isolate(run for run in sent if run not in seen)
    suspected = [run for run in sent if run.isolated] or sent
    newcomer_at = _newcomer_at(suspected, heard_at)
    causes = [
        run.task
        for run in suspected
        if run in seen and _charge(run, heard_at, newcomer_at)
    ]
    return _hopeless(causes)


def _charge(
    run: CrashedRun, heard_at: float | None, newcomer_at: float
) -> bool:
    """Count a crash; return whether the run may have caused it."""
    task = run.task
    confirmed_at = run.placement.confirmed_at
    if heard_at and 0 < confirmed_at < heard_at - _CLEARED_AFTER_S:
        _reset(task)
        return False
    # A run that had worked before another one came hardly is the cause.
    settled = has_worked(run.placement, newcomer_at)
    recent = had_just_begun(run.placement, heard_at) and not settled
    task.crashes += 1
    task.suspicion += _RECENT_SUSPICION if recent else _OTHER_SUSPICION
    return not settled


def _seen(
    sent: list[CrashedRun], *, heard_at: float | None, watched: bool
) -> list[CrashedRun]:
    """Return the runs under which an owner has seen the worker crash.

    A start without an answer may never have reached the worker. If the worker
    closed its connection then, it is taken to have arrived.
    """
    lost = [run for run in sent if run.placement.connection_lost]
    if heard_at is None:
        return sent if lost else []
    if not watched:
        return []
    return [run for run in sent if run in lost or run.placement.confirmed_at]


def _newcomer_at(runs: list[CrashedRun], heard_at: float | None) -> float:
    """Return when the last run that had just begun was placed."""
    recent = [
        run.placement.since
        for run in runs
        if had_just_begun(run.placement, heard_at)
    ]
    return max(recent, default=0.0)


def _isolate(runs: Iterable[CrashedRun]) -> None:
    for run in runs:
        run.task.lost_unseen = True


def _reset(task: TaskRun) -> None:
    task.suspicion = 0
    task.crashes = 0
    task.lost_unseen = False


def _hopeless(causes: list[TaskRun]) -> list[TaskRun]:
    """Return the tasks to give up among those that may have caused a crash.

    If tasks of several jobs are suspected most, only one may be the cause.
    Each of them is isolated at its next start, which tells them apart.
    """
    most = max((task.suspicion for task in causes), default=0)
    found = [task for task in causes if task.suspicion == most]
    if len({task.name.job for task in found}) > 1:
        return []
    return [task for task in found if is_hopeless(task)]
