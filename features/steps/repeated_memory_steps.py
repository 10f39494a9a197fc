"""Steps about repetitions, and cancellations, that take an owner's memory."""

import trio
from behave import then, when

from cyclamentrack.jobs.model import JobId
from cyclamentrack.jobs.room import CANCELLED_BYTES
from cyclamentrack.jobs.service import RequestOutcome
from cyclamentrack_standins.jobworkers import Behaviour
from features.harness.jobworld import make_step
from features.steps.job_memory_steps import (
    large_step,
    new_job,
    pool_registry,
    started,
    submit,
)

_FIRST_UNKNOWN = 0x1000000
_CANCELLERS = 50
_CHECK_S = 0.05
_CHECKS = 2000


@when('a job of {count:d} repetitions that are all due is submitted')
def submit_repeated(context, count):
    context.count = count
    _submit_repeated(context, make_step(1, cores=4), count, 0.0)


@when(
    'a job of {count:d} repetitions of {tasks:d} tasks, {interval:d} seconds '
    'apart, is submitted'
)
def submit_large_repeated(context, count, tasks, interval):
    context.count = count * tasks
    step = make_step(tasks, cores=0.001)
    _submit_repeated(context, step, count, float(interval))


def _submit_repeated(context, step, count, interval):
    world = context.jobs
    job = new_job(
        context,
        JobId(f'{0xD0:016x}'),
        step,
        repeat=count,
        start_at_s=1.0,
        interval_s=interval,
    )
    world.workers.behaviours[job.id, 0] = Behaviour(step=step, work_s=0.2)
    context.repeated = job.id
    service = world.services[world.owner()]

    async def send():
        return await service.submit(job, caller_timeout_s=3.0)

    outcome = world.loop.run(send)
    assert outcome is RequestOutcome.STORED, outcome


@when('jobs of {tasks:d} tasks are submitted until one is refused')
def fill(context, tasks):
    outcome = RequestOutcome.STORED
    while outcome is RequestOutcome.STORED:
        _, outcome = context.jobs.submit(large_step(tasks), work_s=100.0)
    assert outcome is RequestOutcome.FULL, outcome


@then('at most {count:d} of its repetitions are open at any moment')
def check_open(context, count):
    found = []
    for _ in range(_CHECKS):
        entry = pool_registry(context).jobs.get(context.repeated)
        if entry is None:
            break
        found.append(sum(not step.done for step in list(entry.steps.values())))
        context.jobs.loop.sleep(_CHECK_S)
    assert max(found) == count, max(found)


@then('each repetition was started once')
def check_repetitions(context):
    own = [
        task
        for task in started(context)
        if task.partition('.')[0] == context.repeated
    ]
    assert len(own) == len(set(own)) == context.count, len(own)


@when('{count:d} unknown jobs are cancelled through the owner')
def cancel_unknown(context, count):
    world = context.jobs
    service = world.services[world.owner()]
    names = iter(range(_FIRST_UNKNOWN, _FIRST_UNKNOWN + count))
    context.outcomes = []

    async def cancel():
        for name in names:
            outcome = await service.cancel(
                queue=world.queues['lookups'],
                job=JobId(f'{name:016x}'),
                caller_timeout_s=3.0,
            )
            context.outcomes.append(outcome)

    async def cancel_all():
        async with trio.open_nursery() as nursery:
            for _ in range(_CANCELLERS):
                nursery.start_soon(cancel)

    world.loop.run(cancel_all)


@then('the last cancellation is refused, and half of the room is left')
def check_refused(context):
    found = context.outcomes
    assert found[0] is RequestOutcome.NOT_FOUND, found[0]
    assert found[-1] is RequestOutcome.REFUSED, found[-1]
    # Those that are decided together may go beyond it.
    room = pool_registry(context).room
    slack = _CANCELLERS * CANCELLED_BYTES
    assert room.free >= room.limit // 2 - slack, room


@then('a job that is accepted can be cancelled')
def check_cancel(context):
    job = submit(context, make_step(1, cores=0.1), work_s=9.0)
    context.jobs.loop.sleep(1)
    outcome = context.jobs.cancel(job)
    assert outcome is RequestOutcome.STORED, outcome
