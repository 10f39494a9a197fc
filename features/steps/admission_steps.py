"""Steps about admission control."""

from collections import Counter

import msgspec
from behave import given, step, then, when

from cyclamentrack.codec import decode, encode
from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.admission import (
    PoolFigures,
    QueueWaits,
    refusal,
    retry_after_s,
)
from cyclamentrack.jobs.backlog import Backlog
from cyclamentrack.jobs.model import Job, JobId
from cyclamentrack.jobs.records import Lease
from cyclamentrack.jobs.registry import JobRegistry
from cyclamentrack.resources import Resources
from features.harness.jobworld import POOL, make_queue, make_step
from features.harness.uneven import UnevenDay, value

_WHOLE = Resources(milli_cores=99_000, memory_mib=99_000)
_FAR_BEYOND = AccountName('flood')
_IDS = 1000
# The objective of these jobs is 3 s: a critical path of 1 s, and 2 s besides.
_QUEUE = msgspec.structs.replace(
    make_queue('lookups'), target_s=2.0, stretch=1.0, permits=None
)


def _job(number=0, *, account='', **changes):
    fields = {'terms': _QUEUE, 'steps': (make_step(1),), **changes}
    return Job(
        id=JobId(f'{number:016x}'),
        queue=_QUEUE.name,
        pool=POOL,
        payload='',
        accepted_at_s=0,
        account=AccountName(account),
        **fields,
    )


def make_figures(wait_s, *, share=1.0, **changes):
    waits = QueueWaits(_QUEUE.name, wait_s, wait_s, share)
    fields = {'overloaded': True, 'far_beyond': (_FAR_BEYOND,), **changes}
    return PoolFigures(capacity=_WHOLE, waits=(waits,), **fields)


def _is_any(request):
    return bool(request)


def _accepted(context, account):
    accepted = sum(
        refusal(_job(number, account=account), context.figures) is None
        for number in range(_IDS)
    )
    return accepted / _IDS


@when('the day is played with and without admission control')
def play_both(context):
    load = context.load
    context.days = [
        UnevenDay(load, weight=load.weight, admission=admission)
        for admission in (True, False)
    ]
    for day in context.days:
        day.play_day()


@when('the day is played without accounts')
def play_without_accounts(context):
    context.day = UnevenDay(context.load, admission=True)
    context.day.play_day()


@then('no job is refused')
def check_none_refused(context):
    assert not context.day.refusals, context.day.refusals


@then(
    '{times:g} times as many jobs as without are accepted and end worthless, '
    'at most'
)
def check_worthless(context, times):
    found, without = (
        day.verdicts(_is_any)['worthless'] for day in context.days
    )
    assert found <= times * without, (found, without)


@then('the other accounts get at least {times:g} times what they get without')
def check_usual_accounts(context, times):
    found, without = (
        value(day.verdicts(day.sends_usual)) for day in context.days
    )
    assert found >= times * without, (found, without)


@given('an overloaded pool in which new jobs wait {wait_s:g} seconds')
def make_overloaded(context, wait_s):
    context.figures = make_figures(wait_s)


@given(
    'an overloaded pool that accepts {share:g} of the jobs of accounts far '
    'beyond their rate'
)
def make_shared(context, share):
    context.figures = make_figures(0, share=share)


@given('an overloaded pool whose backlog takes {clear_s:g} seconds')
def make_backlog(context, clear_s):
    context.figures = make_figures(0, clear_s=clear_s)


@then('a job worth something for 9 seconds is {answer}')
def check_answer(context, answer):
    refused = refusal(_job(), context.figures) is not None
    assert refused is (answer == 'refused')


@then("nothing is refused without figures, or in a pool that isn't overloaded")
def check_missing(context):
    assert refusal(_job(), context.figures) is not None
    assert refusal(_job(), None) is None
    calm = msgspec.structs.replace(context.figures, overloaded=False)
    assert refusal(_job(), calm) is None


@then(
    'lasting jobs, jobs with due times and jobs of earlier versions are '
    'accepted'
)
def check_without_objective(context):
    for job in (
        _job(steps=(make_step(1, lasting=True),)),
        _job(repeat=2),
        _job(terms=None),
    ):
        assert refusal(job, context.figures) is None, job


@then('it accepts {least:g} to {most:g} of the jobs of such an account')
def check_share(context, least, most):
    assert least <= _accepted(context, _FAR_BEYOND) <= most


@then('it accepts all jobs of another account')
def check_other(context):
    assert _accepted(context, 'other') == 1


@then(
    'refused callers come back after {least:d} to {most:d} whole seconds, '
    'spread evenly'
)
def check_again(context, least, most):
    found = Counter(
        retry_after_s(_job(number).id, context.figures)
        for number in range(_IDS)
    )
    wanted = range(least, most + 1)
    assert set(found) == set(wanted), found
    assert min(found.values()) > _IDS / len(wanted) / 2, found


@then('without figures they come back after a second')
def check_again_unknown(context):
    del context
    assert retry_after_s(_job().id, None) == 1


@then('a lease without figures is read, and its pool refuses nothing')
def check_old_lease(context):
    del context
    lease = Lease(node='n', claim='c', address='a', number=1)
    found = decode(encode(lease), Lease)
    assert found.figures is None
    assert refusal(_job(), found.figures) is None


@then(
    'the figures of {queues:d} queues and {accounts:d} accounts take '
    '{most:d} bytes at most'
)
def check_size(context, queues, accounts, most):
    del context
    figures = msgspec.structs.replace(
        make_figures(12.34, share=0.123),
        waits=make_figures(12.34, share=0.123).waits * queues,
        far_beyond=tuple(f'account-{one}' for one in range(accounts)),
    )
    assert len(encode(figures)) <= most, len(encode(figures))


@step('no account is far beyond its rate at {at_s:g} seconds')
def check_none_beyond(context, at_s):
    assert context.rates.far_beyond(at_s) == ()


@step('account "{name}" is far beyond its rate at {at_s:g} seconds')
def check_beyond(context, name, at_s):
    assert context.rates.far_beyond(at_s) == (name,)


@given(
    'an idle pool in which a job of a thousand tasks waits and small ones start'
)
def make_idle_pool(context):
    registry = JobRegistry()
    context.backlog = Backlog(registry=registry)
    job = _job(steps=(make_step(1000),))
    context.entry = registry.admit(job=job, queue=_QUEUE, now=0.0)
    registry.open_due_steps(context.entry, now=0.0, wall_s=0.0)
    context.used = Resources(milli_cores=1000, memory_mib=1000)


@when('its owner measures for {seconds:d} seconds')
def measure(context, seconds):
    for now in range(seconds):
        context.backlog.note_start(context.entry, make_step(1), now)
        # The waiting job must count, so its objective always begins anew.
        context.entry.arrived_at = now
        context.figures = context.backlog.figures(
            now, whole=_WHOLE, used=context.used
        )


@when('half of its capacity and more is in use')
def use_pool(context):
    context.used = Resources(milli_cores=60_000, memory_mib=1000)
    measure(context, 1)


@then("the pool isn't overloaded")
def check_calm(context):
    assert not context.figures.overloaded, context.figures


@then('the pool is overloaded')
def check_overloaded(context):
    assert context.figures.overloaded, context.figures
