"""Steps about the adapter's HTTP client on a real socket."""

import contextlib

import trio
from behave import given, then, when

from cyclamentrack_platform.http import HttpClient, NoAnswerError
from features.harness.wire import WireServer

_PATIENCE_S = 30.0
_SHORT_S = 0.05


@given(
    'a client of {count:d} connections '
    'to a platform that never answers "{path}"'
)
def begin_client(context, count, path):
    wire = WireServer()
    context.add_cleanup(wire.close)
    wire.answers.update({'/a': (200, {}), path: 'silent'})
    context.script = []
    context.make = lambda: HttpClient(address=wire.address, connections=count)


async def _call(client, path, timeout_s):
    with contextlib.suppress(NoAnswerError):
        await client.call('POST', path, body={}, timeout_s=timeout_s)


@when('{count:d} calls are given up before they are sent')
def give_up_at_once(context, count):
    async def run(client):
        for _ in range(count):
            await _call(client, '/a', 0)

    context.script.append(run)


@when(
    '{held:d} calls to "{path}", and then {waiting:d} that wait behind them, '
    'are given up {times:d} times'
)
def give_up_in_turn(context, held, path, waiting, times):
    async def run(client):
        for _ in range(times):
            await _give_up_in_turn(client, [path] * held, ['/a'] * waiting)

    context.script.append(run)


async def _give_up_in_turn(client, held, waiting):
    """Let calls that hold all connections end with those behind them."""
    async with trio.open_nursery() as nursery:
        for path in held:
            nursery.start_soon(_call, client, path, 2 * _SHORT_S)
        await trio.sleep(_SHORT_S)
        for path in waiting:
            nursery.start_soon(_call, client, path, _SHORT_S)


@then('a call is answered')
def check_answered(context):
    async def main():
        client = context.make()
        for run in context.script:
            await run(client)
        reply = await client.call('POST', '/a', body={}, timeout_s=_PATIENCE_S)
        assert reply.status == 200
        await client.close()

    trio.run(main)
