"""Steps about the adapter's HTTP client on a real socket."""

import contextlib
import time

import httpcore
import trio
import trio.testing
from behave import given, then, when

from cyclamentrack.timeouts import LagAwareTimeouts
from cyclamentrack_daemon.platforms import HttpTable
from cyclamentrack_platform.http import HttpClient, NoAnswerError
from cyclamentrack_platform.streams import OneWriteStream
from features.harness.wire import WireServer

_LONG_TIMEOUT_S = 30.0
_SHORT_TIMEOUT_S = 0.05
_LOST_S = 1.0
_LAPS = 3
_LARGE_BYTES = 3000


@given(
    'a client of {count:d} connections '
    'to a platform that never answers "{path}"'
)
def begin_client(context, count, path):
    wire = WireServer()
    context.add_cleanup(wire.close)
    wire.answers.update({'/a': (200, {}), path: 'silent'})
    context.wire = wire
    context.script = []
    context.make = lambda: HttpClient(address=wire.address, connections=count)


async def _call(client, path, timeout_s):
    with contextlib.suppress(NoAnswerError):
        await client.call('POST', path, body={}, timeout_s=timeout_s)


@when('{count:d} calls are sent together, {times:d} times')
def send_together(context, count, times):
    async def run(client):
        for _ in range(times):
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(_call, client, '/a', _LONG_TIMEOUT_S)

    context.script.append(run)


@then('{count:d} connections were opened at most')
def check_connections(context, count):
    assert 0 < context.wire.connections <= count, context.wire.connections


@when('{count:d} calls time out before they are sent')
def time_out_before_sent(context, count):
    async def run(client):
        for _ in range(count):
            await _call(client, '/a', 0)

    context.script.append(run)


@when(
    '{held:d} calls to "{path}", and then {waiting:d} that wait behind them, '
    'time out {times:d} times'
)
def time_out_in_turn(context, held, path, waiting, times):
    async def run(client):
        for _ in range(times):
            await _time_out_in_turn(client, [path] * held, ['/a'] * waiting)

    context.script.append(run)


async def _time_out_in_turn(client, held, waiting):
    """Let calls that use all connections time out with those behind them."""
    async with trio.open_nursery() as nursery:
        for path in held:
            nursery.start_soon(_call, client, path, 2 * _SHORT_TIMEOUT_S)
        await trio.sleep(_SHORT_TIMEOUT_S)
        for path in waiting:
            nursery.start_soon(_call, client, path, _SHORT_TIMEOUT_S)


@given(
    'a client whose timeouts leave out the time in which its loop is blocked'
)
def begin_lag_aware_client(context):
    begin_client(context, 1, '/hold')
    address = context.make().address
    context.timeouts = LagAwareTimeouts()
    context.make = lambda: HttpClient(
        address=address, connections=1, timeouts=context.timeouts
    )


@then(
    'a call of {limit:g} seconds is answered in a loop blocked for {blocked:g}'
)
def check_blocked(context, limit, blocked):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.timeouts.run)
            client = context.make()
            await client.call('POST', '/a', body={}, timeout_s=_LONG_TIMEOUT_S)
            await trio.sleep(_SHORT_TIMEOUT_S)
            nursery.start_soon(_block_loop, blocked)
            reply = await client.call('POST', '/a', body={}, timeout_s=limit)
            assert reply.status == 200
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _block_loop(seconds):
    """Block the loop while an answer is on its way."""
    for _ in range(_LAPS):
        time.sleep(seconds / _LAPS)  # noqa: ASYNC251
        await trio.lowlevel.checkpoint()


@then('a call is answered')
def check_answered(context):
    async def main():
        client = context.make()
        for run in context.script:
            await run(client)
        reply = await client.call(
            'POST', '/a', body={}, timeout_s=_LONG_TIMEOUT_S
        )
        assert reply.status == 200
        await client.close()

    trio.run(main)


@given('the platform closes each connection after its reply')
def close_after_reply(context):
    context.wire.closes_after_reply = True


@when('{count:d} calls are sent one after the other')
def send_in_turn(context, count):
    async def run(client):
        for number in range(count):
            await client.call('POST', '/a', body={}, timeout_s=_LONG_TIMEOUT_S)
            await context.wire.wait_until_closed(number + 1)

    context.script.append(run)


