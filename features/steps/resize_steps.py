"""Steps about workers whose capacity shrinks and grows."""

from behave import then, when

from cyclamentrack.jobs.model import JobState
from features.harness.jobworld import make_step


@when('{jobs:d} jobs of {count:d} tasks are queued')
def submit_jobs(context, jobs, count):
    world = context.jobs
    context.submitted = [world.submit(make_step(count))[0] for _ in range(jobs)]


@when('every worker shrinks to {cores:d} cores')
@when('every worker grows to {cores:d} cores')
def resize_workers(context, cores):
    world = context.jobs
    for number, _ in enumerate(list(world.workers.workers)):
        world.add_worker(number, cores=cores)


@then('at most {most:d} tasks run on each worker')
def check_runs(context, most):
    workers = context.jobs.workers.workers.values()
    counts = [len(worker.runs) for worker in workers]
    assert 0 < max(counts) <= most, counts


@then('all queued jobs are shown as "{state}"')
def check_states(context, state):
    world = context.jobs
    shown = [world.state(job) for job in context.submitted]
    assert set(shown) == {JobState(state)}, shown
