"""Steps about the acknowledgement of a worker's ends."""

import contextlib

import trio
from behave import given, then, when

from cyclamentrack.errors import WorkerUnreachableError
from cyclamentrack_platform.workers import PlatformWorkers
from features.harness.canned import get_server, make_poll_order, make_worker

_INCARNATION = 9
_LEASE = 6005


@given('a platform whose worker lists {count:d} ends')
def set_ends(context, count):
    task = '00000000000000aa.0.0'
    ends = [[one, f'{task}.{one}', 1, 'done', ''] for one in range(count)]
    body = {'ClockMs': 5, 'Running': [], 'Finished': ends}
    get_server(context).answers['/-/hold'] = (200, body)


@then('its report is {whole}')
def check_complete(context, whole):
    assert context.answer.complete is (whole == 'complete')


@when('the worker is polled twice, with end 1 of incarnation {number:d} read')
def poll_twice(context, number):
    _poll_in_turn(context, number, polls=2)


@when('the worker closes its connection between two polls')
def poll_over_connections(context):
    get_server(context).closes_after_reply = True
    _poll_in_turn(context, _INCARNATION, polls=2)


@when('the worker is polled four times and loses the first acknowledgement')
def poll_after_loss(context):
    context.wire.unanswered_calls = {2}
    _poll_in_turn(context, _INCARNATION, polls=4)


def _poll_in_turn(context, incarnation, *, polls):
    async def poll():
        workers = PlatformWorkers()
        worker = make_worker(context)
        await workers.poll(worker=worker, order=make_poll_order())
        for number in range(1, polls):
            await context.wire.wait_until_closed(number)
            order = make_poll_order(
                incarnation=incarnation, acknowledged=1, lease_until_ms=_LEASE
            )
            with contextlib.suppress(WorkerUnreachableError):
                await workers.poll(worker=worker, order=order)

    trio.run(poll)


@then('the ends up to "{numbers}" were acknowledged by the polls')
def check_acknowledged(context, numbers):
    sent = [body['AckCursor'] for _, body, _ in context.wire.calls]
    assert ', '.join(map(str, sent)) == numbers, sent


def _extended(context):
    return ['DeadlineMs' in body for _, body, _ in context.wire.calls]


@then('no poll extended the lease')
def check_no_lease(context):
    assert _extended(context) == [False, False], context.wire.calls


@then('only the second poll extended the lease')
def check_second_lease(context):
    assert _extended(context) == [False, True], context.wire.calls
