"""Steps about the decision which runs may have crashed a worker."""

from behave import given, then, when

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.crashes import (
    CrashedRun,
    is_hopeless,
    is_suspected,
    suspect,
)
from cyclamentrack.jobs.model import JobId, TaskName
from cyclamentrack.jobs.registry import Phase, Placement, TaskRun

_OTHER_JOB = '00000000000000bb'


@given('a crashed worker that last answered at {seconds:g} seconds')
def begin_crash(context, seconds):
    context.heard_at = seconds
    context.watched = True
    context.closed = True
    context.runs = []


@given('a worker without power that last answered at {seconds:g} seconds')
def begin_silent_loss(context, seconds):
    context.heard_at = seconds
    context.watched = True
    context.closed = False
    context.runs = []


@given(
    'a crashed worker that last answered at {seconds:g} seconds, then unwatched'
)
def begin_unwatched_loss(context, seconds):
    context.heard_at = seconds
    context.watched = False
    context.closed = False
    context.runs = []


@given('a crashed worker that never answered its owner')
def begin_unknown_crash(context):
    context.heard_at = None
    context.watched = False
    context.closed = False
    context.runs = []


def _add_run(
    context,
    confirmed,
    *,
    isolated=False,
    suspicion=0,
    job='00000000000000aa',
    since=99.0,
    sent=True,
    closed=False,
):
    name = TaskName(JobId(job), 0, 0, len(context.runs))
    crashes = suspicion // 2
    run = CrashedRun(
        task=TaskRun(name=name, suspicion=suspicion, crashes=crashes),
        placement=Placement(
            task=name,
            run=1,
            worker=WorkerId('w'),
            incarnation=1,
            phase=Phase.RUNNING if confirmed else Phase.STARTING,
            since=since,
            confirmed_at=confirmed,
            sent=sent,
            connection_lost=closed or (context.closed and not confirmed),
        ),
        isolated=isolated,
    )
    context.runs.append(run)


@given('a run on it that was confirmed at {confirmed:g} seconds')
def add_run(context, confirmed):
    _add_run(context, confirmed)


@given('an isolated run on it that was confirmed at {confirmed:g} seconds')
def add_isolated_run(context, confirmed):
    _add_run(context, confirmed, isolated=True)


@given(
    'a run on it that was confirmed at {confirmed:g} seconds '
    'of a task with suspicion {suspicion:d}'
)
def add_suspected_run(context, confirmed, suspicion):
    _add_run(context, confirmed, suspicion=suspicion)


@given('a run on it whose worker closed its connection to a former owner')
def add_recorded_run(context):
    _add_run(context, 0, closed=True)


@given('a run on it that was never sent')
def add_unsent_run(context):
    _add_run(context, 0, sent=False)


@given(
    'a run on it of another job that was placed at {since:g} seconds, '
    'unanswered'
)
def add_newcomer(context, since):
    _add_run(context, 0, job=_OTHER_JOB, since=since)


@given('a run on it of another job with suspicion {suspicion:d}, unanswered')
def add_other_job(context, suspicion):
    _add_run(context, 0, job=_OTHER_JOB, suspicion=suspicion)


@when('the crash is put down to its runs')
def put_down(context):
    context.given_up = suspect(
        context.runs, heard_at=context.heard_at, watched=context.watched
    )
    context.task = context.runs[0].task


@when('the crash is put down to its runs {times:d} times')
def put_down_often(context, times):
    for _ in range(times):
        put_down(context)


@then('no task is given up')
def check_none_given_up(context):
    assert not context.given_up, context.given_up


@then('the first task is given up')
def check_first_given_up(context):
    assert context.given_up == [context.runs[0].task], context.given_up


@then('its task has suspicion {suspicion:d} and {crashes:d} crashes')
def check_task(context, suspicion, crashes):
    task = context.runs[0].task
    assert (task.suspicion, task.crashes) == (suspicion, crashes), task


@then('these are the suspicions: "{text}"')
def check_suspicions(context, text):
    found = [run.task.suspicion for run in context.runs]
    assert found == [int(one) for one in text.split(', ')], found


@given('a task with suspicion {suspicion:d} after {crashes:d} crashes')
def make_task(context, suspicion, crashes):
    name = TaskName(JobId('00000000000000aa'), 0, 0, 0)
    context.task = TaskRun(name=name, suspicion=suspicion, crashes=crashes)


@then('it is {verdict}')
def check_verdict(context, verdict):
    expected = {
        'trusted': (False, False),
        'isolated': (True, False),
        'given up': (True, True),
    }[verdict]
    found = (is_suspected(context.task), is_hopeless(context.task))
    assert found == expected, found
