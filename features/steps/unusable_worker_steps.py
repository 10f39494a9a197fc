"""Steps about workers whose calls end with an unexpected error."""

from behave import given, then, when

from features.harness.jobworld import POOL

_UNUSABLE = 70


def _token(context):
    world = context.jobs
    owners = world.cells[world.owner()].owners
    return owners[POOL].claim.token


@given('an entry of a worker whose calls end with an unexpected error')
def add_unusable(context):
    world = context.jobs
    world.add_worker(_UNUSABLE).unusable = True
    context.token = _token(context)
    world.loop.sleep(1)


@when('the calls to the first worker begin to end with an unexpected error')
def make_unusable(context):
    context.token = _token(context)
    context.jobs.workers.workers['w0'].unusable = True


@then('the pool has kept its owner')
def check_owner(context):
    assert _token(context) == context.token
