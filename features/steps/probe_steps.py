"""Steps about workers that fail all that they start, and their probes."""

from behave import given, then, when

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.model import JobId, TaskName, WorkerEntry, WorkerState
from cyclamentrack.jobs.service import RequestOutcome
from cyclamentrack.jobs.worker_health import end_long_probe
from cyclamentrack.resources import NO_RESOURCES, Resources
from features.harness.jobworld import POOL, make_step

_ENDED_AT = 100.0


def _first(context):
    return context.jobs.workers.workers['w0']


def _submit(context, step, **behaviour):
    job, outcome = context.jobs.submit(step, **behaviour)
    assert outcome is RequestOutcome.STORED, outcome
    context.job = job


@given('the first worker fails all that it starts')
def fail_all(context):
    _first(context).fails_all = True


@when('the first worker works again')
def work_again(context):
    _first(context).fails_all = False


@when('a gang of {count:d} tasks with {limit:d} on each worker is submitted')
def submit_gang(context, count, limit):
    step = make_step(count, gang=True, cores=6, max_per_worker=limit)
    _submit(context, step)


@when(
    'a job of {count:d} long-running tasks with {limit:d} on each worker is '
    'submitted'
)
def submit_lasting(context, count, limit):
    step = make_step(count, lasting=True, cores=4, max_per_worker=limit)
    _submit(context, step)


@given('a worker that is probed by a run since its quarantine ended')
def probe_worker(context):
    capacity = Resources(milli_cores=8000, memory_mib=8000)
    entry = WorkerEntry(
        id=WorkerId('w0'),
        pool=POOL,
        address='w0:80',
        zone='z',
        capacity=capacity,
        labels=(),
        state=WorkerState.READY,
        incarnation=1,
    )
    context.worker = Worker(entry=entry, quarantined_until=_ENDED_AT)
    context.worker.probing = True
    task = TaskName(JobId('00000000000000aa'), 0, 0, 0)
    context.worker.charge_run(task=task, run=1, step=make_step())


@then('it has no free capacity for another run after {seconds:g} seconds')
def check_withheld(context, seconds):
    end_long_probe(context.worker, _ENDED_AT + seconds)
    assert context.worker.free == NO_RESOURCES


@then('it has free capacity for another run after {seconds:g} seconds')
def check_free(context, seconds):
    end_long_probe(context.worker, _ENDED_AT + seconds)
    assert charge(make_step()).fits(context.worker.free)
