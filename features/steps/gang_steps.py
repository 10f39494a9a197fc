"""Steps about gangs that only few workers may run."""

from behave import given, when

from cyclamentrack.jobs.model import JobId
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import make_step


@given('the next job may run on 2 of the first 30 workers and on 3 others')
def permit_few(context):
    job = JobId(f'{len(context.submitted) + 1:016x}')
    names = sorted(context.jobs.workers.workers)
    good = {*names[:2], *names[30:33]}
    context.jobs.permit_service.permitted[job] = good


@when('a gang of {count:d} tasks of a whole worker each is submitted')
def submit_wide_gang(context, count):
    step = make_step(count, gang=True, cores=14)
    context.job = context.jobs.submit(step, queue='gangs', work_s=1.0)[0]
    context.submitted.append(context.job)


@when(
    'a gang of {count:d} tasks is submitted '
    'whose members all fail {times:d} times'
)
def submit_failing_gang(context, count, times):
    step = make_step(count, gang=True, cores=6)
    job, outcome = context.jobs.submit(step, fails=times)
    assert outcome is RequestOutcome.STORED, outcome
    context.job = job
