"""Steps about admission control at the nodes of a cell."""

from behave import given, then, when

from features.harness.jobworld import POOL
from features.steps.admission_steps import make_figures


def _overloaded_figures(pool, *, now):
    del pool, now
    return make_figures(99.0, clear_s=3.0)


@given('every node has read that the pool is overloaded')
def overload(context):
    for cell in context.jobs.cells.values():
        cell.lease_tracker.figures = _overloaded_figures


@then('the caller is told to come back after {least:d} to {most:d} seconds')
def check_retry_after(context, least, most):
    text = context.reply.headers['retry-after']
    assert least <= int(text) <= most, text


@then('every node reads figures of the pool that are not older than 2 seconds')
def check_published(context):
    world = context.jobs
    for cell in world.cells.values():
        found = cell.lease_tracker.figures(POOL, now=world.loop.run(world.now))
        assert found is not None
        assert found.capacity.milli_cores > 0, found
        assert not found.overloaded, found


@then('no node has figures of the pool')
def check_unpublished(context):
    world = context.jobs
    for cell in world.cells.values():
        now = world.loop.run(world.now)
        assert cell.lease_tracker.figures(POOL, now=now) is None


@when('the owner has published nothing for {seconds:g} seconds')
def let_figures_age(context, seconds):
    for cell in context.jobs.cells.values():
        for seen in cell.lease_tracker.seen.values():
            seen.written_after -= seconds
