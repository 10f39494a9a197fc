"""Steps that submit loads and check the scheduling decisions."""

from behave import given, then, when

from cyclamentrack.jobs.model import Job, JobId, JobState, QueueName
from cyclamentrack.jobs.order import latest_start, ready_step
from cyclamentrack.jobs.pacing import ServingReading, next_pace
from cyclamentrack.jobs.registry import JobRegistry
from features.harness.jobworld import POOL, JobWorld, make_queue, make_step


@given('a pool of {workers:d} workers with urgent and batch queues')
def start_pool(context, workers):
    world = JobWorld()
    context.jobs = world
    context.add_cleanup(world.close)
    context.submitted = []
    world.configure(
        make_queue('lookups', priority=0, permits=0.02),
        make_queue('gangs', priority=1, permits=0.2),
        make_queue('batch', priority=2, permits=0.2, stretch=6.0),
    )
    for number in range(workers):
        world.add_worker(number)
    for number in range(3):
        world.start_node(f'n{number}')
    world.loop.sleep(3)


@given('the first worker fails every run')
def make_worker_fail(context):
    workers = context.jobs.workers.workers
    next(iter(workers.values())).fails_all = True


@given('the first worker now runs tasks {times:g} times slower')
def slow_worker(context, times):
    workers = context.jobs.workers.workers
    next(iter(workers.values())).slowness = times


@when('the first worker runs tasks at full speed again')
def restore_speed(context):
    slow_worker(context, 1.0)


@given('every worker leaves its next start order unanswered')
def leave_unanswered(context):
    for worker in context.jobs.workers.workers.values():
        worker.delayed_starts = 1


def _submit(context, *steps, **changes):
    context.job = context.jobs.submit(*steps, **changes)[0]
    context.submitted.append(context.job)


@when('a batch job of {count:d} tasks of {work:g} seconds is submitted')
@when('a batch job of {count:d} tasks of {work:g} second is submitted')
def submit_batch(context, count, work):
    step = make_step(count, estimate=work)
    _submit(context, step, queue='batch', work_s=work)


@when('batch jobs of {count:d} tasks of 0.7 to 1.9 seconds are submitted')
def submit_mixed(context, count):
    for work_s in (0.7, 1.1, 1.3, 1.9):
        step = make_step(count, estimate=work_s)
        _submit(context, step, queue='batch', work_s=work_s)


@when(
    '{jobs:d} batch jobs of {count:d} tasks are submitted '
    'that take {times:g} times their estimate'
)
def submit_underestimated(context, jobs, count, times):
    for _ in range(jobs):
        step = make_step(count, estimate=0.5)
        _submit(context, step, queue='batch', work_s=0.5 * times)


@given('all workers are quarantined for {seconds:g} seconds')
def quarantine_all(context, seconds):
    owner = context.jobs.cells[context.jobs.owner()].owners[POOL]
    now = context.jobs.loop.run(context.jobs.now)
    for worker in owner.fleet.workers.values():
        worker.quarantined_until = now + seconds


@when('an urgent job of {count:d} tasks is submitted')
def submit_urgent(context, count):
    _submit(context, make_step(count))


@when('{jobs:d} urgent jobs of {count:d} tasks are submitted')
def submit_several(context, jobs, count):
    for _ in range(jobs):
        _submit(context, make_step(count))


@when(
    '{jobs:d} urgent jobs of {count:d} tasks are submitted, '
    'one each {gap:g} seconds'
)
def submit_flow(context, jobs, count, gap):
    for _ in range(jobs):
        _submit(context, make_step(count))
        context.jobs.loop.sleep(gap)


@when('a gang of 3 tasks of a whole worker is submitted')
def submit_large_gang(context):
    step = make_step(3, cores=16, gang=True)
    _submit(context, step, queue='gangs', work_s=1.0)