@when('all open connections go silent')
def silence_connections(context):
    async def run(client):
        del client
        context.wire.silent_connections = context.wire.connections

    context.script.append(run)


@when('a call to "{path}" is cancelled just after another one was answered')
def cancel_beside_answer(context, path):
    async def run(client):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, client, path, _LONG_TIMEOUT_S)
            await trio.testing.wait_all_tasks_blocked()
            await client.call('POST', '/a', body={}, timeout_s=_LONG_TIMEOUT_S)
            nursery.cancel_scope.cancel()

    context.script.append(run)


@then('at most {count:d} call is lost until one is answered')
def check_lost_calls(context, count):
    async def main():
        client = context.make()
        for run in context.script:
            await run(client)
        for lost in range(context.wire.connections + 1):
            try:
                await client.call('POST', '/a', body={}, timeout_s=_LOST_S)
            except NoAnswerError:
                continue
            assert lost <= count, lost
            return
        raise AssertionError('no call was answered')

    trio.run(main)


@then('{count:d} connections were opened')
def check_opened(context, count):
    assert context.wire.connections == count, context.wire.connections


@then('{count:d} calls were answered on as many connections')
def check_replaced(context, count):
    assert len(context.wire.calls) == count, context.wire.calls
    assert context.wire.connections == count, context.wire.connections


class _RecordingStream(httpcore.AsyncMockStream):
    def __init__(self):
        super().__init__([b'reply'])
        self.writes = []

    async def write(self, buffer, timeout=None):
        del timeout
        self.writes.append(bytes(buffer))


@then('a head and a body that are written one after the other are sent at once')
def check_one_write(context):
    del context
    recorder = _RecordingStream()

    async def exchange():
        stream = OneWriteStream(recorder)
        await stream.write(b'head ')
        await stream.write(b'body')
        assert recorder.writes == [], recorder.writes
        return await stream.read(100)

    assert trio.run(exchange) == b'reply'
    assert recorder.writes == [b'head body'], recorder.writes


@given("the daemon's client of a table service with {count:d} idle connections")
def begin_table(context, count):
    wire = WireServer()
    context.add_cleanup(wire.close)
    wire.answers['/v1/table/scan'] = (200, [])
    context.wire = wire
    context.idle = count


@then('at most {count:d} scan is lost after all connections have gone silent')
def check_lost_scans(context, count):
    async def main():
        pool = httpcore.AsyncConnectionPool(max_connections=context.idle)
        base = f'http://{context.wire.address}/v1'
        table = HttpTable(pool=pool, base=base)
        async with trio.open_nursery() as nursery:
            for _ in range(context.idle):
                nursery.start_soon(_scan, table)
        assert context.wire.connections == context.idle
        context.wire.silent_connections = context.idle
        lost = 0
        while not await _scan(table):
            lost += 1
        assert lost <= count, lost
        await pool.aclose()

    trio.run(main)


async def _scan(table):
    """Scan the table; return whether it answered."""
    with trio.move_on_after(_LOST_S):
        await table.scan(prefix='', limit=1, after='')
        return True
    return False


@given(
    'the platform sends replies in {parts:d} parts '
    'that are {pause:g} seconds apart'
)
def send_in_parts(context, parts, pause):
    wire = context.wire
    wire.answers['/a'] = (200, b'x' * _LARGE_BYTES)
    wire.parts = parts
    wire.pause_s = pause


@given(
    'the platform stops after {sent:d} of {parts:d} parts '
    'that are {pause:g} seconds apart'
)
def stop_sending(context, sent, parts, pause):
    send_in_parts(context, parts, pause)
    context.wire.sent_parts = sent


@then('a call with a timeout of {limit:g} seconds gets the whole reply')
def check_whole(context, limit):
    async def main():
        client = context.make()
        reply = await client.call('POST', '/a', body={}, timeout_s=limit)
        assert len(reply.body) == _LARGE_BYTES, len(reply.body)
        await client.close()

    trio.run(main)


@then('a call with a timeout of {limit:g} seconds gets no answer')
def check_no_answer(context, limit):
    async def main():
        client = context.make()
        try:
            await client.call('POST', '/a', body={}, timeout_s=limit)
        except NoAnswerError:
            return
        raise AssertionError('the call was answered')

    trio.run(main)
