"""Steps about writes that the store applies late."""

import msgspec
import trio
from behave import then, when

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.model import Job, JobId
from cyclamentrack.jobs.persistence import job_batch, tombstone_batch
from cyclamentrack.jobs.records import (
    JOBS,
    cancel_key,
    cancelled_job,
    job_key,
)
from cyclamentrack.jobs.service import RequestOutcome
from cyclamentrack_standins.jobworkers import Behaviour
from features.harness.jobworld import POOL, make_queue, make_step


def _new_job(context, number=0xC0):
    """Return a job that no node has heard of."""
    job = JobId(f'{number:016x}')
    context.job = job
    step = make_step(1)
    context.jobs.workers.behaviours[job, 0] = Behaviour(step=step)
    queue = make_queue('lookups', permits=0.02)
    return Job(
        id=job,
        queue=queue.name,
        pool=POOL,
        payload='x',
        steps=(step,),
        accepted_at_s=context.jobs.loop.run(context.jobs.now),
        terms=queue,
    )


def _cancel(context, job, *, timeout_s=3.0):
    world = context.jobs
    service = next(iter(world.services.values()))

    async def send():
        return await service.cancel(
            queue=world.queues['lookups'],
            job=job.id,
            caller_timeout_s=timeout_s,
        )

    return world.loop.run(send)


def _apply(context, batch):
    async def apply():
        return context.jobs.rows.apply(batch)

    return context.jobs.loop.run(apply)


@when('a cancellation of an unknown job is answered "{outcome}"')
def cancel_unknown(context, outcome):
    context.unknown = _new_job(context)
    found = _cancel(context, context.unknown)
    assert found is RequestOutcome(outcome), found


@when(
    "a cancellation of an unknown job can't be stored, and is answered "
    '"{outcome}"'
)
def cancel_unstored(context, outcome):
    context.jobs.rows.lost_replies = 99
    cancel_unknown(context, outcome)


@when(
    'a cancellation of an unknown job is answered "{outcome}", as the job is '
    'stored first'
)
def cancel_overtaken(context, outcome):
    rows = context.jobs.rows
    context.unknown = _new_job(context)

    def begin(batch):
        if any(key == cancel_key(context.job) for key, _ in batch.puts):
            rows.on_commit = None
            rows.apply(job_batch(context.unknown))

    rows.on_commit = begin
    found = _cancel(context, context.unknown)
    assert found is RequestOutcome(outcome), found


@when('each transaction of the store takes {seconds:g} seconds')
def slow_down(context, seconds):
    context.jobs.rows.transaction_s = seconds


@then(
    'a cancellation of an unknown job is answered "{outcome}" within '
    '{seconds:g} seconds'
)
def cancel_in_time(context, outcome, seconds):
    world = context.jobs
    began_at = world.loop.run(world.now)
    cancel_unknown(context, outcome)
    took_s = world.loop.run(world.now) - began_at
    assert took_s < seconds, took_s


@when('a cancellation of an unknown job is applied after the job was stored')
def cancel_late(context):
    submit_unknown(context)
    origin = context.unknown.origin
    _apply(context, tombstone_batch(context.job, origin))


@when('{count:d} cancellations of unknown jobs are answered "{outcome}"')
def cancel_many(context, count, outcome):
    for number in range(count):
        context.unknown = _new_job(context, number + 1)
        found = _cancel(context, context.unknown)
        assert found is RequestOutcome(outcome), found


@when('the submission of that job is carried out late')
def store_late(context):
    _apply(context, job_batch(context.unknown))


@when('the last of those jobs is stored for a pool without an owner')
def store_elsewhere(context):
    job = msgspec.structs.replace(context.unknown, pool=PoolName('nowhere'))
    _apply(context, job_batch(job))


@when('that job is submitted')
def submit_unknown(context):
    context.unknown = _new_job(context, int(getattr(context, 'job', 'c0'), 16))
    service = next(iter(context.jobs.services.values()))

    async def send():
        return await service.submit(context.unknown, caller_timeout_s=3.0)

    assert context.jobs.loop.run(send) is RequestOutcome.STORED


@when('the queue of those is removed')
def remove_queue(context):
    context.jobs.configure(make_queue('other'))


@when('its removal is carried out late, after the id is used again')
def remove_late(context):
    """Lose the removals until the first of them is done late."""
    world = context.jobs
    key = job_key(context.job)
    body = world.rows.rows[key].body
    removals = []

    def begin(batch):
        if key in batch.removes and not removals:
            removals.append(batch)

    world.rows.on_commit = begin
    world.loop.sleep(15)

    async def use_again():
        assert key not in world.rows.rows
        world.rows.put(key, body)
        await trio.sleep(3)
        world.rows.apply(removals[0])

    world.loop.run(use_again)


@then('the later job is stored')
def check_later_job(context):
    assert job_key(context.job) in context.jobs.rows.rows


@then('no task was started')
def check_none_started(context):
    assert not context.jobs.workers.starts, context.jobs.workers.starts


@then('the store has no cancellations')
def check_no_cancellations(context):
    assert not _cancelled(context), _cancelled(context)


@then('the store has the cancellation of that job alone')
def check_one_cancellation(context):
    assert _cancelled(context) == [context.job], _cancelled(context)


def _cancelled(context):
    return [
        job
        for key in context.jobs.rows.rows
        if key.table == JOBS and (job := cancelled_job(key))
    ]


@then('the owner knows no cancellations')
def check_none_known(context):
    world = context.jobs
    owner = world.cells[world.owner()].owners[POOL]
    assert not owner.registry.cancels, owner.registry.cancels
