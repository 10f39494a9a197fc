"""Steps about tasks that crash their workers, and workers that crash."""

import trio
from behave import given, then, when

from cyclamentrack.jobs.model import JobState, WorkerState
from cyclamentrack.jobs.ports import RowKey
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import make_step

_POLL_S = 0.1
_FIRST_REPLACEMENT = 100
# An owner learns of a worker's new entry within this time.
_DRAINED_S = 0.4
_MAX_START_POLLS = 100
_MAX_RESTART_POLLS = 200


@given('crashed workers are replaced after {seconds:g} seconds')
def replace_crashed(context, seconds):
    world = context.jobs
    context.others = []

    async def replace(number, former):
        await trio.sleep(seconds)
        world.rows.remove(_key(former))
        world.put_replacement(number, former)

    async def watch():
        replaced = set()
        while True:
            await trio.sleep(_POLL_S)
            for worker in list(world.workers.workers.values()):
                if worker.disconnected and worker.entry.id not in replaced:
                    replaced.add(worker.entry.id)
                    number = _FIRST_REPLACEMENT + len(replaced)
                    world.loop.nursery.start_soon(replace, number, worker.entry)

    async def begin():
        world.loop.nursery.start_soon(watch)

    world.loop.run(begin)


@given('crashed workers begin again under their ids after {seconds:g} seconds')
def restart_crashed(context, seconds):
    world = context.jobs
    context.others = []
    down = set()

    async def restart(worker):
        await trio.sleep(seconds)
        worker.crash(incarnation=worker.entry.incarnation + 1)
        worker.disconnected = False
        world.restore_worker_entry(worker.entry.id)
        down.remove(worker.entry.id)

    async def watch():
        while True:
            await trio.sleep(_POLL_S)
            for worker in world.workers.workers.values():
                if worker.disconnected and worker.entry.id not in down:
                    down.add(worker.entry.id)
                    world.loop.nursery.start_soon(restart, worker)

    async def begin():
        world.loop.nursery.start_soon(watch)

    world.loop.run(begin)


def _key(entry):
    return RowKey('servers', '', entry.id)


def _submit(context, count, crasher, **behaviour):
    gang = behaviour.pop('gang', False)
    step = make_step(count, gang=gang, cores=6 if gang else 1)
    job, outcome = context.jobs.submit(step, crasher=crasher, **behaviour)
    assert outcome is RequestOutcome.STORED, outcome
    context.job = job


@when(
    'a job of {count:d} tasks is submitted '
    'whose task {crasher:d} crashes its workers'
)
def submit_crasher(context, count, crasher):
    _submit(context, count, crasher)


@when(
    'a job of {count:d} tasks is submitted '
    'whose task {crasher:d} crashes its workers unanswered'
)
def submit_unanswered(context, count, crasher):
    _submit(context, count, crasher, crasher_answered=False)


@when(
    'a gang of {count:d} tasks is submitted '
    'whose task {crasher:d} crashes its workers'
)
def submit_gang(context, count, crasher):
    _submit(context, count, crasher, gang=True)


@when('{jobs:d} jobs of {count:d} tasks of {work:g} seconds are submitted')
def submit_others(context, jobs, count, work):
    for _ in range(jobs):
        job, outcome = context.jobs.submit(make_step(count), work_s=work)
        assert outcome is RequestOutcome.STORED, outcome
        context.others.append(job)


@when(
    'the first worker that runs a task crashes each {seconds:g} seconds, '
    '{times:d} times'
)
def crash_often(context, seconds, times):
    world = context.jobs
    for _ in range(times):
        world.loop.sleep(seconds)
        workers = world.workers.workers.values()
        next(worker for worker in workers if worker.runs).vanish()
    world.loop.sleep(seconds)


@when(
    'the owner is killed and started again {seconds:g} seconds after each '
    'start of the job, {times:d} times at most'
)
def kill_after_starts(context, seconds, times):
    world = context.jobs
    for number in range(times):
        _wait_for_start(context, number + 1)
        world.loop.sleep(seconds)
        if world.state(context.job) is JobState.FAILED:
            return
        owner = world.owner()
        if owner is not None:
            world.kill_node(owner)
            world.start_node(owner)


def _wait_for_start(context, count):
    for _ in range(_MAX_RESTART_POLLS):
        if len(_starts(context)) >= count:
            return
        context.jobs.loop.sleep(_POLL_S)


def _starts(context):
    return [
        task
        for _, task, _, _ in context.jobs.workers.starts
        if task.job == context.job
    ]


@when(
    'each of its workers drains and ends soon after its start, {times:d} times'
)
def drain_often(context, times):
    world = context.jobs
    for _ in range(times):
        for _ in range(_MAX_START_POLLS):
            if _busy_worker(world) is not None:
                break
            world.loop.sleep(_POLL_S)
        _drain_and_end(world, _busy_worker(world))


@when(
    'each of its workers crashes {work:g} seconds after its start and is '
    'listed again {seconds:g} seconds later, {times:d} times'
)
def crash_late(context, work, seconds, times):
    world = context.jobs
    for number in range(times):
        _wait_for_start(context, number + 1)
        worker = _busy_worker(world)
        world.loop.sleep(work)
        _crash_unlisted(world, worker, seconds)


def _crash_unlisted(world, worker, seconds):
    async def come_back():
        worker.vanish()
        world.rows.remove(_key(worker.entry))
        await trio.sleep(seconds)
        worker.crash(incarnation=worker.entry.incarnation + 1)
        worker.disconnected = False
        world.restore_worker_entry(worker.entry.id)

    world.loop.run(come_back)


def _drain_and_end(world, worker):
    number = int(worker.entry.id.removeprefix('w'))
    incarnation = worker.entry.incarnation
    world.add_worker(
        number, state=WorkerState.DRAINING, incarnation=incarnation
    )
    world.loop.sleep(_DRAINED_S)
    world.add_worker(number, incarnation=incarnation)
    worker.vanish()
    world.loop.sleep(2 * _POLL_S)


def _busy_worker(world):
    workers = world.workers.workers.values()
    return next((worker for worker in workers if worker.runs), None)


@then('task {index:d} of the job was started {times:d} times at most')
def check_starts(context, index, times):
    starts = [
        task
        for _, task, _, _ in context.jobs.workers.starts
        if task.job == context.job and task.index == index
    ]
    assert 0 < len(starts) <= times, len(starts)


@then('the other jobs are shown as "{state}"')
def check_others(context, state):
    shown = {job: context.jobs.state(job) for job in context.others}
    other = {job: one for job, one in shown.items() if one != JobState(state)}
    assert not other, other
