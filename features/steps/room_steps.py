"""Steps about the memory that jobs may take, without a cell."""

from behave import given, then, when

from cyclamentrack.jobs.admission import retry_after_s
from cyclamentrack.jobs.model import (
    Configuration,
    Job,
    JobId,
    Queue,
    QueueName,
)
from cyclamentrack.jobs.pool_rooms import pool_limit
from cyclamentrack.jobs.records import Member
from cyclamentrack.jobs.room import MAX_JOB_TASKS, Room, job_bytes
from features.harness.jobworld import POOL, make_step

_STEPS = 200
_TEXT_BYTES = 4000
_IDS = 1000


def _limit(memories, pools):
    members = [
        Member(
            node=f'n{number}',
            incarnation='1',
            address='',
            zone='z',
            memory_mb=memory,
        )
        for number, memory in enumerate(memories)
    ]
    queue = Queue(name=QueueName('q'), host='h', path_prefix='/', pool=POOL)
    configuration = Configuration(
        version=1,
        queues=(queue,),
        pools=tuple(f'p{number}' for number in range(pools)),
        max_body_bytes=1,
    )
    return pool_limit(members, configuration)


@given(
    'the memory limit of a cell of {pools:d} pools whose smallest node has '
    '{memory:d} MB'
)
def set_cell(context, pools, memory):
    context.limit = _limit([memory, 552], pools)


@given('a limit of {limit:d} bytes')
def set_limit(context, limit):
    context.limit = limit


@given('nodes of {memories} MB and {pools:d} pools')
def set_nodes(context, memories, pools):
    context.limit = _limit([float(one) for one in memories.split(',')], pools)


@then('a job of {tasks:d} tasks in 200 steps with the longest text is admitted')
def check_largest(context, tasks):
    assert tasks == MAX_JOB_TASKS
    job = Job(
        id=JobId('1'),
        queue=QueueName('q'),
        pool=POOL,
        payload='x' * _TEXT_BYTES,
        steps=(make_step(tasks // _STEPS),) * _STEPS,
        accepted_at_s=0.0,
    )
    assert Room(context.limit, context.limit).admits(job_bytes(job))


@when('jobs of {size:d} bytes are added until one is refused')
def fill(context, size):
    room = Room(context.limit, context.limit)
    while room.admits(size):
        room = room.less(size)
    context.room = room


@then('there is room for {count:d} jobs of {size:d} bytes')
def check_left(context, count, size):
    room = context.room
    for _ in range(count):
        assert room.admits(size), room
        room = room.less(size)


@then('each pool may take {limit:d} bytes')
def check_limit(context, limit):
    assert context.limit == limit, context.limit


@then('no limit is set')
def check_unlimited(context):
    assert context.limit is None, context.limit


@then(
    'a caller whose job is refused for want of room waits '
    '{least:d} to {most:d} seconds'
)
def check_wait(context, least, most):
    del context
    found = {
        retry_after_s(JobId(f'{number:016x}'), None, full=True)
        for number in range(_IDS)
    }
    assert found == set(range(least, most + 1)), found
