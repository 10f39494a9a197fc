"""Steps about starts that workers refuse."""

import msgspec
from behave import given, then, when

from cyclamentrack.ids import WorkerId


@given('tasks that every worker refuses')
def refuse_everywhere(context):
    names = frozenset(context.jobs.workers.workers)
    context.jobs.task_defaults = {'refused_by': names}


@given('tasks that the first worker refuses')
def refuse_once(context):
    names = frozenset((WorkerId('w0'),))
    context.jobs.task_defaults = {'refused_by': names}


@when('refused starts are counted for {seconds:g} seconds')
def count_refused(context, seconds):
    context.jobs.workers.refused_starts.clear()
    context.jobs.loop.sleep(seconds)


@when('no worker refuses its tasks any more')
def accept_again(context):
    behaviours = context.jobs.workers.behaviours
    for name, behaviour in behaviours.items():
        behaviours[name] = msgspec.structs.replace(
            behaviour, refused_by=frozenset()
        )


@then('{count:d} starts at most were refused')
def check_refused(context, count):
    refused = context.jobs.workers.refused_starts
    assert 0 < len(refused) <= count, len(refused)
