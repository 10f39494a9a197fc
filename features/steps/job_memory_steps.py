"""Steps about owners that have no room left for jobs."""

from behave import given, then, when

from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.model import Job, JobId, JobState
from cyclamentrack.jobs.persistence import job_batch
from cyclamentrack.jobs.service import RequestOutcome
from cyclamentrack_standins.jobworkers import Behaviour
from features.harness.jobworld import POOL, JobWorld, make_queue, make_step

_LARGE = 10_000


@given('a job cell of {nodes:d} nodes of {memory:d} MB and {workers:d} workers')
def start_cell(context, nodes, memory, workers):
    world = JobWorld()
    context.jobs = world
    context.add_cleanup(world.close)
    world.configure(make_queue('lookups', permits=0.02))
    for number in range(workers):
        world.add_worker(number)
    for number in range(nodes):
        world.start_node(f'n{number}', memory_mb=memory)
    world.loop.sleep(3)
    assert world.owner() is not None


def pool_registry(context):
    world = context.jobs
    return world.cells[world.owner()].owners[POOL].registry


def submit(context, *steps, **changes):
    job, outcome = context.jobs.submit(*steps, **changes)
    assert outcome is RequestOutcome.STORED, outcome
    return job


def large_step(tasks=_LARGE):
    return make_step(tasks, cores=3, estimate=0.0)


@when('a large job is submitted')
def submit_large(context):
    context.large = submit(context, large_step(), work_s=100.0)
    context.jobs.loop.sleep(1)


@when('another large job is submitted, which is answered "{outcome}"')
def submit_second(context, outcome):
    world = context.jobs
    for node in world.services:
        job, found = world.submit(large_step(), node=node)
        assert found is RequestOutcome(outcome), (node, found)
        assert world.state(job, node=node) is None


@when('a small job is submitted')
def submit_small(context):
    context.small = submit(context, make_step(1, cores=0.1), work_s=1.0)


@then('the refused job is accepted through another node')
def check_accepted_later(context):
    world = context.jobs
    node = next(name for name in world.services if name != world.owner())
    submit(context, large_step(), work_s=100.0, node=node)


@then('the large job is accepted when it is sent again')
def send_again(context):
    world = context.jobs
    for service in world.services.values():
        stored = new_job(context, context.large, large_step())

        async def send(service=service, stored=stored):
            return await service.submit(stored, caller_timeout_s=3.0)

        outcome = world.loop.run(send)
        assert outcome is RequestOutcome.STORED, outcome


def new_job(context, job, step, **changes):
    world = context.jobs
    world.workers.behaviours[job, 0] = Behaviour(step=step, work_s=100.0)
    return Job(
        id=job,
        queue=world.queues['lookups'].name,
        pool=POOL,
        payload='x',
        steps=(step,),
        accepted_at_s=world.loop.run(world.now),
        terms=world.queues['lookups'],
        **changes,
    )


def _store(context, step, **changes):
    stored = new_job(context, JobId(f'{0xC0:016x}'), step, **changes)
    context.parked = stored.id

    async def apply():
        context.jobs.rows.apply(job_batch(stored))

    context.jobs.loop.run(apply)


@when('another large job is stored by a node with old figures')
def store_large(context):
    _store(context, large_step())


@when('a job of {tasks:d} tasks is stored by a node of an earlier version')
def store_oversized(context, tasks):
    _store(context, large_step(tasks))


@when('the large job is cancelled')
def cancel_large(context):
    outcome = context.jobs.cancel(context.large)
    assert outcome is RequestOutcome.STORED, outcome


@when(
    'the large job is cancelled while reads of the jobs fail for '
    '{seconds:g} seconds'
)
def cancel_without_reads(context, seconds):
    world = context.jobs
    cancel_large(context)
    part = next(
        key.part
        for key in world.rows.rows
        if key.table == 'jobs' and key.key == context.parked
    )
    world.rows.unanswered_parts.add(part)
    world.loop.sleep(seconds)
    world.rows.unanswered_parts.discard(part)


def cancel(context, job):
    world = context.jobs
    service = next(iter(world.services.values()))

    async def cancel():
        return await service.cancel(
            queue=world.queues['lookups'], job=job, caller_timeout_s=3.0
        )

    return world.loop.run(cancel)


@when('the parked job is cancelled')
def cancel_parked(context):
    outcome = cancel(context, context.parked)
    assert outcome is RequestOutcome.STORED, outcome


@then('the {which} job is shown as "{state}" by every node')
def check_shown(context, which, state):
    world = context.jobs
    for node in world.services:
        shown = world.state(getattr(context, which), node=node)
        assert shown is JobState(state), (node, shown)


@then('{count:d} job is parked, and counted as waiting')
def check_parked(context, count):
    registry = pool_registry(context)
    assert len(registry.parked) == count, registry.parked
    assert registry.waiting() == {'lookups': count}, registry.waiting()


@then('no job is parked')
def check_none_parked(context):
    assert not pool_registry(context).parked


@then('no task of the parked job was started')
def check_not_started(context):
    jobs = {task.partition('.')[0] for task in started(context)}
    assert context.parked not in jobs


def started(context):
    return [str(task) for _, task, _, _ in context.jobs.workers.starts]


@when('a large job of the account "{account}" is stored in the same way')
def store_of_account(context, account):
    _store(context, large_step(), account=AccountName(account))
    context.jobs.loop.sleep(3)


@then('the parked job is shown to "{account}", and unknown to "{other}"')
def check_account(context, account, other):
    world = context.jobs
    for service in world.services.values():
        shown = _show(context, service, account)
        assert shown.state is JobState.QUEUED, shown
        shown = _show(context, service, other)
        assert shown.state is None, shown


def _show(context, service, account):
    world = context.jobs

    async def show():
        return await service.show(
            queue=world.queues['lookups'],
            job=context.parked,
            account=AccountName(account),
        )

    return world.loop.run(show)
