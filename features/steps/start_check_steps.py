"""Steps about starts whose worker changes before they are sent."""

import msgspec
from behave import given, then, when

from cyclamentrack.jobs.model import WorkerState
from cyclamentrack.jobs.ports import RowKey
from cyclamentrack.jobs.records import STEPS
from cyclamentrack.resources import Resources
from features.harness.jobworld import make_step

_CHANGES = {
    'drains': {'state': WorkerState.DRAINING},
    'shrinks': {'capacity': Resources(milli_cores=1000, memory_mib=64000)},
}
_IDLE = 9
_RACK = 'r0'


@given('the journal takes {seconds:g} seconds, in which the worker {change}')
def change_worker(context, seconds, change):
    world = context.jobs
    entry = next(iter(world.workers.workers.values())).entry
    changed = msgspec.structs.replace(entry, **_CHANGES[change])

    def begin(batch):
        if any(key.table == STEPS and '.' in key.key for key, _ in batch.puts):
            world.rows.on_commit = None
            world.rows.reply_delay_s = seconds
            key = RowKey('servers', '', entry.id)
            world.rows.put(key, msgspec.json.encode(changed))

    world.rows.on_commit = begin


@when('a job of one task of {cores:d} cores is submitted')
def submit_one(context, cores):
    context.job = context.jobs.submit(make_step(1, cores=cores))[0]


@then('nothing was started')
def check_none(context):
    assert not context.jobs.workers.starts, context.jobs.workers.starts


@then('the worker that drains got no start')
def check_draining(context):
    workers = {worker for _, _, _, worker in context.jobs.workers.starts}
    assert 'w0' not in workers, workers


@when('an idle worker is added')
def add_idle(context):
    context.jobs.rows.reply_delay_s = 0.0
    context.jobs.add_worker(_IDLE)


@then('the task was started on the idle worker alone')
def check_starts(context):
    workers = {worker for _, _, _, worker in context.jobs.workers.starts}
    assert workers == {f'w{_IDLE}'}, workers


@when(
    'the workers of the first rack each run a task of {cores:d} cores and '
    'shrink to {left:d}'
)
def shrink_rack(context, cores, left):
    world = context.jobs
    step = make_step(3, cores=cores, lasting=True, max_per_worker=1)
    world.submit(msgspec.structs.replace(step, data_rack=_RACK))
    world.loop.sleep(1)
    workers = {worker for _, _, _, worker in world.workers.starts}
    assert workers == {'w0', 'w1', 'w2'}
    for number in range(3):
        world.add_worker(number, cores=left)
    world.loop.sleep(1)


@when('a best-effort task whose data is in that rack is submitted')
def submit_best_effort(context):
    step = make_step(1, cores=2, fills=True, data_rack=_RACK, lasting=True)
    context.job = context.jobs.submit(step)[0]


@then('the best-effort task was placed once, on the worker of the other rack')
def check_placed_once(context):
    starts = [
        (run, worker)
        for _, task, run, worker in context.jobs.workers.starts
        if task.job == context.job
    ]
    assert starts == [(1, 'w3')], starts
