"""Steps about steps with more tasks than one row of the store can hold."""

from behave import given, then, when

from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import make_step

_CORES = 0.03


def _submit(context, step, **behaviour):
    job, outcome = context.jobs.submit(step, **behaviour)
    assert outcome is RequestOutcome.STORED, outcome
    context.job = job
    context.submitted = [*getattr(context, 'submitted', []), job]


@when('a job of {count:d} {kind} of {work:g} seconds is submitted')
def submit_wide(context, count, kind, work):
    step = make_step(
        count,
        cores=_CORES,
        estimate=work,
        checkpointing=kind == 'checkpointing tasks',
    )
    _submit(context, step, work_s=work)


@when('another job is submitted')
def submit_other(context):
    _submit(context, make_step(4))


def _state(context, number):
    return context.jobs.state(context.submitted[number]).value


@then('both jobs are shown as "{state}"')
def check_both(context, state):
    states = [_state(context, number) for number in (0, 1)]
    assert states == [state, state], (states, context.jobs.rows.refusals)


@then('the {which} job is shown as "{state}"')
def check_one(context, which, state):
    found = _state(context, ('first', 'second').index(which))
    assert found == state, (found, context.jobs.rows.refusals)


@then('the store refused no write')
def check_refusals(context):
    assert context.jobs.rows.refusals == 0, context.jobs.rows.refusals


@then('all of its tasks have ended')
def check_ended(context):
    workers = context.jobs.workers
    count = workers.behaviours[context.job, 0].step.count
    assert len(workers.completed_tasks) == count, len(workers.completed_tasks)


@given('the store accepts rows of {count:d} bytes only')
def limit_rows(context, count):
    context.jobs.rows.row_bytes = count


@then('no task was started before its record was stored')
def check_recorded(context):
    started = {start[1].job for start in context.jobs.workers.starts}
    assert context.submitted[0] not in started, started


@then('"{name}" was counted once')
def check_count(context, name):
    world = context.jobs
    metrics = world.cells[world.owner()].dependencies.metrics
    assert f'{name}_total 1\n' in metrics.exposition(), metrics.exposition()
