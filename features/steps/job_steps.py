"""Steps about the job cell."""

import re

from behave import given, step, when

from cyclamentrack.jobs.model import WorkerState
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import JobWorld, make_queue, make_step


def _world(context):
    return context.jobs


def _begin(context, world):
    context.jobs = world
    context.add_cleanup(world.close)


@given('a job cell of {nodes:d} nodes and {workers:d} workers')
def start_cell(context, nodes, workers):
    world = JobWorld()
    _begin(context, world)
    world.configure(make_queue('lookups', permits=0.02))
    for number in range(workers):
        world.add_worker(number)
    for number in range(nodes):
        world.start_node(f'n{number}')
    world.loop.sleep(3)
    assert world.owner() is not None


def _submit(context, steps, **changes):
    job, outcome = _world(context).submit(*steps, **changes)
    assert outcome is RequestOutcome.STORED, outcome
    context.job = job


@when('a job of the steps "{text}" is submitted')
def submit_steps(context, text):
    _submit(context, _steps(text))


@when('a job of the steps "{text}" is submitted through the last node')
def submit_through_last(context, text):
    _submit(context, _steps(text), node=list(_world(context).services)[-1])


@when('a job of the steps "{text}" of {work:g} seconds is submitted')
def submit_long_steps(context, text, work):
    _submit(context, _steps(text), work_s=work)


def _steps(text):
    steps = []
    for part in text.split(', '):
        found = re.fullmatch(r'(\d+)(?: after (\d+))?', part)
        after = (int(found[2]),) if found[2] else ()
        steps.append(make_step(int(found[1]), after=after))
    return steps


@when('a gang of {count:d} tasks is submitted')
def submit_gang(context, count):
    _submit(context, [make_step(count, gang=True, cores=6)])


@when(
    'a checkpointing gang of {count:d} tasks of {work:g} seconds is submitted'
)
def submit_checkpointing_gang(context, count, work):
    step = make_step(count, gang=True, cores=10, checkpointing=True)
    _submit(context, [step], work_s=work)


@when('the first worker that runs a task restarts')
def restart_first(context):
    world = _world(context)
    for number, worker in enumerate(list(world.workers.workers.values())):
        if worker.runs:
            worker.crash(incarnation=2)
            world.add_worker(number, incarnation=2)
            return


@when('the first worker that runs a task crashes')
def crash_first(context):
    workers = _world(context).workers.workers.values()
    context.crashed = next(worker for worker in workers if worker.runs)
    context.crashed.vanish()


@when('its entry is removed')
def remove_entry(context):
    name = context.crashed.entry.id
    _world(context).drop_worker_entry(int(name.removeprefix('w')))


@when('its instance runs another worker')
def replace_worker(context):
    _world(context).add_worker(
        90, incarnation=2, instance=context.crashed.entry.instance
    )


@when('a job whose tasks fail {times:d} times is submitted')
def submit_failing(context, times):
    _submit(context, [make_step(2)], fails=times)


@when('a job of long-running tasks is submitted')
def submit_long_running(context):
    _submit(context, [make_step(3, lasting=True, may_miss=1)])


@step('{seconds:g} seconds go by')
@step('{seconds:g} second goes by')
def let_pass(context, seconds):
    _world(context).loop.sleep(seconds)


@when('the job is cancelled')
def cancel_job(context):
    assert _world(context).cancel(context.job) is RequestOutcome.STORED


@when('every worker restarts')
def restart_workers(context):
    world = _world(context)
    for number, worker in enumerate(list(world.workers.workers.values())):
        worker.crash(incarnation=2)
        world.add_worker(number, incarnation=2)


@when('the owner is killed')
def kill_owner(context):
    world = _world(context)
    world.kill_node(world.owner())


@given('{count:d} starts are carried out late by every worker')
def delay_starts(context, count):
    for worker in _world(context).workers.workers.values():
        worker.delayed_starts = count


@when('every worker but one becomes unreachable')
def make_workers_unreachable(context):
    for worker in list(_world(context).workers.workers.values())[1:]:
        worker.unreachable = True


@when('every worker but one refuses connections')
def disconnect_workers(context):
    for worker in list(_world(context).workers.workers.values())[1:]:
        worker.disconnected = True


@when('the store goes down in {seconds:g} seconds')
def lose_store_soon(context, seconds):
    world = _world(context)
    world.loop.sleep(seconds)
    world.rows.down = True


@when('the store is back')
def restore_store(context):
    _world(context).rows.down = False


@given('the next {count:d} replies of the store are lost')
def lose_replies(context, count):
    _world(context).rows.lost_replies = count


@given('the next {count:d} writes are carried out late')
def delay_writes(context, count):
    _world(context).rows.delayed_writes = count


@when("the store's history is dropped")
def drop_history(context):
    _world(context).rows.drop_history()


@when('every worker but one drains')
def drain_workers(context):
    world = _world(context)
    for number, _ in enumerate(world.workers.workers):
        if not number:
            continue
        world.add_worker(number, state=WorkerState.DRAINING)


@given("the store's feeds are {seconds:g} seconds late")
def delay_feeds(context, seconds):
    _world(context).rows.feed_delay_s = seconds
