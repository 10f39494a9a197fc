"""Steps about which nodes own pools."""

from unittest import mock

from behave import given, then, when

from cyclamentrack.codec import encode
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs import cell
from cyclamentrack.jobs.journal import Head, head_key
from cyclamentrack.jobs.model import JobId
from cyclamentrack.jobs.records import closed_key, lease_key
from features.harness.jobworld import JobWorld, make_queue

_LARGE = {'cores': 2.15, 'link_mbps': 200.0}
_SMALL = {'cores': 0.52, 'link_mbps': 10.0}


def _pools(context):
    return [PoolName(f'p{number}') for number in range(context.pools)]


def _large_names(context):
    return [f'large{number}' for number in range(context.large)]


def _owners(context):
    return [context.jobs.owner(pool) or '' for pool in _pools(context)]


@given(
    'a job cell of {small:d} small and {large:d} large nodes'
    ' with {pools:d} pools'
)
def start_uneven_cell(context, small, large, pools, seed=1):
    world = JobWorld(seed=seed)
    context.small = small
    context.jobs = world
    context.add_cleanup(world.close)
    context.large = large
    context.pools = pools
    names = _pools(context)
    queues = [make_queue(f'q{pool}', pool=pool) for pool in names]
    world.configure(*queues, pools=tuple(names))
    for number in range(small):
        world.start_node(f'small{number}', **_SMALL)
    start_large(context)
    world.loop.sleep(4)


@given('the same nodes start together under schedule {seed:d}')
def start_again(context, seed):
    start_uneven_cell(
        context, context.small, context.large, context.pools, seed=seed
    )


@given(
    'a pool of {workers:d} workers that a small node owns'
    ' while the {large:d} large ones are dead'
)
def start_small_owner(context, workers, large):
    world = JobWorld()
    context.jobs = world
    context.add_cleanup(world.close)
    context.large = large
    world.configure(make_queue('lookups', permits=0.02))
    for number in range(workers):
        world.add_worker(number)
    for number in range(3):
        world.start_node(f'small{number}', **_SMALL)
    world.loop.sleep(3)
    assert world.owner().startswith('small')
    context.claims = []
    world.rows.on_commit = lambda batch: _note_claim(context, batch)


def _note_claim(context, batch):
    if {'head', 'lease'} <= {key.key for key, _ in batch.puts}:
        context.claims.append(batch)


@then('a {kind} node owns the pool after {count:d} claim')
@then('a {kind} node owns the pool after {count:d} claims')
def check_moved(context, kind, count):
    owner = context.jobs.owner()
    assert owner.startswith(kind), owner
    assert len(context.claims) == count, len(context.claims)


@when('all large nodes are started again')
def start_large(context):
    for name in _large_names(context):
        context.jobs.start_node(name, **_LARGE)


@when('the owner of the first pool is killed')
def kill_first_owner(context):
    context.jobs.kill_node(_owners(context)[0])


@when('another owner fences the first pool')
def fence_first(context):
    patch = mock.patch.object(cell, '_log')
    context.log = patch.start()
    context.add_cleanup(patch.stop)
    world = context.jobs
    pool = _pools(context)[0]
    owner = world.cells[world.owner(pool)].owners[pool]

    async def fence():
        head = Head(owner='another', number=0)
        world.rows.put(head_key(pool), encode(head))
        owner.journal.put(closed_key(pool, JobId('0')), b'')

    world.loop.run(fence)


@then('the log names a newer owner as the reason')
def check_reason(context):
    lost = [
        call.args[0] % call.args[1:]
        for call in context.log.warning.mock_calls
        if call.args[0].startswith('slice lost')
    ]
    assert lost, 'not logged'
    assert all('newer owner' in line for line in lost), lost


@when('all large nodes are killed')
def kill_large(context):
    for name in _large_names(context):
        context.jobs.kill_node(name)


@when('all owners leave, each right after a renewal')
def leave_owners(context):
    world = context.jobs
    context.successors = []
    for pool, name in zip(_pools(context), _owners(context), strict=True):
        if name in world.cells:
            _wait_for_renewal(world, pool)
            world.loop.run(world.cells[name].hand_over)
            world.kill_node(name)
        context.successors.append(world.owner(pool) or '')


def _wait_for_renewal(world, pool):
    key = lease_key(pool)
    before = world.rows.rows[key].version
    while world.rows.rows[key].version == before:
        world.loop.sleep(0.01)


@then('every slice was transferred to a large node')
def check_transferred(context):
    found = context.successors
    assert all(owner.startswith('large') for owner in found), found


@then('{kind} nodes own all pools')
def check_kind(context, kind):
    owners = _owners(context)
    assert all(owner.startswith(kind) for owner in owners), owners


@then('no large node owns {count:d} pools')
def check_spread(context, count):
    owners = _owners(context)
    assert max(owners.count(name) for name in owners) < count, owners
