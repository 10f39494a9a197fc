"""Steps about leases of other forms."""

import msgspec
from behave import then, when

from cyclamentrack.codec import decode, encode
from cyclamentrack.jobs.model import QueueName
from cyclamentrack.jobs.records import Lease, lease_key
from features.harness.jobworld import POOL


@when('the lease is overwritten with other bytes')
def spoil_lease(context):
    world = context.jobs

    async def spoil():
        world.rows.put(lease_key(POOL), b'\xff')

    world.loop.run(spoil)


class _LeaseBefore(msgspec.Struct, kw_only=True):
    node: str
    waiting: dict[QueueName, int] = {}


@when('a lease without a count is encoded')
def encode_uncounted(context):
    lease = Lease(node='n', claim='c', address='a', number=0)
    context.encoded = encode(lease)


@then('the release before reads no job waiting from it')
def check_former_release(context):
    assert decode(context.encoded, _LeaseBefore).waiting == {}


@when('every worker but one falls silent and off the list')
def lose_workers(context):
    workers = context.jobs.workers.workers
    for number, worker in enumerate(list(workers.values())):
        worker.unreachable = number > 0
        if worker.unreachable:
            context.jobs.drop_worker_entry(number)
