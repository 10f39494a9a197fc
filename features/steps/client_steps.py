"""Steps about the HTTP client of the platform adapter, on a real socket."""

import contextlib
import time

import trio
from behave import given, then, when

from cyclamentrack.timeouts import LagAwareTimeouts
from cyclamentrack_platform.http import HttpClient, NoAnswerError
from features.harness.wire import WireServer

_CALL_TIMEOUT_S = 30.0
_SHORT_TIMEOUT_S = 0.05
_BLOCK_COUNT = 3


@given(
    'a client of {count:d} connections '
    'to a platform that never answers "{path}"'
)
def create_client(context, count, path):
    wire = WireServer()
    context.add_cleanup(wire.close)
    wire.answers.update({'/a': (200, {}), path: 'silent'})
    context.wire = wire
    context.script = []
    context.make_client = lambda: HttpClient(
        address=wire.address, connections=count
    )


async def _call(client, path, timeout_s):
    with contextlib.suppress(NoAnswerError):
        await client.call('POST', path, body={}, timeout_s=timeout_s)


@when('{count:d} calls are sent together, {times:d} times')
def send_together(context, count, times):
    async def run(client):
        for _ in range(times):
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(_call, client, '/a', _CALL_TIMEOUT_S)

    context.script.append(run)


@then('{count:d} connections were opened at most')
def check_connections(context, count):
    assert 0 < context.wire.connections <= count, context.wire.connections


@when('{count:d} calls time out before they are sent')
def time_out_at_once(context, count):
    async def run(client):
        for _ in range(count):
            await _call(client, '/a', 0)

    context.script.append(run)


@when(
    '{active:d} calls to "{path}" and then {waiting:d} calls queued behind '
    'them time out {times:d} times'
)
def time_out_together(context, active, path, waiting, times):
    async def run(client):
        for _ in range(times):
            await _time_out_together(client, [path] * active, ['/a'] * waiting)

    context.script.append(run)


async def _time_out_together(client, active, waiting):
    """Let calls that use all connections time out with those queued."""
    async with trio.open_nursery() as nursery:
        for path in active:
            nursery.start_soon(_call, client, path, 2 * _SHORT_TIMEOUT_S)
        await trio.sleep(_SHORT_TIMEOUT_S)
        for path in waiting:
            nursery.start_soon(_call, client, path, _SHORT_TIMEOUT_S)


@given('a client that does not count time in which its event loop is blocked')
def create_lag_aware_client(context):
    create_client(context, 1, '/hold')
    address = context.make_client().address
    context.timeouts = LagAwareTimeouts()
    context.make_client = lambda: HttpClient(
        address=address, connections=1, timeouts=context.timeouts
    )


@then(
    'a call of {limit:g} seconds is answered '
    'though the loop is blocked for {blocked:g}'
)
def check_blocked(context, limit, blocked):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.timeouts.run)
            client = context.make_client()
            await client.call('POST', '/a', body={}, timeout_s=_CALL_TIMEOUT_S)
            await trio.sleep(_SHORT_TIMEOUT_S)
            nursery.start_soon(_block, blocked)
            reply = await client.call('POST', '/a', body={}, timeout_s=limit)
            assert reply.status == 200
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _block(seconds):
    """Block the event loop in several pieces while an answer arrives."""
    for _ in range(_BLOCK_COUNT):
        time.sleep(seconds / _BLOCK_COUNT)  # noqa: ASYNC251
        await trio.lowlevel.checkpoint()


@then('a call is answered')
def check_answered(context):
    async def main():
        client = context.make_client()
        for run in context.script:
            await run(client)
        reply = await client.call(
            'POST', '/a', body={}, timeout_s=_CALL_TIMEOUT_S
        )
        assert reply.status == 200
        await client.close()

    trio.run(main)
