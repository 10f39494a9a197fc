"""Steps about the cost of scheduling rounds, in function calls, not time."""

import logging
import re

from behave import given, step, then, when

from cyclamentrack.jobs.capacity_index import CapacityIndex
from cyclamentrack.jobs.layout import with_free_capacity
from cyclamentrack.jobs.model import JobState
from cyclamentrack.jobs.registry import Phase, placements
from features.harness.asgi import call_app
from features.harness.calls import CallCounter
from features.harness.fullpool import FullPool
from features.harness.jobworld import POOL, make_step


def _count(pool, rounds):
    """Play rounds and return their calls and waiting steps."""
    calls = CallCounter()
    steps = 0
    for _ in range(rounds):
        pool.advance()
        steps += pool.waiting_steps
        with calls:
            pool.decide()
    return calls.count, steps


@given(
    'full pools of {workers:d} workers with {jobs:d} jobs '
    'and {more_workers:d} workers with {more_jobs:d}'
)
def make_pools(context, workers, jobs, more_workers, more_jobs):
    context.pools = [
        FullPool(workers=workers, jobs=jobs),
        FullPool(workers=more_workers, jobs=more_jobs),
    ]


@when('{rounds:d} rounds of each are counted after {first:d} others')
def count_rounds(context, rounds, first):
    context.counted = []
    for pool in context.pools:
        pool.play(first)
        context.counted.append(_count(pool, rounds))


@then('the larger pool makes {times:g} times the calls at most')
def check_growth(context, times):
    calls, more_calls = (calls for calls, _ in context.counted)
    assert more_calls <= times * calls, context.counted


@then('each waiting step costs {most:d} calls at most')
def check_calls_a_step(context, most):
    for calls, steps in context.counted:
        assert calls <= most * steps, context.counted


@given('a full pool of {workers:d} workers and {jobs:d} jobs')
def make_pool(context, workers, jobs):
    context.pools = [FullPool(workers=workers, jobs=jobs)]


@when('{rounds:d} rounds are played')
def play_rounds(context, rounds):
    context.pools[0].play(rounds)


@when('a round may start no tasks')
def forbid_starts(context):
    pool = context.pools[0]
    context.fresh = {
        name
        for name in pool.registry.open_steps
        if not pool.permits.of(name).none_fresh(pool.now)
    }
    assert context.fresh
    pool.max_starts = 0
    pool.play(1)


@then('no step with valid permits requests others')
def check_requested(context):
    again = context.fresh.intersection(context.pools[0].requested)
    assert not again, again


@then('the capacity index finds the same workers as a full search')
def check_index(context):
    pool = context.pools[0]
    workers = list(pool.fleet.workers.values())
    index = CapacityIndex(workers)
    placed = 0
    for run in pool.registry.open_steps.values():
        found = index.with_free_capacity(run.step)
        assert found == with_free_capacity(run.step, workers), run.name
        if found:
            placed += 1
            task = run.tasks[0]
            found[0].charge_run(task=task.name, run=task.run + 1, step=run.step)
            index.update(found[0])
    assert placed


@given(
    'an empty pool of {workers:d} workers and {jobs:d} jobs '
    'whose permits are already requested'
)
def make_empty_pool(context, workers, jobs):
    pool = FullPool(workers=workers, jobs=jobs)
    for name in pool.registry.open_steps:
        pool.permits.of(name).calls_pending = 1
    context.pools = [pool]


@when('one round is counted')
def count_round(context):
    context.counted = [_count(context.pools[0], 1)]


@then('it makes {most:d} calls for each job at most')
def check_calls_a_job(context, most):
    check_calls_a_step(context, most)


@step('each round takes {seconds:g} seconds')
def slow_rounds(context, seconds):
    context.jobs.clock_reading_s = seconds
    context.round_s = seconds


@when('jobs of {count:d} tasks are submitted for {seconds:g} seconds')
def play_jobs(context, count, seconds):
    world = context.jobs
    loop_load = world.cells[world.owner()].owners[POOL].loop_load
    first = loop_load.rounds
    began = world.loop.run(world.now)
    while world.loop.run(world.now) < began + seconds:
        world.submit(make_step(count, cores=0.1), work_s=0.05)
        world.loop.sleep(0.05)
    context.rounds = loop_load.rounds - first
    context.spent_s = world.loop.run(world.now) - began


@then('rounds took a quarter of the event loop time at most')
def check_share(context):
    taken_s = context.rounds * context.round_s
    assert context.rounds
    assert taken_s <= (context.spent_s + taken_s) / 4, context.rounds


@when('a job of {count:d} small tasks is submitted and watched to its end')
def watch_starts(context, count):
    world = context.jobs
    job, _ = world.submit(make_step(count, cores=0.1), work_s=0.3)
    registry = world.cells[world.owner()].owners[POOL].registry
    context.under_way = []
    while world.state(job) is not JobState.COMPLETED:
        phases = [one.phase for one in placements(registry)]
        context.under_way.append(phases.count(Phase.STARTING))
        world.loop.sleep(0.001)


@then('at most {most:d} starts were in flight at a time')
def check_starts(context, most):
    assert 0 < max(context.under_way) <= most, max(context.under_way)


@then('at least {least:d} starts were in flight at a time')
def check_more_starts(context, least):
    assert max(context.under_way) >= least, max(context.under_way)


@when('rounds take no time for {seconds:g} seconds')
def reset_round_time(context, seconds):
    context.jobs.clock_reading_s = 0.0
    context.jobs.loop.sleep(seconds)


@when('the first {count:d} workers stop answering')
def stop_first_answering(context, count):
    for worker in list(context.jobs.workers.workers.values())[:count]:
        worker.unreachable = True


@then('{least:d} tasks have started')
def check_start_count(context, least):
    starts = context.jobs.workers.starts
    assert len(starts) >= least, len(starts)


class _Lines(logging.Handler):
    """Collects the messages of all log records."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@when('the log is read for {seconds:g} seconds')
def read_log(context, seconds):
    handler = _Lines()
    logger = logging.getLogger('cyclamentrack')
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)
    disabled = logging.root.manager.disable
    logging.disable(logging.NOTSET)
    context.add_cleanup(logging.disable, disabled)
    context.jobs.loop.sleep(seconds)
    context.lines = handler.lines


@then('it has {least:d} to {most:d} lines "{text}"')
def check_lines(context, least, most, text):
    found = [line for line in context.lines if line.startswith(text)]
    assert least <= len(found) <= most, context.lines


@then('the metrics show an event loop lag of {seconds:g} seconds at least')
def check_lag(context, seconds):
    reply = context.jobs.loop.run(
        call_app, context.frontend.readiness, 'GET', '/metrics'
    )
    text = reply.body.decode()
    found = re.search(r'cyclamentrack_loop_lag_seconds ([\d.]+)', text)
    assert found, text
    # The clock of the test adds up fractions, so the sum is rounded.
    assert round(float(found[1]), 6) >= seconds, found[1]
    assert 'cyclamentrack_round_seconds' in text, text
