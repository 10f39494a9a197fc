"""Steps about pools that the configuration no longer names."""

from behave import then, when

from cyclamentrack.ids import PoolName
from features.harness.jobworld import POOL, make_queue

_APPLIED_S = 1.0
_NEW_WORKER = 70


def _configure(context, *pools, queue_pool):
    world = context.jobs
    moved = make_queue('lookups', permits=0.02, pool=queue_pool)
    world.configure(make_queue('other'), moved, pools=pools)
    world.loop.sleep(_APPLIED_S)


@when('its queue moves to "{name}", and its former pool leaves')
def leave_pool(context, name):
    _configure(context, PoolName(name), queue_pool=PoolName(name))


@when('its former pool returns with a worker')
def return_pool(context):
    pools = context.pools
    _configure(context, *pools, queue_pool=pools[-1])
    context.jobs.add_worker(_NEW_WORKER)


@when('the store goes down, and all nodes are started again')
def restart_nodes(context):
    world = context.jobs
    world.rows.down = True
    for name in list(world.cells):
        world.kill_node(name)
        world.start_node(name, incarnation='2')


@when('{count:d} pools are added')
def add_pools(context, count):
    more = [PoolName(f'more-{number}') for number in range(count)]
    _configure(context, *context.pools, *more, queue_pool=POOL)


@when('they leave again')
def remove_pools(context):
    _configure(context, *context.pools, queue_pool=POOL)


@then('the first pool has an owner')
def check_owner(context):
    assert context.jobs.owner()


@then('the first pool has no owner')
def check_no_owner(context):
    assert context.jobs.owner() is None, context.jobs.owner()


@then('no node finds a pool without owner')
def check_none_missing(context):
    async def find():
        return [
            cell.pools_without_owner() for cell in context.jobs.cells.values()
        ]

    missing = context.jobs.loop.run(find)
    assert not any(missing), missing


@then('nothing is written of the first pool within {seconds:g} seconds')
def check_nothing_written(context, seconds):
    world = context.jobs
    written = []

    def note(batch):
        keys = [*(key for key, _ in batch.puts), *batch.removes]
        written.extend(key for key in keys if key.part == POOL)

    world.rows.on_commit = note
    world.loop.sleep(seconds)
    world.rows.on_commit = None
    assert not written, written


@then('there are {count:d} owners')
def check_owners(context, count):
    owned = [
        pool for cell in context.jobs.cells.values() for pool in cell.owners
    ]
    assert len(owned) == count, sorted(owned)
