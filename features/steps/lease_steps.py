"""Steps about leases in other formats, and about lost workers."""

import msgspec
from behave import then, when

from cyclamentrack.codec import decode, encode
from cyclamentrack.jobs.model import QueueName
from cyclamentrack.jobs.records import Lease, lease_key
from features.harness.jobworld import POOL


@when('the lease is overwritten with other bytes')
def overwrite_lease(context):
    world = context.jobs

    async def overwrite():
        world.rows.put(lease_key(POOL), b'\xff')

    world.loop.run(overwrite)


class _PreviousLease(msgspec.Struct, kw_only=True):
    node: str
    waiting: dict[QueueName, int] = {}


@when('a lease without a count is encoded')
def encode_lease_without_count(context):
    lease = Lease(node='n', claim='c', address='a', number=0)
    context.encoded = encode(lease)


@then('the previous release decodes it with no job waiting')
def check_previous_release(context):
    assert decode(context.encoded, _PreviousLease).waiting == {}


@when('every worker but one becomes unreachable and unlisted')
def lose_workers(context):
    workers = context.jobs.workers.workers
    for number, worker in enumerate(list(workers.values())):
        worker.unreachable = number > 0
        if worker.unreachable:
            context.jobs.drop_worker_entry(number)
