"""Steps about the terms of jobs whose queue is not configured."""

from behave import given, then, when

from features.harness.jobworld import make_queue

_APPLIED_S = 1.0


@given('tasks that need permits')
def need_permits(context):
    context.jobs.task_defaults = {'needs_permit': True}


@given('tasks that fail {times:d} times after {after:g} seconds')
def fail_late(context, times, after):
    context.jobs.task_defaults = {'fails': times, 'fails_after_s': after}


@given('jobs are stored as earlier versions did')
def store_without_terms(context):
    context.jobs.stores_terms = False


@given('its queue needs no permits')
def drop_permits(context):
    context.jobs.configure(make_queue('lookups'), make_queue('other'))
    context.jobs.loop.sleep(_APPLIED_S)


@when('its queue is removed')
def remove_queue(context):
    context.jobs.configure(make_queue('other'))
    context.jobs.loop.sleep(_APPLIED_S)


@when('its queue is added again')
def restore_queue(context):
    queue = make_queue('lookups', permits=0.02)
    context.jobs.configure(make_queue('other'), queue)
    context.jobs.loop.sleep(_APPLIED_S)


@then('no start was refused')
def check_none_refused(context):
    refused = context.jobs.workers.refused_starts
    assert not refused, (len(refused), refused[:3])
