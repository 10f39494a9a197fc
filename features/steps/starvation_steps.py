"""Steps about jobs that only few workers may run."""

from behave import given, step, then, when

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import WorkerState
from features.harness.jobworld import POOL, make_step

_CORES = 16


def _named(numbers):
    return {WorkerId(f'w{number}') for number in numbers.split()}


def _submit(context, work, *, only, queue, work_s=1.0):
    world = context.jobs
    world.permit_service.permitted[world.next_job] = _named(only)
    context.job = world.submit(work, queue=queue, work_s=work_s)[0]
    context.submitted.append(context.job)


@step('worker {number:d} is quarantined for {seconds:g} seconds')
@step('worker {number:d} is quarantined for {seconds:g} second')
def quarantine_one(context, number, seconds):
    world = context.jobs
    owner = world.cells[world.owner()].owners[POOL]
    worker = owner.fleet.workers[WorkerId(f'w{number}')]
    worker.quarantined_until = world.loop.run(world.now) + seconds


@when(
    'a batch job of {count:d} tasks is submitted '
    'that only the workers "{only}" may run'
)
def submit_small(context, count, only):
    _submit(context, make_step(count), only=only, queue='batch')


@when('a whole-worker job is submitted that only the workers "{only}" may run')
def submit_large(context, only):
    work = make_step(1, cores=_CORES, estimate=9.0)
    _submit(context, work, only=only, queue='batch')


@when('a job of {count:d} lasting tasks, one a worker, is submitted')
def submit_lasting(context, count):
    work = make_step(count, lasting=True, max_per_worker=1)
    _submit(context, work, only='0 1 2 3 4', queue='batch')


@when(
    'a job of {count:d} lasting tasks of {cores:d} cores, one a worker, '
    'is submitted'
)
def submit_large_lasting(context, count, cores):
    work = make_step(count, cores=cores, lasting=True, max_per_worker=1)
    _submit(context, work, only='0 1 2 3 4 5', queue='batch')


@when("the later worker of the last job's tasks {loss}")
def lose_later_worker(context, loss):
    world = context.jobs
    worker = max(_at_work(context))
    if loss == 'leaves':
        world.add_worker(int(worker[1:]), state=WorkerState.DRAINING)
        world.loop.sleep(2)
    if loss == 'ends its runs':
        world.workers.workers[worker].fails_all = True
        world.loop.sleep(0.5)
        world.workers.workers[worker].fails_all = False
        return
    world.workers.workers[worker].lose_power()
    world.drop_worker_entry(int(worker[1:]))


@when('a gang is submitted that only the workers "{only}" may run')
def submit_gang(context, only):
    count = len(only.split())
    work = make_step(count, cores=_CORES, gang=True)
    _submit(context, work, only=only, queue='gangs')


@when('whole-worker jobs of {work_s:g} seconds fill the workers "{numbers}"')
def fill_workers(context, work_s, numbers):
    for number in numbers.split():
        work = make_step(1, cores=_CORES, estimate=work_s)
        _submit(context, work, only=number, queue='batch', work_s=work_s)
    context.jobs.loop.sleep(1.0)


@given('permits are valid for {seconds:g} second')
def shorten_permits(context, seconds):
    context.jobs.permit_service.valid_s = seconds


@step('worker {number:d} joins')
def join_worker(context, number):
    context.jobs.add_worker(number)


@step('worker {number:d} leaves')
def leave_worker(context, number):
    stop_answering(context, number)
    context.jobs.drop_worker_entry(number)


@step('worker {number:d} stops answering')
def stop_answering(context, number):
    context.jobs.workers.workers[WorkerId(f'w{number}')].unreachable = True


@step('worker {number:d} restarts and may then run the job')
def restart_worker(context, number):
    world = context.jobs
    world.workers.workers[WorkerId(f'w{number}')].crash(incarnation=2)
    world.add_worker(number, incarnation=2)
    world.permit_service.permitted[context.job].add(WorkerId(f'w{number}'))


@then('all tasks of the last job are at work')
def check_at_work(context):
    owner = context.jobs.cells[context.jobs.owner()].owners[POOL]
    entry = owner.registry.jobs[context.job]
    tasks = [one for step in entry.steps.values() for one in step.tasks]
    running = _at_work(context)
    assert len(running) == len(tasks), running


def _at_work(context):
    """Return the workers on which tasks of the last job run."""
    return [
        name
        for name, worker in context.jobs.workers.workers.items()
        for task, _ in worker.runs
        if task.job == context.job
    ]


@then('a task of the last job runs on worker {number:d}')
def check_runs_on(context, number):
    starts = context.jobs.workers.starts
    on = {name for _, task, _, name in starts if task.job == context.job}
    assert WorkerId(f'w{number}') in on, on
