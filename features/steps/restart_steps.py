"""Steps about workers that begin again under their ids."""

from behave import then, when

from cyclamentrack.jobs.model import JobState
from cyclamentrack.jobs.registry import placements
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, make_step

_JOB_INTERVAL_S = 0.2
_CRASH_INTERVAL_S = 4.0
_WORK_S = 0.6
_TICK_S = 0.0005
_MAX_TICKS = 30000


@when(
    '{jobs:d} jobs of {count:d} tasks come while each worker in turn is away '
    'for {away:g} second'
)
def restart_in_turn(context, jobs, count, away):
    world = context.jobs
    workers = list(world.workers.workers.values())
    context.submitted = []
    down = None
    for number in range(jobs):
        turn, phase = divmod(number, round(_CRASH_INTERVAL_S / _JOB_INTERVAL_S))
        if phase == 0:
            down = turn % len(workers)
            workers[down].lose_power()
        if phase == round(away / _JOB_INTERVAL_S):
            _return(world, down)
        job, outcome = world.submit(make_step(count), work_s=_WORK_S)
        assert outcome is RequestOutcome.STORED, outcome
        context.submitted.append(job)
        world.loop.sleep(_JOB_INTERVAL_S)


def _return(world, number):
    """Answer calls again, and update the entry as a heartbeat would."""
    worker = world.workers.workers[f'w{number}']
    worker.unreachable = False
    world.add_worker(number, incarnation=worker.entry.incarnation)


@when('the worker loses power just before its starts arrive')
def restart_before_starts(context):
    world = context.jobs
    worker = world.workers.workers['w0']
    registry = world.cells[world.owner()].owners[POOL].registry
    while not any(run.sent for run in placements(registry)):
        world.loop.sleep(_TICK_S)
    assert not worker.runs, worker.runs
    worker.crash(incarnation=2)


@when(
    'the workers of its first {count:d} starts lose power for {seconds:g} '
    'seconds just before these arrive'
)
def lose_power_before_starts(context, count, seconds):
    world = context.jobs
    for run in range(1, count + 1):
        placement = _await_sent(world, run)
        number = int(placement.worker.removeprefix('w'))
        world.workers.workers[placement.worker].lose_power()
        world.loop.sleep(seconds)
        _return(world, number)


def _await_sent(world, run):
    """Return a run's placement when its start is on its way."""
    for _ in range(_MAX_TICKS):
        registry = world.cells[world.owner()].owners[POOL].registry
        for placement in placements(registry):
            if placement.sent and placement.run == run:
                return placement
        world.loop.sleep(_TICK_S)
    raise AssertionError(f'run {run} was never sent')


@then('all of these jobs are shown as "{state}"')
def check_submitted(context, state):
    world = context.jobs
    shown = {job: world.state(job) for job in context.submitted}
    other = {job: one for job, one in shown.items() if one != JobState(state)}
    assert not other, other


@then('each task of the job was started once')
def check_started_once(context):
    starts = [
        task
        for _, task, _, _ in context.jobs.workers.starts
        if task.job == context.job
    ]
    assert starts, 'nothing was started'
    assert len(starts) == len(set(starts)), starts
