"""Steps about the adapter, with canned answers on a real socket."""

import base64

import trio
from behave import given, then, when

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import (
    JobId,
    StepName,
    TaskName,
    Token,
)
from cyclamentrack.jobs.ports import (
    Batch,
    Conflict,
    Expect,
    RowKey,
    StartOrder,
)
from cyclamentrack_platform.entries import PlatformEntries
from cyclamentrack_platform.store import PlatformRows
from cyclamentrack_platform.workers import PlatformPermits, PlatformWorkers
from features.harness.canned import get_server, make_poll_order, make_worker
from features.harness.wire import WireServer

_LEASE_MS = 4321
_INCARNATION = 9
_DEPTH = 20_000
_DEEP = b'[' * _DEPTH + b']' * _DEPTH
_KEY = RowKey('t', 'p', 'k')


@given('a platform that answers "{path}" with {status:d} and reason "{reason}"')
@given('a platform that answers "{path}" with {status:d} and reason ""')
def set_answer(context, path, status, reason=''):
    body = {'ClockMs': 5, 'Reason': reason, 'Ver': 3}
    get_server(context).answers[path] = (status, body)


@given('a platform that closes the connection on "{path}"')
def set_closed(context, path):
    get_server(context).answers[path] = None


@given('a platform that no longer listens')
def closeget_server(context):
    server = WireServer()
    server.close()
    context.wire = server


@given('a worker at the address "{address}"')
def set_worker_address(context, address):
    context.address = address


@given('a platform that never answers "{path}"')
def set_silent(context, path):
    get_server(context).answers[path] = 'silent'


@given('a platform whose worker lists a run, an end and malformed rows')
def set_lists(context):
    body = {
        'ClockMs': 5,
        'born': _INCARNATION,
        'Running': [['00000000000000aa.0.1.2', 3, 'cp', 40, 12], ['junk']],
        'Finished': [[1, '00000000000000aa.0.0.0', 1, 'done', ''], [2]],
    }
    get_server(context).answers['/-/hold'] = (200, body)


_MALFORMED_ROWS = {
    'a text as number': (['00000000000000aa.0.1.2', 'x', '', 0], ['x']),
    'an unknown outcome': ([], [3, '00000000000000aa.0.0.1', 1, 'gone', '']),
    'a text as progress': (['00000000000000aa.0.1.2', 1, '', 'x'], []),
}


@given('a platform whose worker also lists a run and an end with {fault}')
def set_malformed_rows(context, fault):
    set_lists(context)
    run, end = _MALFORMED_ROWS[fault]
    _, body = get_server(context).answers['/-/hold']
    body['Running'].append(run)
    body['Finished'].append(end)


@given('a platform that answers "{path}" with the bytes "{text}"')
def set_bytes(context, path, text):
    body = text.encode().replace(rb'\xff', b'\xff')
    if text == 'deep':
        body = b'{"ClockMs":5,"X":%s}' % _DEEP
    get_server(context).answers[path] = (200, body)


@given('a platform whose store has row "k" at the conflicting version 7')
def set_conflict(context):
    value = base64.b64encode(b'x').decode()
    row = {'Table': 't', 'part': 'p', 'Key': 'k', 'Value': value, 'Ver': 7}
    answer = (412, {'rows': [row], 'Ver': 9})
    get_server(context).answers['/-/rows-tx'] = answer


@when('a run is started')
def start_run(context):
    order = StartOrder(
        task=TaskName(JobId('00000000000000aa'), 0, 1, 2),
        run=3,
        payload='x',
        token=Token(7),
        lease_until_ms=_LEASE_MS,
        answer_s=0.8,
    )

    async def start():
        return await PlatformWorkers().start(
            worker=make_worker(context), order=order
        )

    context.answer = trio.run(start)


@then('the start\'s answer is "{answer}"')
def check_answer(context, answer):
    assert context.answer.value == answer, context.answer


@then("the call has the worker's id and the lease of the first attempt")
def check_call(context):
    _, body, head = context.wire.calls[-1]
    assert b'i-1' in head, head
    assert body['DeadlineMs'] == _LEASE_MS
    assert body['Task'] == '00000000000000aa.0.1.2'


def _caught(call):
    async def run():
        try:
            return await call()
        except Exception as error:  # noqa: BLE001
            return error

    return trio.run(run)


@when('the worker is polled')
def pollmake_worker(context):
    context.answer = _caught(
        lambda: PlatformWorkers().poll(
            worker=make_worker(context), order=make_poll_order()
        ),
    )


@then('the report has 1 run and 1 end')
def check_report(context):
    report = context.answer
    assert report.incarnation == _INCARNATION
    assert len(report.running) == 1
    assert len(report.ended) == 1


@when('a row is written')
def write_row(context):
    batch = Batch(expected=(Expect(_KEY, 1),), puts=((_KEY, b'y'),))
    rows = PlatformRows(address=get_server(context).address)
    context.answer = _caught(lambda: rows.commit(batch))


@when('a feed is followed')
def follow_feed(context):
    rows = PlatformRows(address=get_server(context).address)
    context.answer = _caught(
        lambda: rows.follow(table='t', after=1, wait_s=0.1),
    )


@when('permits are requested')
def request_permits(context):
    service = PlatformPermits(address=get_server(context).address)
    context.answer = _caught(
        lambda: service.request_permits(
            step=StepName(JobId('00000000000000aa'), 0, 0),
            workers=[WorkerId('i-1')],
            timeout_s=0.5,
        ),
    )


@then('there is no usable reply')
def check_no_reply(context):
    assert context.answer is None, context.answer


@when('the store is asked for a {call}')
def call_store(context, call):
    rows = PlatformRows(address=get_server(context).address)
    calls = {
        'write': lambda: rows.commit(Batch(puts=((_KEY, b'y'),))),
        'scan': lambda: rows.scan(table='t', part=''),
        'feed': lambda: rows.follow(table='t', after=1, wait_s=0.1),
        'parts': lambda: rows.parts(table='t'),
    }
    context.answer = _caught(calls[call])


@then('the write ends with "{error}"')
@then('the call ends with "{error}"')
@then('the feed ends with "{error}"')
@then('the poll ends with "{error}"')
def check_error(context, error):
    assert type(context.answer).__name__ == error, context.answer


@then('the store refused it {how}')
def check_refusal(context, how):
    assert context.answer.for_good == (how == 'for good'), context.answer


@then('the write conflicts with version 7')
def check_conflict(context):
    assert isinstance(context.answer, Conflict), context.answer
    assert context.answer.find(_KEY).version == 7


@then('these worker entries are skipped:')
def check_skipped(context):
    for row in context.table:
        body = row['entry'].encode()
        assert PlatformEntries().worker('i-1', body) is None, body


@then('a configuration of "[]" is skipped')
def check_configuration(context):
    del context
    assert PlatformEntries().configuration(b'[]') is None
