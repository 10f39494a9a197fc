"""Steps about callers' requests and the responses to them."""

import json

from behave import given, step, then, when

from cyclamentrack.jobs.model import JobId
from cyclamentrack.jobs.records import cancel_key
from cyclamentrack.metrics import Metrics
from cyclamentrack_platform.front import HttpFrontend
from features.harness.asgi import call_app

_DEPTH = 20_000


@given('an HTTP frontend on its first node')
def start_frontend(context):
    world = context.jobs
    name = next(iter(world.services))
    context.frontend = HttpFrontend(
        cell=world.cells[name],
        service=world.services[name],
        metrics=Metrics(),
    )
    context.stored_jobs = _stored_jobs(context)


def _stored_jobs(context):
    return [key for key in context.jobs.rows.rows if key.table == 'jobs']


def _send(context, method, target, body):
    context.reply = context.jobs.loop.run(
        call_app, context.frontend.callers, method, target, body, 'h'
    )


@when('the connection of a {method} of job "{job}" ends within its body')
def cut_short(context, method, job):
    body = b'{"Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":500}]}'
    messages = [
        {'type': 'http.disconnect'},
        {'type': 'http.request', 'body': body, 'more_body': True},
    ]
    context.sent = []

    async def receive():
        return messages.pop()

    async def send(message):
        context.sent.append(message)

    scope = {
        'type': 'http',
        'method': method,
        'path': f'/lookups/{job}',
        'headers': [(b'host', b'h')],
    }
    context.jobs.loop.run(context.frontend.callers, scope, receive, send)


@then('the caller gets no answer')
def check_no_answer(context):
    assert not context.sent, context.sent


@then('the only job that is stored, and not cancelled, is "{job}"')
def check_only_job(context, job):
    keys = [key.key for key in _stored_jobs(context)]
    assert keys == [job], keys


@step('a caller sends {method} "{target}" with body {body}')
def send(context, method, target, body):
    payload = b'' if body == '-' else body.encode()
    if body == 'deep':
        payload = b'{"Steps":%s' % (b'[' * _DEPTH)
    _send(context, method, target, payload)


@step('a caller submits {size:d} bytes')
def send_large(context, size):
    _send(context, 'POST', '/lookups/00000000000000aa', b' ' * size)


@then('the caller gets status {status:d}')
def check_status(context, status):
    assert context.reply.status == status, (
        context.reply.status,
        context.reply.body,
    )


@then('the metrics count {count:d} answers of "{name}" and their latency')
def check_metrics(context, count, name):
    reply = context.jobs.loop.run(
        call_app, context.frontend.readiness, 'GET', '/metrics'
    )
    text = reply.body.decode()
    assert f'cyclamentrack_answers_{name}_total {count}' in text, text
    assert 'cyclamentrack_latency_seconds{request="get"' in text, text
    assert 'cyclamentrack_slices_owned 1' in text, text


@then('no further job is stored')
def check_stored_jobs(context):
    assert _stored_jobs(context) == context.stored_jobs


@then('only the cancellation of job "{job}" is stored')
def check_cancellation(context, job):
    expected = [*context.stored_jobs, cancel_key(JobId(job))]
    assert _stored_jobs(context) == expected, _stored_jobs(context)


@then('each task of job "{job}" was started once')
def check_once(context, job):
    starts = [
        task for _, task, _, _ in context.jobs.workers.starts if task.job == job
    ]
    assert len(starts) == len(set(starts)) == 2, starts


@then('the caller gets {count:d} as the number of waiting jobs')
def check_count(context, count):
    assert context.reply.json() == {'Waiting': count}


@when('a caller submits a job of {steps:d} steps with images of {size:d} bytes')
def submit_many_steps(context, steps, size):
    step = {'Count': 1, 'Cpu': 100, 'Image': 'i' * size}
    body = json.dumps({'Steps': [step] * steps})
    _send(context, 'POST', '/lookups/00000000000000aa', body.encode())


@then('the answer names "{name}" and "{limit}"')
def check_limit(context, name, limit):
    text = context.reply.body.decode()
    assert name in text, text
    assert limit in text, text
