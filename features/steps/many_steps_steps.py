"""Steps about rounds over very many open steps."""

from unittest import mock

import trio
from behave import given, then, when

from cyclamentrack.jobs.dispatch import Dispatcher
from cyclamentrack.jobs.model import Job, JobId
from cyclamentrack.jobs.persistence import job_batch
from cyclamentrack.jobs.rounds import RoundState
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, make_step

_STEPS_PER_JOB = 100
_ESTIMATE_S = 1000.0


@given('{count:d} steps are open that no worker may run')
def open_steps(context, count):
    world = context.jobs
    queue = world.queues['lookups']
    step = make_step(1, estimate=_ESTIMATE_S, requires='no such label')

    async def store():
        for number in range(count // _STEPS_PER_JOB):
            job = Job(
                id=JobId(f'{0xA000 + number:016x}'),
                queue=queue.name,
                pool=POOL,
                payload='x',
                steps=(step,) * _STEPS_PER_JOB,
                accepted_at_s=trio.current_time(),
                terms=queue,
            )
            world.rows.apply(job_batch(job))

    world.loop.run(store)
    world.loop.sleep(2)
    registry = world.cells[world.owner()].owners[POOL].registry
    assert len(registry.open_steps) == count, len(registry.open_steps)


@when('a job that may start later than these is submitted')
def submit_later(context):
    step = make_step(1, estimate=9 * _ESTIMATE_S)
    job, outcome = context.jobs.submit(step, work_s=1.0)
    context.job = job
    assert outcome is RequestOutcome.STORED, outcome


@then(
    'no round of the next {seconds:d} seconds considers more than '
    '{most:d} steps'
)
def check_considered(context, seconds, most):
    considered = []
    decide = Dispatcher.decide
    may_start = RoundState.may_start

    def begin(self, *positional, **named):
        considered.append(0)
        return decide(self, *positional, **named)

    def consider(self, ready):
        considered[-1] += 1
        return may_start(self, ready)

    with (
        mock.patch.object(Dispatcher, 'decide', begin),
        mock.patch.object(RoundState, 'may_start', consider),
    ):
        context.jobs.loop.sleep(seconds)
    assert 0 < max(considered) <= most, max(considered)
