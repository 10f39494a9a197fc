"""Steps about looks at workers."""

from behave import given, then, when

from features.harness.jobworld import make_step


def _recent(context, seconds):
    world = context.jobs
    since = world.loop.run(world.now) - seconds
    return [look.at for look in world.workers.polls if look.at >= since]


@given('the first worker leaves its starts unanswered')
def leave_starts_unanswered(context):
    first = next(iter(context.jobs.workers.workers.values()))
    first.delayed_starts = 3


@then('the looks of the last second were {count:d} at most')
def check_count(context, count):
    found = len(_recent(context, 1.0))
    assert 0 < found <= count, found


@then('no {span:g} seconds of the last second saw over {count:d} looks')
def check_spread(context, span, count):
    times = _recent(context, 1.0)
    most = max(
        sum(start <= other < start + span for other in times) for start in times
    )
    assert most <= count, most


@then('{count:d} first looks at most were under way together')
def check_greetings(context, count):
    together = [
        look.in_progress
        for look in context.jobs.workers.polls
        if look.wait_s == 0
    ]
    assert len(together) >= 2 * len(context.jobs.workers.workers)
    assert max(together) <= count, max(together)


@when('a job that only the first worker may run is submitted')
def submit_for_first(context):
    world = context.jobs
    world.permit_service.permitted[world.next_job] = {
        next(iter(world.workers.workers))
    }
    context.job = world.submit(make_step())[0]
