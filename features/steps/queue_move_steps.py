"""Steps about queues that the configuration moves to another pool."""

import trio
from behave import given, then, when

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.model import Job, QueueName
from cyclamentrack.jobs.records import CLAIMS, STEPS
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, make_queue

_FIRST_WORKER = 50
_APPLIED_S = 1.0
_COUNT_EVERY_S = 0.2


@given('another pool "{name}" with {count:d} workers')
def add_pool(context, name, count):
    world = context.jobs
    context.pools = (POOL, PoolName(name))
    world.configure(*world.queues.values(), pools=context.pools)
    for number in range(_FIRST_WORKER, _FIRST_WORKER + count):
        world.add_worker(number, pool=PoolName(name))
    world.loop.sleep(3)


@given('no worker of the first pool is listed')
def drop_workers(context):
    world = context.jobs
    for number in range(4):
        world.workers.workers[f'w{number}'].unreachable = True
        world.drop_worker_entry(number)
    world.loop.sleep(1)


@when('its queue is removed, and added again with the pool "{name}"')
def move_queue(context, name):
    world = context.jobs
    world.configure(make_queue('other'), pools=context.pools)
    world.loop.sleep(_APPLIED_S)
    moved = make_queue('lookups', permits=0.02, pool=PoolName(name))
    world.configure(make_queue('other'), moved, pools=context.pools)
    world.loop.sleep(_APPLIED_S)


@when('the same request arrives again at every node')
def repeat_request(context):
    world = context.jobs
    queue = world.queues['lookups']
    steps = tuple(
        behaviour.step
        for (job, _), behaviour in world.workers.behaviours.items()
        if job == context.job
    )

    async def repeat():
        outcomes = set()
        for service in world.services.values():
            job = Job(
                id=context.job,
                queue=QueueName('lookups'),
                pool=queue.pool,
                payload='x',
                steps=steps,
                accepted_at_s=trio.current_time(),
            )
            outcomes.add(await service.submit(job, caller_timeout_s=3.0))
        return outcomes

    assert world.loop.run(repeat) == {RequestOutcome.STORED}


@then('none of its tasks run')
def check_none_run(context):
    workers = context.jobs.workers.workers.values()
    running = [
        task
        for worker in workers
        for task, _ in worker.runs
        if task.job == context.job
    ]
    assert not running, running


@then('every node counts {count:d} waiting job of the queue')
def check_waiting(context, count):
    world = context.jobs
    assert set(_count_waiting(world)) == {count}


@when("the jobs of the first pool can't be read, and its owner is killed")
def kill_unreadable(context):
    _kill_unreadable(context.jobs, POOL)


@when('the jobs of the pool "{name}" can\'t be read, and its owner is killed')
def kill_unreadable_pool(context, name):
    _kill_unreadable(context.jobs, PoolName(name))


@when("the lease of the first pool can't be read, and all nodes are replaced")
def replace_unread(context):
    world = context.jobs
    world.rows.unanswered_scans.add((CLAIMS, POOL))
    names = list(world.cells)
    for name in names:
        world.kill_node(name)
    for name in names:
        world.start_node(f'later-{name}')


@when('the jobs can be read again')
@when('the lease can be read again')
def read_again(context):
    context.jobs.rows.unanswered_scans.clear()


@then(
    'for {seconds:g} seconds no node counts fewer than {least:d} waiting job '
    'of the queue'
)
def check_least(context, seconds, least):
    for counts in _watch_counts(context.jobs, seconds):
        assert all(one is None or one >= least for one in counts), counts


@then(
    'for {seconds:g} seconds every node counts {count:d} waiting jobs of the '
    'queue'
)
def check_steady(context, seconds, count):
    for counts in _watch_counts(context.jobs, seconds):
        assert set(counts) == {count}, counts


def _kill_unreadable(world, pool):
    """Kill a pool's owner; the next one can't finish its recovery."""
    world.rows.unanswered_scans.add((STEPS, pool))
    world.kill_node(world.owner(pool))


def _watch_counts(world, seconds):
    for _ in range(int(seconds / _COUNT_EVERY_S)):
        world.loop.sleep(_COUNT_EVERY_S)
        yield _count_waiting(world)


def _count_waiting(world):
    queue = world.queues['lookups']

    async def ask(service):
        return await service.waiting(queue.name, queue.pool)

    return [world.loop.run(ask, service) for service in world.services.values()]
