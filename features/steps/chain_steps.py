"""Steps about a job's critical path and its objective."""

from behave import then

from cyclamentrack.jobs.critical_path import waves
from features.harness.jobworld import POOL, make_step


@then(
    'a step of {count:d} tasks in a pool with capacity for {capacity:d} '
    'runs in {times:d} waves'
)
def check_waves(context, count, capacity, times):
    del context
    step = make_step(count)
    assert waves(step, count, capacity) == times


@then('the last job has more than {seconds:g} seconds to its due time')
def check_due(context, seconds):
    owner = context.jobs.cells[context.jobs.owner()].owners[POOL]
    entry = owner.registry.jobs[context.job]
    allowed = entry.due_by - entry.arrived_at
    assert allowed > seconds, allowed
