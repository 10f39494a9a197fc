"""Steps about an owner that is partitioned with some of its workers."""

from unittest import mock

import trio
from behave import given, then, when

from cyclamentrack.codec import encode
from cyclamentrack.jobs import claim_health
from cyclamentrack.jobs.journal import Head, head_key
from cyclamentrack.jobs.records import lease_key
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, make_step


def _world(context):
    return context.jobs


@given('a running job of {tasks:d} tasks of {work:g} seconds')
def start_job(context, tasks, work):
    world = _world(context)
    job, outcome = world.submit(make_step(tasks, estimate=work), work_s=work)
    assert outcome is RequestOutcome.STORED, outcome
    context.job = job
    world.loop.sleep(3)
    running = sum(len(one.runs) for one in world.workers.workers.values())
    assert running == tasks, running


def _partition(context, count):
    world = _world(context)
    context.former_owner = world.owner()
    context.island = sorted(world.workers.workers)[:count]
    world.links.isolate(context.former_owner, *context.island)


def _successor(context):
    cells = _world(context).cells
    for name, node in cells.items():
        if node.owners and name != context.former_owner:
            return name
    raise AssertionError('no successor')


@when(
    'the owner and {count:d} {noun} are partitioned from all others '
    'for {seconds:g} seconds'
)
def partition_for(context, count, noun, seconds):
    del noun
    _partition(context, count)
    world = _world(context)

    async def heal():
        await trio.sleep(seconds)
        world.links.heal()
        for name in context.island:
            world.restore_worker_entry(name)

    async def heal_later():
        world.loop.nursery.start_soon(heal)

    world.loop.run(heal_later)


@when(
    'the store forgets the entries of these workers after {seconds:g} seconds'
)
def forget_entries(context, seconds):
    world = _world(context)
    world.loop.sleep(seconds)
    for name in context.island:
        world.drop_worker_entry(int(name.removeprefix('w')))


@when('the successor is killed after {seconds:g} seconds')
def kill_successor(context, seconds):
    world = _world(context)
    world.loop.sleep(seconds)
    world.kill_node(_successor(context))


@when('a worker that the successor has reached begins again on the island')
def restart_on_island(context):
    """The third of six workers beside the owner makes four of them."""
    world = _world(context)
    world.loop.sleep(5)
    restarted = max(world.workers.workers)
    assert restarted not in context.island
    worker = world.workers.workers[restarted]
    worker.lose_power()
    worker.unreachable = False
    world.links.heal()
    context.island = [*context.island, restarted]
    world.links.isolate(context.former_owner, *context.island)


@when('the owner is killed and {count:d} workers are lost for good')
def lose_most(context, count):
    world = _world(context)
    world.kill_node(world.owner())
    for name in sorted(world.workers.workers)[:count]:
        world.workers.workers[name].vanish()
        world.workers.workers[name].unreachable = True
        world.drop_worker_entry(int(name.removeprefix('w')))


@when('the store answers nobody for {seconds:g} seconds')
def lose_store(context, seconds):
    world = _world(context)
    world.rows.down = True
    world.loop.sleep(seconds)
    world.rows.down = False


@given('the log about claims is recorded')
def record_log(context):
    recorded = mock.patch.object(claim_health, '_log')
    context.log = recorded.start()
    context.add_cleanup(recorded.stop)


@then('a line says that the claim is unconfirmed while {workers} answer')
def check_log(context, workers):
    lines = [
        call.args[0] % call.args[1:] for call in context.log.warning.mock_calls
    ]
    found = [line for line in lines if line.startswith('claim unconfirmed')]
    assert found, lines
    assert found[0].endswith(f'workers=6 answering={workers}'), found


@when(
    "the owner's machine was suspended for {seconds:g} seconds "
    'and a task is started at once'
)
def start_after_suspension(context, seconds):
    world = _world(context)
    world.suspended_s += seconds
    job, _ = world.submit(make_step(1))
    while not any(start[1].job == job for start in world.workers.starts):
        world.loop.sleep(0.01)
    context.job = job


@then("the task's worker has a lease for less than {seconds:g} seconds")
def check_start_lease(context, seconds):
    world = _world(context)
    orders = [
        run.order
        for worker in world.workers.workers.values()
        for (task, _), run in worker.runs.items()
        if task.job == context.job
    ]
    now = world.loop.run(world.now)
    left_s = [order.lease_until_ms / 1000 - now for order in orders]
    assert left_s, world.workers.starts
    assert max(left_s) < seconds, left_s


@when('another node claims the slice just after the next owner')
def replace_head(context):
    rows = _world(context).rows

    async def replace():
        await trio.sleep(0.001)
        rows.put(head_key(POOL), encode(Head(owner='other/1', number=0)))

    def find_claim(batch):
        if lease_key(POOL) in dict(batch.puts) and len(batch.puts) > 1:
            rows.on_commit = None
            trio.lowlevel.spawn_system_task(replace)

    rows.on_commit = find_claim


@then('a node has given the slice up')
def check_given_up(context):
    counters = [
        cell.dependencies.metrics.counters
        for cell in _world(context).cells.values()
    ]
    assert any(one.get('slices_given_up') for one in counters), counters
