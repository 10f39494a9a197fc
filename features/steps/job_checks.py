"""Checks of what a job cell did."""

from behave import then

from cyclamentrack.jobs.model import JobState
from features.harness.jobworld import POOL


def _world(context):
    return context.jobs


@then('another node owns the pool')
def check_succeeded(context):
    owners = [
        name
        for name, cell in _world(context).cells.items()
        if POOL in cell.owners and name != context.former
    ]
    assert owners, 'nobody else owns it'


@then('the job is shown as "{state}" by every node')
def check_state(context, state):
    world = _world(context)
    for node in world.services:
        shown = world.state(context.job, node=node)
        assert shown is JobState(state), (node, shown)


@then("the workers' record is clean")
def check_record(context):
    assert _world(context).workers.violations == []


@then('all its starts came within {seconds:g} seconds')
def check_together(context, seconds):
    times = [start[0] for start in _world(context).workers.starts]
    assert max(times) - min(times) < seconds, times


@then('each of its tasks was started {times:d} times at most')
@then('each of its tasks was started {times:d} time at most')
def check_starts(context, times):
    counts = {}
    for _, task, _, _ in _world(context).workers.starts:
        counts[task] = counts.get(task, 0) + 1
    assert max(counts.values()) <= times, counts


@then('no worker runs anything')
def check_idle(context):
    for worker in _world(context).workers.workers.values():
        assert not worker.runs, worker.entry.id


@then('all of its tasks run')
def check_running(context):
    workers = _world(context).workers.workers.values()
    assert sum(len(worker.runs) for worker in workers) == 3


@then('all of its tasks run on the worker that stays')
def check_moved(context):
    workers = list(_world(context).workers.workers.values())
    assert len(workers[0].runs) == 3, [len(one.runs) for one in workers]
