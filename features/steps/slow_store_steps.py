"""Steps about a store that is slow."""

import random
import zlib
from collections import Counter

import trio
from behave import given, then, when

from cyclamentrack.codec import encode
from cyclamentrack.jobs.model import Job, JobId, QueueName
from cyclamentrack.jobs.ports import RowKey
from cyclamentrack.jobs.records import JOBS
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, make_step


@given('the store takes {seconds:g} seconds for each transaction of a part')
def slow_store(context, seconds):
    context.jobs.rows.transaction_s = seconds


def _job(number, now):
    return Job(
        id=JobId(f'{random.Random(number).getrandbits(64):016x}'),
        queue=QueueName('lookups'),
        pool=POOL,
        payload='x',
        steps=(make_step(1, estimate=0.2),),
        accepted_at_s=now,
    )


@when(
    '{rate:d} jobs a second are submitted for {seconds:g} seconds, each with '
    'a timeout of {timeout_s:g} seconds'
)
def submit_burst(context, rate, seconds, timeout_s):
    world = context.jobs
    context.outcomes = Counter()
    services = list(world.services.values())

    async def submit(number):
        service = services[number % len(services)]
        job = _job(number, trio.current_time())
        outcome = await service.submit(job, caller_timeout_s=timeout_s)
        context.outcomes[outcome] += 1

    async def submit_all():
        async with trio.open_nursery() as nursery:
            for number in range(int(rate * seconds)):
                nursery.start_soon(submit, number)
                await trio.sleep(1 / rate)

    world.loop.run(submit_all)


@then('{percent:g} percent of them are stored and none is in doubt')
def check_burst(context, percent):
    outcomes = context.outcomes
    stored = outcomes[RequestOutcome.STORED]
    assert not outcomes[RequestOutcome.UNKNOWN], outcomes
    assert stored >= outcomes.total() * percent / 100, outcomes


@when(
    'a job is stored in one of the {parts:d} parts that earlier versions used'
)
def store_in_former_part(context, parts):
    world = context.jobs
    job = _job(1, world.loop.run(world.now))
    context.job = job.id

    number = (
        job.id[0] if parts == 16 else f'{zlib.crc32(job.id.encode()) % 64:02x}'
    )

    async def store():
        key = RowKey(JOBS, f'{POOL}/{number}', job.id)
        world.rows.put(key, encode(job))

    world.loop.run(store)
