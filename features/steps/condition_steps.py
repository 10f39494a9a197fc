"""Steps about workers that a step can't use for various reasons."""

import random

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from cyclamentrack.resources import NO_RESOURCES
from features.fuzz import fuzz_settings
from features.harness.jobworld import make_step
from features.harness.onestep import (
    OneStepPool,
    draw_conditions,
    play_conditions,
    sound_workers,
)

_AT_LIMIT = 'at the limit of the step'
_SUSPECTED = 2


@given(
    'a step of {cores:d} cores a task, lasting {lasting}, '
    'whose permits have expired'
)
def make_waiting_step(context, cores, lasting):
    context.shape = {'cores': cores, 'lasting': lasting == 'yes'}


@given('{workers:d} workers of which the first is {condition}')
def make_workers(context, workers, condition):
    context.names = [condition, *['sound'] * (workers - 1)]


@given('{workers:d} workers, each at the limit of the step')
def make_full_workers(context, workers):
    context.names = [_AT_LIMIT] * workers


@given(
    '{workers:d} workers, one of which has an overdue run and the others '
    'are full'
)
def make_overdue(context, workers):
    context.pool = OneStepPool(
        workers=workers, step=make_step(1, **context.shape)
    )
    context.pool.run_overdue(0)
    for number in range(1, workers):
        context.pool.fill(number)


@given(
    '{workers:d} workers and a step of {count:d} tasks without needs, '
    'one of them suspected'
)
def make_suspected(context, workers, count):
    step = make_step(count, max_per_worker=1, **context.shape)
    step = msgspec.structs.replace(step, need=NO_RESOURCES)
    context.pool = OneStepPool(workers=workers, step=step)
    context.pool.step.tasks[0].suspicion = _SUSPECTED


@when('{seconds:d} seconds are played by the step alone')
def play_alone(context, seconds):
    context.pool.play(seconds * 10)


@then('no worker has more than one task of the step')
def check_limit(context):
    placed = [one.worker for one in context.pool.step.placed]
    assert len(placed) == len(set(placed)) == 2, placed


@given('{seconds:d} seconds have been played')
@when('{seconds:d} more seconds are played')
def play_on(context, seconds):
    context.pool.play(seconds * 10)


@when('the runs on the last worker end')
def end_runs(context):
    assert not context.pool.placed
    context.pool.release(-1)


@then('a waiting task is placed on the last worker')
def check_on_last(context):
    last = context.pool.worker_list[-1].entry.id
    assert [one.worker for one in context.pool.step.placed] == [last]


@when('{seconds:d} seconds are played')
def play(context, seconds):
    step = make_step(
        context.names.count(_AT_LIMIT) + 1, max_per_worker=1, **context.shape
    )
    context.pool = play_conditions(context.names, step=step, seconds=seconds)


@then('a waiting task is placed on a sound worker')
def check_placed(context):
    _check_placed(context.pool, context.names)


@then('no permits were requested')
def check_no_requests(context):
    assert not context.pool.log, context.pool.log


@then(
    'in {pools:d} random pools a waiting task is placed within '
    '{seconds:d} seconds'
)
def check_random_pools(context, pools, seconds):
    del context

    @fuzz_settings(pools, derandomize=True)
    @for_all(st.integers(min_value=0, max_value=2**32))
    def check(seed: int) -> None:
        names, step = draw_conditions(random.Random(seed))
        _check_placed(play_conditions(names, step=step, seconds=seconds), names)

    check()


def _check_placed(pool: OneStepPool, names: list[str]) -> None:
    assert pool.placed, (names, pool.step.step, pool.log[-3:])
    last = [task.placement.worker for task in pool.step.tasks if task.placement]
    assert set(last) & sound_workers(names), (names, last)
