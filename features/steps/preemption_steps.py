"""Steps about runs that are stopped for urgent work."""

from behave import given, step, then, when

from cyclamentrack.jobs.model import JobState
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, JobWorld, make_queue, make_step

_WORK_S = 4.5
_TASKS = 32
_CASES = {
    'while capacity is free': {'count': 16},
    'whose batch work stores no checkpoints': {'checkpointing': False},
    'whose batch jobs have no time to spare': {'stretch': 1.0},
    'whose batch work is a gang': {'gang': True, 'count': 16, 'cores': 8.0},
    'while urgent jobs are beyond their rate': {'within_rate': False},
}
# The stand-in workers run a resumed task from its start, so that a burst and
# two resumptions take this long.
_END_S = 60


def _owner(context):
    world = context.jobs
    return world.cells[world.owner()].owners[POOL]


def _batch_tasks(context):
    steps = [
        run
        for entry in _owner(context).registry.jobs.values()
        if entry.queue.priority
        for run in entry.steps.values()
    ]
    return [task for run in steps for task in run.tasks]


def _fill(
    context,
    workers,
    *,
    count=_TASKS,
    cores=4.0,
    checkpointing=True,
    gang=False,
    stretch=4.0,
    within_rate=True,
):
    world = JobWorld()
    context.jobs = world
    context.add_cleanup(world.close)
    world.configure(
        make_queue('lookups', permits=0.02),
        make_queue('batch', priority=2, stretch=stretch),
    )
    for number in range(workers):
        world.add_worker(number)
    for name in ('n0', 'n1'):
        world.start_node(name)
    world.loop.sleep(3)
    if not within_rate:
        _owner(context).account_rates.admit = lambda *names, **times: False
    batch = make_step(
        count,
        cores=cores,
        estimate=_WORK_S,
        checkpointing=checkpointing,
        gang=gang,
    )
    job, outcome = world.submit(batch, queue='batch', work_s=_WORK_S)
    context.batch = job
    assert outcome is RequestOutcome.STORED, outcome
    context.urgent = []
    world.loop.sleep(1.0)
    placed = sum(task.placement is not None for task in _batch_tasks(context))
    assert placed >= min(count, _TASKS * 3 // 4), placed


@given('a pool of {workers:d} workers that checkpointing batch work fills')
def fill_pool(context, workers):
    _fill(context, workers)


@given('a pool of {workers:d} workers, {case}')
def fill_pool_for_case(context, workers, case):
    _fill(context, workers, **_CASES[case])


@given('workers ignore stops')
def ignore_stops(context):
    for worker in context.jobs.workers.workers.values():
        worker.stop = lambda *order: None


@when('{jobs:d} urgent jobs of {tasks:d} short tasks arrive')
def submit_urgent(context, jobs, tasks):
    for _ in range(jobs):
        urgent = make_step(tasks, cores=2.0, estimate=0.5)
        job, _ = context.jobs.submit(urgent, work_s=0.5)
        context.urgent.append(job)
    context.urgent_tasks = jobs * tasks


@when(
    '{jobs:d} urgent jobs of {tasks:d} short tasks arrive each second '
    'for {seconds:d} seconds'
)
def submit_often(context, jobs, tasks, seconds):
    context.preempted = {}
    for _ in range(seconds):
        submit_urgent(context, jobs, tasks)
        context.jobs.loop.sleep(1.0)
        for task in _batch_tasks(context):
            times = context.preempted.setdefault(task.name, set())
            if task.preempted:
                times.add(task.preempted_at)


@when('the owner is killed once it has preempted')
def kill_after_preemption(context):
    world = context.jobs
    for _ in range(200):
        if any(task.preempted for task in _batch_tasks(context)):
            break
        world.loop.sleep(0.01)
    world.loop.sleep(0.05)
    world.kill_node(world.owner())


@step('the urgent jobs are completed')
def check_urgent(context):
    states = [context.jobs.state(job) for job in context.urgent]
    assert set(states) == {JobState.COMPLETED}, states


@then('some batch runs were preempted, each once')
def check_once(context):
    times = {task.preempted for task in _batch_tasks(context)}
    assert times == {0, 1}, times


@then('no batch run was preempted')
def check_none(context):
    assert not any(task.preempted for task in _batch_tasks(context))


@then('at most half as many runs were preempted as there are urgent tasks')
def check_few(context):
    preempted = sum(task.preempted for task in _batch_tasks(context))
    assert 0 < preempted <= context.urgent_tasks // 2, preempted


@then('no batch task was preempted more than twice or twice in 5 seconds')
def check_alternation(context):
    assert any(context.preempted.values())
    for name, times in context.preempted.items():
        assert len(times) <= 2, (name, times)
        assert max(times, default=5) - min(times, default=0) >= 5 or (
            len(times) == 1
        ), (name, times)


@then('the new owner knows that runs were preempted')
def check_restored(context):
    assert any(task.preempted for task in _batch_tasks(context))


@then('all batch jobs complete with no failure counted')
def check_batch(context):
    world = context.jobs
    for _ in range(_END_S):
        assert not any(task.failures for task in _batch_tasks(context))
        if world.state(context.batch) is JobState.COMPLETED:
            break
        world.loop.sleep(1.0)
    assert world.state(context.batch) is JobState.COMPLETED
    assert not world.workers.violations, world.workers.violations