@when('{count:d} gangs that no worker may run are submitted')
def submit_unpermitted(context, count):
    context.jobs.permit_service.refuses_all = True
    for _ in range(count):
        step = make_step(3, cores=16, gang=True)
        _submit(context, step, queue='gangs', work_s=1.0)
        context.jobs.permit_service.permitted[context.job] = set()
    context.jobs.permit_service.refuses_all = False


@when('an urgent job whose tasks always fail is submitted')
def submit_failing(context):
    _submit(context, make_step(2), fails=99)


@then('all tasks of the last job have started')
def check_started(context):
    started = {
        task
        for _, task, _, _ in context.jobs.workers.starts
        if task.job == context.job
    }
    owner = context.jobs.cells[context.jobs.owner()].owners[POOL]
    entry = owner.registry.jobs.get(context.job)
    wanted = entry.job.steps[0].count if entry else len(started)
    assert started, 'nothing started'
    assert len(started) == wanted, (len(started), wanted)


@then('some task of the last job has started')
def check_some_started(context):
    starts = context.jobs.workers.starts
    assert any(task.job == context.job for _, task, _, _ in starts)


@then('no worker was ever quarantined')
def check_never_quarantined(context):
    owner = context.jobs.cells[context.jobs.owner()].owners[POOL]
    for worker in owner.fleet.workers.values():
        assert not worker.quarantined_until, worker.entry.id


@then('all jobs are shown as "{state}"')
def check_all(context, state):
    for job in context.submitted:
        assert context.jobs.state(job) is JobState(state), job


@then('the first worker was given {count:d} starts at most')
def check_given(context, count):
    starts = _starts_of_first(context)
    assert len(starts) <= count, len(starts)


@then('the first worker was given {count:d} starts at least')
def check_given_least(context, count):
    starts = _starts_of_first(context)
    assert len(starts) >= count, len(starts)


def _starts_of_first(context):
    first = next(iter(context.jobs.workers.workers))
    return [one for one in context.jobs.workers.starts if one[3] == first]


@then('no worker is quarantined')
def check_not_quarantined(context):
    owner = context.jobs.cells[context.jobs.owner()].owners[POOL]
    now = context.jobs.loop.run(context.jobs.now)
    for worker in owner.fleet.workers.values():
        assert worker.quarantined_until <= now, worker.entry.id


@then('the permit service was called {count:d} times at most')
def check_calls(context, count):
    assert len(context.jobs.permit_service.calls) <= count, (
        context.jobs.permit_service.calls
    )


@then(
    'the next pace after {pace:d} with a tail of {tail:g} ms '
    'and a target of 100 ms is {wanted:d}'
)
def check_pace(context, pace, tail, wanted):
    del context
    reading = ServingReading(tail_ms=tail, target_ms=100)
    assert next_pace(pace, [reading]) == wanted


def _scheduling_key(*, priority, slack, name):
    queue = make_queue('q', priority=priority)
    step = make_step(1)
    job = Job(
        id=JobId(name),
        queue=QueueName('q'),
        pool=POOL,
        payload='',
        steps=(step,),
        accepted_at_s=0,
    )
    registry = JobRegistry()
    entry = registry.admit(job=job, queue=queue, now=0.0)
    registry.open_due_steps(entry, now=0.0, wall_s=0.0)
    entry.arrived_at += slack - latest_start(entry, entry.steps[0, 0], count=1)
    return ready_step(entry, entry.steps[0, 0]).scheduling_key(0.0)


@then('a batch job that must start in 1 second goes before one with 9')
def check_soonest(context):
    context.soon = _scheduling_key(priority=2, slack=1.0, name='a' * 16)
    context.late = _scheduling_key(priority=1, slack=9.0, name='b' * 16)
    assert context.soon < context.late


@then('an urgent job goes before both')
def check_urgent(context):
    assert _scheduling_key(priority=0, slack=20.0, name='c' * 16) < context.soon


@then('a job that can no longer end in time goes last')
def check_last(context):
    assert _scheduling_key(priority=1, slack=-0.1, name='d' * 16) > context.late
