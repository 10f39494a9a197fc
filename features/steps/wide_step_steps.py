"""Steps about steps with more tasks than one row of the store can hold."""

from unittest import mock

from behave import given, then, when

from cyclamentrack.codec import decode, encode
from cyclamentrack.jobs import registry
from cyclamentrack.jobs.ports import Batch, RowKey
from cyclamentrack.jobs.registry import TaskRow
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, make_step

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


@when(
    'a job of {count:d} tasks with checkpoints of {size:d} bytes is submitted'
)
def submit_checkpoints(context, count, size):
    step = make_step(count, cores=_CORES, checkpointing=True)
    _submit(context, step, work_s=8.0, checkpoint_bytes=size)


@when('a gang of {count:d} small tasks that fails once is submitted')
def submit_gang(context, count):
    step = make_step(count, cores=_CORES, gang=True, checkpointing=True)
    _submit(context, step, work_s=8.0, fails=1)


def _step_rows(context):
    """Return the bodies of the rows of the first step, by their keys."""
    prefix = f'{context.job}.0.0'
    return {
        key: row.body
        for key, row in context.jobs.rows.rows.items()
        if key.key == prefix or key.key.startswith(f'{prefix}.')
    }


def _recorded_tasks(context):
    return {
        task.index
        for body in _step_rows(context).values()
        for task in decode(body, list[TaskRow])
    }


def _stop_all(world):
    for name in list(world.cells):
        world.kill_node(name)


@when("all nodes stop and an earlier version's record replaces the job's rows")
def merge_rows(context):
    world = context.jobs
    _stop_all(world)
    rows = _step_rows(context)
    tasks = [
        task for body in rows.values() for task in decode(body, list[TaskRow])
    ]
    former = RowKey('journal', POOL, f'{context.job}.0.0')
    context.tasks = {task.index for task in tasks}
    context.gaps = []

    async def replace():
        removed = tuple(key for key in rows if key != former)
        puts = ((former, encode(tasks)),)
        world.rows.apply(Batch(puts=puts, removes=removed))

    world.loop.run(replace)
    world.rows.on_commit = lambda batch: _note_gaps(context, batch)


def _note_gaps(context, batch):
    del batch
    if RowKey('journal', POOL, context.job) not in context.jobs.rows.rows:
        context.gaps.extend(context.tasks - _recorded_tasks(context))


@when('all nodes stop and the first of its rows is as it was in the first run')
def mix_rows(context):
    world = context.jobs
    first = RowKey('journal', POOL, f'{context.job}.0.0')
    while first not in _step_rows(context):
        world.loop.sleep(0.05)
    body = _step_rows(context)[first]
    while max(start[2] for start in world.workers.starts) < 2:
        world.loop.sleep(0.05)
    _stop_all(world)

    async def put():
        world.rows.put(first, body)

    world.loop.run(put)


@when('another node starts')
def start_another(context):
    context.jobs.start_node('later')


@then('no commit left a task without a record')
def check_gaps(context):
    assert not context.gaps, context.gaps


@then('all members were started last in the same run')
def check_members(context):
    last = {task: run for _, task, run, _ in context.jobs.workers.starts}
    assert len(set(last.values())) == 1, last


@when(
    'a job of {count:d} tasks of {work:g} seconds is submitted '
    'and its rows are counted'
)
def count_rows(context, count, work):
    encoded = mock.patch.object(
        registry, '_task_row', side_effect=registry._task_row
    )
    with encoded as rows:
        submit_wide(context, count, 'tasks', work)
        context.jobs.loop.sleep(3 * work)
    context.encoded = rows.call_count / (2 * count)


@then('at most {count:d} tasks were encoded for each start and end')
def check_encoded(context, count):
    assert 0 < context.encoded <= count, context.encoded
