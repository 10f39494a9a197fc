"""Measures an owner's event loop while the tasks of one wide step end.

The step has as many tasks as intake accepts. Only the owner's own code is
timed: processing an end, deciding a round and recording it. The owner is
killed once in the middle.
"""

import time
from collections.abc import Callable
from typing import Any
from unittest import mock

from bench.report import Report, percentile
from cyclamentrack.jobs.dispatch import Dispatcher
from cyclamentrack.jobs.model import JobState
from cyclamentrack.jobs.owner import SliceOwner
from features.harness.jobworld import JobWorld, make_queue, make_step

_TASKS = 10_000
_WORKERS = 20
_CORES_PER_WORKER = 16
_TASKS_PER_WORKER = 100
_WORK_S = 5.0
_LIMIT_S = 120.0
_MS = 1000
# Lease renewals and requests of callers need the event loop beside the ends.
_MAX_SHARE = 0.25


class _Timer:
    """Processor times of the calls of one function, in seconds."""

    def __init__(self) -> None:
        self.times: list[float] = []

    def wrap(self, function: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*args: object, **options: object) -> object:
            started_at = time.process_time()
            try:
                return function(*args, **options)
            finally:
                self.times.append(time.process_time() - started_at)

        return timed


def measure() -> Report:
    """Run a step of 10,000 tasks, some hundred of which end each second."""
    report = Report(
        name='wide',
        headings=['what', 'calls', 'mean ms', 'p99 ms', 'max ms'],
    )
    timers = {
        (SliceOwner, 'handle_run_end'): _Timer(),
        (Dispatcher, 'decide'): _Timer(),
        (SliceOwner, '_apply_round'): _Timer(),
    }
    patches = [
        mock.patch.object(owner, name, timer.wrap(getattr(owner, name)))
        for (owner, name), timer in timers.items()
    ]
    for patch in patches:
        patch.start()
    try:
        took_s, unfinished, repeated = _run_step()
    finally:
        mock.patch.stopall()
    spent = 0.0
    for (_, name), timer in timers.items():
        times = sorted(timer.times)
        spent += sum(times)
        report.add(
            name,
            len(times),
            sum(times) / len(times) * _MS,
            percentile(times, 0.99) * _MS,
            times[-1] * _MS,
        )
    report.add('seconds for all tasks', _TASKS, took_s, '', '')
    report.at_most(
        f'part of the event loop at {_TASKS / took_s:.0f} ends a second',
        target=_MAX_SHARE,
        measured=spent / took_s,
        unit='',
    )
    report.at_most(
        'tasks not done', target=0, measured=unfinished, unit='tasks'
    )
    report.at_most(
        'tasks started again', target=0, measured=repeated, unit='tasks'
    )
    return report


def _run_step() -> tuple[float, int, int]:
    """Return the seconds taken, the tasks not done and those repeated."""
    world = JobWorld()
    try:
        return _play(world)
    finally:
        world.close()


def _play(world: JobWorld) -> tuple[float, int, int]:
    world.configure(make_queue('lookups'))
    for number in range(_WORKERS):
        world.add_worker(number, cores=_CORES_PER_WORKER)
    for number in range(3):
        world.start_node(f'n{number}')
    world.loop.sleep(3)
    step = make_step(
        _TASKS,
        cores=_CORES_PER_WORKER / _TASKS_PER_WORKER,
        estimate=_WORK_S,
        checkpointing=True,
    )
    job, _ = world.submit(step, work_s=_WORK_S)
    started_at = world.loop.run(world.now)
    killed = False
    took_s = 0.0
    while took_s < _LIMIT_S:
        world.loop.sleep(0.1)
        took_s = world.loop.run(world.now) - started_at
        if not killed and len(world.workers.completed_tasks) > _TASKS / 2:
            killed = True
            world.kill_node(world.owner())
        if world.state(job) is JobState.COMPLETED:
            break
    starts = [task for _, task, _, _ in world.workers.starts]
    done = len(world.workers.completed_tasks)
    return took_s, _TASKS - done, len(starts) - len(set(starts))
