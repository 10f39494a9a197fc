"""Steps about a store that doesn't answer for some rows."""

import msgspec
import trio
from behave import given, step, then, when

from cyclamentrack.codec import encode
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.model import Job, JobId, QueueName, TaskName
from cyclamentrack.jobs.ports import RowKey
from cyclamentrack.jobs.records import (
    CLAIMS,
    JOBS,
    all_jobs_parts,
    job_key,
    jobs_part,
)
from cyclamentrack.jobs.registry import placements
from cyclamentrack.jobs.service import RequestOutcome
from cyclamentrack.metrics import Metrics
from cyclamentrack_platform.front import HttpFrontend
from features.harness.asgi import call_app
from features.harness.jobworld import POOL, make_queue, make_step

_LATER_JOB = JobId('7000000000000001')


def _world(context):
    return context.jobs


@given("the store doesn't answer for the rows of the pool")
def leave_pool_unanswered(context):
    _world(context).rows.unanswered_parts.add(POOL)


@given("the store doesn't answer for the claims of the empty part")
def leave_empty_claims_unanswered(context):
    _world(context).rows.unanswered_scans.add((CLAIMS, ''))


@when("the store doesn't answer for the rows of jobs")
def leave_jobs_unanswered(context):
    _fill_first_part(context)
    _world(context).rows.unanswered_parts.update(all_jobs_parts())


@step('the store answers for all rows')
def answer_all(context):
    _world(context).rows.unanswered_parts.clear()


@when('every node is restarted')
def restart_nodes(context):
    world = _world(context)
    names = list(world.cells)
    for name in names:
        world.kill_node(name)
    for name in names:
        world.start_node(name)


@when('every node has missed the last change of the lease')
def miss_change(context):
    for cell in _world(context).cells.values():
        seen = cell.lease_tracker.seen[POOL]
        cell.lease_tracker.seen[POOL] = msgspec.structs.replace(
            seen, version=seen.version - 1
        )


@when('a job of the steps "{count:d}" waits for permits')
def submit_waiting(context, count):
    world = _world(context)
    world.permit_service.refuses_all = True
    world.submit(make_step(count))


@given('a second pool "{name}"')
def add_pool(context, name):
    world = _world(context)
    queues = [*world.queues.values(), make_queue(name, pool=PoolName(name))]
    world.configure(*queues, pools=(POOL, PoolName(name)))
    world.loop.sleep(3)


@then('some node owns the pool "{name}"')
def check_pool_owned(context, name):
    cells = _world(context).cells.values()
    assert any(PoolName(name) in cell.owners for cell in cells)


@then('some node owns the pool')
def check_owned(context):
    assert _world(context).owner() is not None


def _count(context, name):
    world = _world(context)
    frontend = HttpFrontend(
        cell=world.cells[name], service=world.services[name], metrics=Metrics()
    )
    return world.loop.run(
        call_app, frontend.callers, 'GET', '/lookups/', b'', 'h'
    )


@then("the first node can't report how many jobs wait")
def check_unknown_count(context):
    reply = _count(context, next(iter(_world(context).cells)))
    assert reply.status == 503, (reply.status, reply.body)


@then('the last node reports that {count:d} job waits')
def check_count(context, count):
    reply = _count(context, list(_world(context).cells)[-1])
    assert reply.json() == {'Waiting': count}, (reply.status, reply.body)


@when('the owner of "{name}" is killed')
def kill_owner_of(context, name):
    world = _world(context)
    for node, cell in list(world.cells.items()):
        if PoolName(name) in cell.owners:
            world.kill_node(node)


@when('every node loses the history of the store')
def lose_history(context):
    rows = _world(context).rows

    async def lose():
        for _ in range(15):
            rows.put(RowKey('other', '', 'key'), b'')
            rows.drop_history()
            await trio.sleep(0.1)

    _world(context).loop.run(lose)


@given('a larger worker whose entry was removed')
def remove_larger(context):
    world = _world(context)
    world.add_worker(9, cores=64)
    world.loop.sleep(2)
    world.drop_worker_entry(9)
    world.loop.sleep(1)


@then('a job that needs the larger worker is {outcome}')
def check_larger(context, outcome):
    found = _world(context).submit(make_step(1, cores=32))
    assert found[1] is RequestOutcome(outcome), found


@given("the list of workers can't be read")
def leave_workers_unanswered(context):
    _world(context).rows.unanswered_scans.add(('servers', ''))


@when('the list of workers can be read')
def answer_workers(context):
    _world(context).rows.unanswered_scans.clear()


@then('its runs are not given up')
def check_adopted(context):
    world = _world(context)
    registry = world.cells[world.owner()].owners[POOL].registry
    assert len(list(placements(registry))) == 4


@given('{count:d} different workers, the last one larger')
def add_different_workers(context, count):
    world = _world(context)
    for number in range(count):
        world.add_worker(100 + 3 * number)
    world.add_worker(9, cores=64)
    world.loop.sleep(2)


@given('one node owns both pools')
def own_both(context):
    world = _world(context)
    others = [name for name in world.cells if name != world.owner()]
    for name in others:
        world.kill_node(name)
    world.loop.sleep(5)
    for name in others:
        world.start_node(name)
    world.loop.sleep(2)
    assert len(world.cells[world.owner()].owners) == 2


@then('another node owns the pool "{name}"')
def check_other_owner(context, name):
    cells = _world(context).cells
    owners = {node for node in cells if PoolName(name) in cells[node].owners}
    assert owners - {context.former_owner}, owners


@given("the store doesn't answer for the rows of jobs of the first part")
def leave_part_unanswered(context):
    first = _fill_first_part(context)
    _world(context).rows.unanswered_parts.add(first)
    assert jobs_part(_LATER_JOB) != first


def _fill_first_part(context):
    """Store a row, since an owner only reads the parts that have one."""
    first = all_jobs_parts()[0]
    rows = _world(context).rows

    async def put():
        rows.put(RowKey(JOBS, first, '00000000000000ee/cancel'), b'1')

    _world(context).loop.run(put)
    return first


@when('a node stores a job and dies')
def store_unannounced(context):
    world = _world(context)
    context.job = _LATER_JOB

    async def store():
        job = Job(
            id=context.job,
            queue=QueueName('lookups'),
            pool=POOL,
            payload='x',
            steps=(make_step(1),),
            accepted_at_s=trio.current_time(),
        )
        world.rows.put(job_key(job.id), encode(job))

    world.loop.run(store)


@given('every worker refuses the first job')
def refuse_first_job(context):
    for worker in _world(context).workers.workers.values():
        for index in range(2):
            task = TaskName(JobId('0000000000000001'), 0, 0, index)
            worker.barred_runs[task] = 1_000_000
