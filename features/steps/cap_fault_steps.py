"""Steps that disturb the owner of a pool and its workers."""

import trio
from behave import step, when

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.records import ALLOTMENTS


def _world(context):
    return context.jobs


def _workers_of(context, pool):
    return [
        worker
        for worker in _world(context).workers.workers.values()
        if worker.entry.pool == pool
    ]


@when('every worker of "{pool}" becomes unreachable')
def lose_workers(context, pool):
    for worker in _workers_of(context, pool):
        worker.unreachable = True


@when('all nodes are killed and start again')
def restart_all(context):
    world = _world(context)
    names = list(world.cells)
    for name in names:
        world.kill_node(name)
    for name in names:
        world.start_node(name, incarnation='2')


@step('the owner of "{pool}" sends its starts {seconds:g} seconds late')
def delay_launches(context, pool, seconds):
    world = _world(context)
    owner = world.cells[world.owner(PoolName(pool))].owners[pool]
    flushed = owner.journal.flushed

    async def late():
        await flushed()
        await trio.sleep(seconds)

    owner.journal.flushed = late


@when('the owner of "{pool}" and its workers are partitioned from all others')
def partition_owner(context, pool):
    world = _world(context)
    names = [worker.entry.id for worker in _workers_of(context, pool)]
    world.links.isolate(world.owner(PoolName(pool)), *names)


@step(
    'the store answers the owner of "{pool}" about {subject} '
    '{seconds:g} seconds late'
)
def delay_replies(context, pool, subject, seconds):
    """Delay replies of one node, which are of the time before the delay."""
    world = _world(context)
    store = world.cells[world.owner(PoolName(pool))].dependencies.store
    delayed = {'the configuration': 'op'}.get(subject, ALLOTMENTS)
    scan, follow, commit = store.scan, store.follow, store.commit

    async def late_scan(*, table, part):
        page = await scan(table=table, part=part)
        await trio.sleep(seconds if table == delayed else 0)
        return page

    async def late_follow(*, table, after, wait_s):
        found = await follow(table=table, after=after, wait_s=wait_s)
        await trio.sleep(seconds if table == delayed else 0)
        return found

    async def late_commit(batch):
        answer = await commit(batch)
        tables = {key.table for key, _ in batch.puts}
        await trio.sleep(seconds if delayed in tables else 0)
        return answer

    store.scan = late_scan
    store.follow = late_follow
    if subject == 'allotments and their writes':
        store.commit = late_commit
