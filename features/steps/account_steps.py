"""Steps about client accounts and the keys of requests."""

import msgspec
from behave import given, step, then, when

from cyclamentrack.jobs.accounts import AccountName, ClientAccount
from cyclamentrack.metrics import Metrics
from cyclamentrack_platform.front import HttpFrontend
from features.harness.asgi import call_app
from features.harness.jobworld import make_queue

_APPLIED_S = 1.0
_BODY = b'{"Steps":[{"Count":2,"Cpu":100,"MemMb":10,"EstimateMs":500}]}'


def _configure(context, accounts):
    public = msgspec.structs.replace(make_queue('public'), public=True)
    context.jobs.configure(make_queue('lookups'), public, accounts=accounts)


@given('the accounts and keys')
@when('the accounts and keys are')
def set_accounts(context):
    accounts = tuple(
        ClientAccount(
            name=AccountName(row['account']), keys=tuple(row['keys'].split())
        )
        for row in context.table
    )
    _configure(context, accounts)
    context.jobs.loop.sleep(_APPLIED_S)


@given('the configuration names no accounts')
def remove_accounts(context):
    _configure(context, None)
    context.jobs.loop.sleep(_APPLIED_S)


@step('an HTTP frontend on a node that is left')
def serve_by_another(context):
    name = next(iter(context.jobs.services))
    context.frontend = HttpFrontend(
        cell=context.jobs.cells[name],
        service=context.jobs.services[name],
        metrics=Metrics(),
    )


@step('a caller with the key "{key}" sends {method} "{target}"')
def send_with_key(context, key, method, target):
    headers = ()
    if key != 'none':
        headers = ((b'authorization', f'Bearer {key}'.encode()),)
    context.reply = context.jobs.loop.run(
        call_app,
        context.frontend.callers,
        method,
        target,
        _BODY if method == 'POST' else b'',
        'h',
        headers,
    )


@then('the answer has a "{name}" header of "{text}"')
def check_header(context, name, text):
    assert context.reply.headers.get(name) == text, context.reply.headers


@given('the store refuses the calls of the first node')
def refuse_first(context):
    context.jobs.rows.refused_nodes.add(next(iter(context.jobs.services)))
