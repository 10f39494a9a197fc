"""Steps that start a cell and submit works."""

from behave import given, then, when

from cyclamentrack.work import Stage
from features.harness.world import make_work

_WAIT_S = 60


@given('a cell with {count:d} workers and the daemons "{names}"')
def start_cell(context, count, names):
    context.world.add_workers(count)
    context.world.start(*names.split(', '))


@given('work "{name}" was submitted')
@when('work "{name}" is submitted')
def submit_work(context, name):
    context.world.submit([make_work(name)])


@then('work "{name}" can still be submitted and succeeds')
def submit_and_succeed(context, name):
    context.world.submit([make_work(name)])
    check_success(context, name)


@then('work "{name}" succeeds')
def check_success(context, name):
    answer = context.world.show(name, _WAIT_S)
    assert answer.view is not None, answer
    assert answer.view.stage is Stage.SUCCEEDED, answer


@then('no worker was asked for more than it has')
def check_overcommits(context):
    assert context.world.cell.recorder.overcommits == 0


@then('no task ran in two places at once')
def check_doubled(context):
    assert context.world.cell.recorder.doubled == []
