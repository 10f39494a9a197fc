"""Steps that disturb the owner of a pool and its workers."""

import trio
from behave import step, when

from cyclamentrack.ids import PoolName


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
