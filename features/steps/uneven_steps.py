"""Steps about accounts that send much more than usual."""

from behave import given, step, then, when

from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.fair_share import AccountRates
from cyclamentrack.jobs.model import Job, JobId
from cyclamentrack.jobs.order import latest_start, ready_step
from cyclamentrack.jobs.registry import JobRegistry
from features.harness.calls import CallCounter
from features.harness.jobworld import POOL, make_queue, make_step
from features.harness.uneven import UnevenDay, UnevenLoad, value

_HOUR_S = 3600.0


def _key(priority, slack, *, within=True, share=0.0, lasting=False):
    """Return the key of a step that must start ``slack`` seconds from now."""
    queue = make_queue('q', priority=priority)
    job = Job(
        id=JobId('a' * 16),
        queue=queue.name,
        pool=POOL,
        payload='',
        steps=(make_step(1, lasting=lasting),),
        accepted_at_s=0,
    )
    registry = JobRegistry()
    entry = registry.admit(job=job, queue=queue, now=0.0)
    registry.open_due_steps(entry, now=0.0, wall_s=0.0)
    entry.within_rate = within
    entry.arrived_at += slack - latest_start(entry, entry.steps[0, 0], count=1)
    return ready_step(entry, entry.steps[0, 0]).scheduling_key(0.0, share=share)


@given(
    'a quarter of the usual pool and a day on which {bursting:d} of '
    '{accounts:d} accounts send {times:g} times their usual'
)
def make_day(context, bursting, accounts, times):
    load = UnevenLoad(
        scale=0.25, accounts=accounts, bursting=bursting, times=times
    )
    context.load = load
    context.day = UnevenDay(load, weight=load.weight)


@when('the day is played')
def play_day(context):
    context.day.play_day()


@then('the other accounts get at least {least:g} of what they wanted')
def check_usual(context, least):
    found = context.day.verdicts(context.day.sends_usual)
    assert value(found) >= least, found


@then('the worst served account that sent its usual gets at least {least:g}')
def check_worst(context, least):
    found = context.day.account_values()[context.load.bursting :]
    assert min(found) >= least, found


@given('an urgent job that is worth nothing any more')
def make_worthless(context):
    context.worthless = _key(0, -_HOUR_S)


@step(
    "a batch job that is late, and a batch job that is beyond its account's "
    'rate'
)
def make_others(context):
    context.others = [_key(2, -0.1), _key(2, 9.0, within=False, share=9.0)]


@then('the worthless one comes last of them')
def check_worthless(context):
    assert context.worthless > max(context.others)


@given('an urgent lasting task that has waited for an hour')
def make_lasting(context):
    context.lasting = _key(0, -_HOUR_S, lasting=True)


@then('it comes before a batch job in time')
def check_lasting(context):
    assert context.lasting < _key(2, 9.0)


@given("two urgent jobs in time, the sooner one beyond its account's rate")
def make_two(context):
    context.beyond = _key(0, 1.0, within=False)
    context.within = _key(0, 2.0)


@then('the one within the rate comes first')
def check_within(context):
    assert context.within < context.beyond


@then('of two beyond the rate the one whose account runs less comes first')
def check_share(context):
    more = _key(0, 0.5, within=False, share=0.2)
    assert context.beyond < more


@given(
    'rates of accounts "{name}" of weight {weight:g} and "{other}" of weight '
    '{other_weight:g}'
)
def make_rates(context, name, weight, other, other_weight):
    weights = {name: weight, other: other_weight}
    context.rates = AccountRates(weight=weights.get)


@when('account "" sends {count:d} jobs at {at_s:g} seconds')
def send_without_account(context, count, at_s):
    send_jobs(context, '', count, at_s)


@when('account "{name}" sends {count:d} jobs at {at_s:g} seconds')
def send_jobs(context, name, count, at_s):
    context.within = sum(
        context.rates.admit(AccountName(name), arrived_at=at_s)
        for _ in range(count)
    )


@then('{count:d} of them are within its rate')
def check_count(context, count):
    assert context.within == count, context.within


@given('days of {accounts:d} and of {more:d} accounts')
def make_days(context, accounts, more):
    loads = (
        UnevenLoad(accounts=accounts, bursting=accounts // 5),
        UnevenLoad(accounts=more, bursting=more // 5),
    )
    context.days = [UnevenDay(load, weight=load.weight) for load in loads]


@when('rounds of both are counted from second {since:g} to {until:g}')
def count_rounds(context, since, until):
    context.calls_a_step = []
    for day in context.days:
        while day.at_s < since:
            day.advance()
            day.decide()
        steps = 0
        calls = CallCounter()
        while day.at_s < until:
            day.advance()
            steps += day.waiting_steps
            with calls:
                day.decide()
        assert any(not one.within_rate for one in day.registry.jobs.values())
        context.calls_a_step.append(calls.count / steps)


@then(
    'those with more accounts make {times:g} times the calls a waiting step '
    'at most'
)
def check_flat(context, times):
    fewer, more = context.calls_a_step
    assert more <= times * fewer, context.calls_a_step
