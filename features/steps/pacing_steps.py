"""Steps about best-effort tasks that share a worker with serving tasks."""

from behave import given, then, when

from features.harness.jobworld import POOL, make_step
from features.steps.job_steps import start_cell

_TARGET_MS = 100.0
_NEAR_MS = 90.0
_BELOW_MS = 70.0
_WORK_S = 100.0


@given('a best-effort task beside a serving task')
def start_tasks(context):
    start_cell(context, 1, 1)
    world = context.jobs
    best_effort = make_step(1, fills=True, estimate=_WORK_S)
    context.job = world.submit(best_effort, work_s=_WORK_S)[0]
    world.loop.sleep(1)
    serving = make_step(1, lasting=True, serving_target_ms=_TARGET_MS)
    context.serving = world.submit(serving)[0]
    world.workers.readings[context.serving] = _BELOW_MS
    world.loop.sleep(3)
    assert _placement(context).pace == 100


@given('the next {count:d} orders to pace a task are lost')
def lose_paces(context, count):
    context.jobs.workers.lost_paces = count


@when('the serving task gets near its target and stays below it')
def slow_down(context):
    world = context.jobs
    world.workers.readings[context.serving] = _NEAR_MS
    while _placement(context).pace == 100:
        world.loop.sleep(0.01)
    world.workers.readings[context.serving] = _BELOW_MS


@when('the serving task stays near its target for {seconds:g} seconds')
def stay_near(context, seconds):
    world = context.jobs
    world.workers.readings[context.serving] = _NEAR_MS
    world.loop.sleep(seconds)
    world.workers.readings[context.serving] = _BELOW_MS


@when('the best-effort job is cancelled')
def cancel(context):
    context.jobs.cancel(context.job)


@then('the best-effort task has the pace that its owner wants')
def check_pace(context):
    wanted = _placement(context).pace
    worker = next(iter(context.jobs.workers.workers.values()))
    paces = [
        run.percent
        for (task, _), run in worker.runs.items()
        if task.job == context.job
    ]
    assert wanted < 100
    assert paces == [wanted], (paces, wanted)


@then('{count:d} orders to pace a task were sent')
def check_count(context, count):
    assert context.jobs.workers.paces == count, context.jobs.workers.paces


@then('no order to pace a task is sent within {seconds:g} seconds')
def check_void(context, seconds):
    before = context.jobs.workers.paces
    assert before > 0
    context.jobs.loop.sleep(seconds)
    assert context.jobs.workers.paces == before, context.jobs.workers.paces


def _placement(context):
    world = context.jobs
    owner = world.cells[world.owner()].owners[POOL]
    entry = owner.registry.jobs[context.job]
    return next(iter(entry.placed))
