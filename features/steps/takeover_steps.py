"""Steps about the cost of a takeover."""

from unittest import mock

from behave import given, then, when

from cyclamentrack.jobs import intake, worker_feed
from cyclamentrack.resources import Resources
from features.harness.jobworld import POOL, make_step


@given('{jobs:d} running jobs of {tasks:d} lasting tasks')
def start_jobs(context, jobs, tasks):
    for _ in range(jobs):
        context.jobs.submit(make_step(tasks, lasting=True))
    context.jobs.loop.sleep(3)
    context.running = jobs * tasks
    assert _count_runs(context) == context.running, _count_runs(context)


def _count_runs(context):
    workers = context.jobs.workers.workers.values()
    return sum(len(worker.runs) for worker in workers)


@when('the owner is killed and another recovers the pool')
def take_over(context):
    world = context.jobs
    scans = mock.patch.object(
        worker_feed, 'placements', side_effect=worker_feed.placements
    )
    fits = mock.patch.object(
        Resources, 'times_in', autospec=True, side_effect=Resources.times_in
    )
    world.kill_node(world.owner())
    lines = mock.patch.object(intake, '_log')
    with scans as scan, fits as fit, lines as log:
        while not _recovered(world):
            world.loop.sleep(0.05)
    context.scans = scan.call_count
    context.fits = fit.call_count
    context.lines = [call.args[0] for call in log.info.mock_calls]


def _recovered(world):
    name = world.owner()
    if name is None:
        return False
    owner = world.cells[name].owners[POOL]
    return len(owner.fleet.workers) == len(world.workers.workers)


@then('the recorded runs were scanned at most {count:d} times')
def check_scans(context, count):
    assert 0 < context.scans <= count, context.scans


@then('all runs are charged to their workers')
def check_charged(context):
    world = context.jobs
    owner = world.cells[world.owner()].owners[POOL]
    charged = sum(
        len(worker.charges) for worker in owner.fleet.workers.values()
    )
    assert charged == context.running, charged


@then('the fit of tasks in workers was computed at most {count:d} times')
def check_fits(context, count):
    assert 0 < context.fits <= count, context.fits


@then('{count:d} jobs were logged as added')
def check_lines(context, count):
    found = [line for line in context.lines if 'job added' in line]
    assert len(found) == count, len(found)
    assert any('slice recovered' in line for line in context.lines)
