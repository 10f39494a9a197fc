"""Steps about what rounds cost, counted in calls and not in time."""

import logging
import re
import sys

from behave import given, step, then, when

from cyclamentrack.jobs.capacity_index import CapacityIndex
from cyclamentrack.jobs.layout import with_room
from cyclamentrack.jobs.model import JobState
from cyclamentrack.jobs.registry import Phase, placements
from features.harness.asgi import call_app
from features.harness.fullpool import FullPool
from features.harness.jobworld import POOL, make_step


class _Calls:
    """Counts calls of Python functions while it is entered."""

    def __init__(self):
        self.count = 0

    def __enter__(self):
        sys.setprofile(self._note)
        return self

    def __exit__(self, *error):
        sys.setprofile(None)

    def _note(self, frame, event, argument):
        del frame, argument
        self.count += event == 'call'


def _count(pool, rounds):
    """Return the calls and the waiting steps of some rounds."""
    calls = _Calls()
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


@then('the larger one makes {times:g} times the calls at most')
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


@when('a round may start nothing')
def bar_starts(context):
    pool = context.pools[0]
    context.fresh = {
        name
        for name in pool.registry.open_steps
        if not pool.permits.of(name).none_fresh(pool.now)
    }
    assert context.fresh
    pool.most_starts = 0
    pool.play(1)


@then('no step with fresh permits wishes for others')
def check_wished(context):
    again = context.fresh.intersection(context.pools[0].wished)
    assert not again, again


@then('the index of free rooms finds the same workers as a search')
def check_index(context):
    pool = context.pools[0]
    workers = list(pool.fleet.workers.values())
    index = CapacityIndex(workers)
    placed = 0
    for run in pool.registry.open_steps.values():
        found = index.with_room(run.step)
        assert found == with_room(run.step, workers), run.name
        if found:
            placed += 1
            task = run.tasks[0]
            found[0].take(task=task.name, run=task.run + 1, step=run.step)
            index.shrink(found[0])
    assert placed


@given(
    'a free pool of {workers:d} workers and {jobs:d} jobs '
    'whose permits are asked for'
)
def make_free_pool(context, workers, jobs):
    pool = FullPool(workers=workers, jobs=jobs)
    for name in pool.registry.open_steps:
        pool.permits.of(name).asking = True
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


@when('jobs of {count:d} tasks come for {seconds:g} seconds')
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


@then('rounds took a quarter of that time at most')
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


@then('at most {most:d} starts were under way at a time')
def check_starts(context, most):
    assert 0 < max(context.under_way) <= most, max(context.under_way)


@then('at least {least:d} starts were under way at a time')
def check_more_starts(context, least):
    assert max(context.under_way) >= least, max(context.under_way)


@when('rounds take no time for {seconds:g} seconds')
def quicken_rounds(context, seconds):
    context.jobs.clock_reading_s = 0.0
    context.jobs.loop.sleep(seconds)


@when('the first {count:d} workers fall silent')
def silence_first(context, count):
    for worker in list(context.jobs.workers.workers.values())[:count]:
        worker.unreachable = True


@then('{least:d} tasks have begun')
def check_begun(context, least):
    starts = context.jobs.workers.starts
    assert len(starts) >= least, len(starts)


class _Lines(logging.Handler):
    """Keeps the messages of all records."""

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


@then('the metrics show a lag of the loop of {seconds:g} seconds at least')
def check_lag(context, seconds):
    reply = context.jobs.loop.run(
        call_app, context.frontend.readiness, 'GET', '/metrics'
    )
    text = reply.body.decode()
    found = re.search(r'cyclamentrack_loop_lag_seconds ([\d.]+)', text)
    assert found, text
    # The clock of the test adds up fractions, so its sums are rounded.
    assert round(float(found[1]), 6) >= seconds, found[1]
    assert 'cyclamentrack_round_seconds' in text, text
