"""Steps about a worker with more ends than it lists at a time."""

from behave import given, then, when

from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import make_queue, make_step

_CORES = 0.02
_BEFORE_S = 0.1


@given('the queue needs no permits')
def drop_permits(context):
    context.jobs.configure(make_queue('lookups'))
    context.jobs.loop.sleep(1)


@when(
    '{jobs:d} jobs of {count:d} small tasks of {work:g} seconds are submitted'
)
def submit_small(context, jobs, count, work):
    world = context.jobs
    context.submitted = []
    context.work_s = work
    for _ in range(jobs):
        step = make_step(count, cores=_CORES, estimate=work)
        job, outcome = world.submit(step, work_s=work)
        assert outcome is RequestOutcome.STORED, outcome
        context.submitted.append(job)


@when('the owner is killed just before the first of them end')
def kill_before_ends(context):
    world = context.jobs
    world.loop.sleep(context.work_s / 2)
    first = min(start[0] for start in world.workers.starts)
    left_s = first + context.work_s - _BEFORE_S - world.loop.run(world.now)
    world.loop.sleep(left_s)
    world.kill_node(world.owner())


@then('more than {count:d} ends were waiting on the worker')
def check_waiting_ends(context, count):
    worker = context.jobs.workers.workers['w0']
    assert worker.most_waiting_ends > count, worker.most_waiting_ends


@then('each of their tasks was started once')
def check_started_once(context):
    starts = [task for _, task, _, _ in context.jobs.workers.starts]
    assert len(starts) == len(set(starts)), len(starts) - len(set(starts))
