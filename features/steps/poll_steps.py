"""Steps about polls of workers."""

from behave import given, then, when

from features.harness.jobworld import make_step


def _recent(context, seconds):
    world = context.jobs
    since = world.loop.run(world.now) - seconds
    return [poll.at for poll in world.workers.polls if poll.at >= since]


@given('the first worker leaves its starts unanswered')
def leave_starts_unanswered(context):
    first = next(iter(context.jobs.workers.workers.values()))
    first.delayed_starts = 3


@then('the last second had {count:d} polls at most')
def check_count(context, count):
    found = len(_recent(context, 1.0))
    assert 0 < found <= count, found


@then('no {span:g} seconds of the last second had over {count:d} polls')
def check_spread(context, span, count):
    times = _recent(context, 1.0)
    most = max(
        sum(start <= other < start + span for other in times) for start in times
    )
    assert most <= count, most


@then('{count:d} first polls at most were in progress at the same time')
def check_first_polls(context, count):
    in_progress = [
        poll.in_progress
        for poll in context.jobs.workers.polls
        if poll.wait_s == 0
    ]
    assert len(in_progress) >= 2 * len(context.jobs.workers.workers)
    assert max(in_progress) <= count, max(in_progress)


@when('a job that only the first worker may run is submitted')
def submit_for_first(context):
    world = context.jobs
    world.permit_service.permitted[world.next_job] = {
        next(iter(world.workers.workers))
    }
    context.job = world.submit(make_step())[0]
