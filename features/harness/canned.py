"""A platform with canned answers, and the calls that tests send to it."""

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.model import Token, WorkerEntry, WorkerState
from cyclamentrack.jobs.ports import PollOrder
from cyclamentrack.resources import Resources
from features.harness.wire import WireServer


def get_server(context):
    if not hasattr(context, 'wire'):
        context.wire = WireServer()
        context.add_cleanup(context.wire.close)
    return context.wire


def make_worker(context):
    return WorkerEntry(
        id=WorkerId('i-1'),
        pool=PoolName('pool'),
        address=getattr(context, 'address', None)
        or get_server(context).address,
        zone='z',
        capacity=Resources(milli_cores=1, memory_mib=1),
        labels=(),
        state=WorkerState.READY,
        incarnation=1,
    )


def make_poll_order(*, incarnation=0, acknowledged=0, lease_until_ms=None):
    return PollOrder(
        token=Token(7),
        incarnation=incarnation,
        acknowledged=acknowledged,
        lease_until_ms=lease_until_ms,
        wait_s=0,
        answer_s=0.8,
    )
