"""Steps about connections that go silent for good."""

import base64

import trio
from behave import given, then, when
from websockets.trio.server import serve

from cyclamentrack import defaults
from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import PeerUnreachableError, StoreUncertainError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.messages import AskWaiting, WaitingReply
from cyclamentrack.jobs.ports import Batch, RowKey
from cyclamentrack.messages import PROTOCOL_VERSION
from cyclamentrack_daemon.peering import Frame, PeerConnections
from cyclamentrack_platform.store import PlatformRows
from features.harness.wire import WireServer

_WAIT_S = 0.7
_KEY = RowKey('op', '', 'config')
_FEED = '/-/rows-feed'
_CALL_S = 2 * defaults.PEER_TIMEOUT_S


@given('a store client with {count:d} idle connections')
def begin_store(context, count):
    context.wire = WireServer()
    context.add_cleanup(context.wire.close)
    context.connections = count


async def _follow_and_write(rows):
    await rows.follow(table='op', after=1, wait_s=_WAIT_S)
    await rows.commit(Batch(puts=((_KEY, b'x'),)))


_CALLS = {
    'the change of the configuration': lambda rows: rows.follow(
        table='op', after=1, wait_s=_WAIT_S
    ),
    'a write': lambda rows: rows.commit(Batch(puts=((_KEY, b'x'),))),
    'a feed and then a write': _follow_and_write,
}


@when('all of them go silent before {call}')
def go_silent(context, call):
    wire = context.wire
    value = base64.b64encode(b'{}').decode()
    row = {'Table': 'op', 'part': '', 'Key': 'config', 'Value': value, 'Ver': 2}
    wire.answers[_FEED] = (200, {'rows': [row], 'Ver': 2})
    wire.answers['/-/rows-get'] = (200, {'rows': [], 'Ver': 1})
    wire.answers['/-/rows-tx'] = (200, {'rows': [], 'Ver': 3})

    async def play():
        rows = PlatformRows(address=wire.address)
        await _open_connections(rows, context.connections)
        wire.silent_connections = wire.connections
        context.lost = await _count_lost(lambda: _CALLS[call](rows))

    trio.run(play)


async def _open_connections(rows, count):
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(_scan, rows)


async def _scan(rows):
    await rows.scan(table='op', part='')


async def _count_lost(call):
    lost = 0
    while True:
        try:
            await call()
        except StoreUncertainError:
            lost += 1
        else:
            return lost


@then('that call is answered after {count:d} lost call')
def check_lost(context, count):
    assert context.lost == count, context.lost


@given('{count:d} peers whose first connections go silent after one reply')
def set_peers(context, count):
    context.peers = count


@when('each peer is called three times')
def call_peers(context):
    context.answers = {}
    context.waiting = 0
    context.most_waiting = 0

    async def play():
        async with trio.open_nursery() as nursery:
            peers = PeerConnections(nursery=nursery)
            async with trio.open_nursery() as calls:
                for number in range(context.peers):
                    server = await nursery.start(_serve_peer, [])
                    port = server.listeners[0].socket.getsockname()[1]
                    calls.start_soon(_call_thrice, context, peers, number, port)
            nursery.cancel_scope.cancel()

    trio.run(play)


async def _serve_peer(connections, *, task_status):
    async def reply(connection):
        connections.append(connection)
        silent = len(connections) == 1
        async for packet in connection:
            frame = Frame(decode(packet, Frame).number, WaitingReply())
            await connection.send(encode(frame))
            if silent:
                await trio.sleep_forever()

    await serve(
        reply,
        0,
        host='127.0.0.1',
        subprotocols=[f'cyclamentrack.v{PROTOCOL_VERSION}'],
        task_status=task_status,
    )


async def _call_thrice(context, peers, number, port):
    context.answers[number] = []
    for _ in range(3):
        context.waiting += 1
        context.most_waiting = max(context.most_waiting, context.waiting)
        context.answers[number].append(await _call(peers, port))
        context.waiting -= 1


async def _call(peers, port):
    try:
        return await peers.call(
            address=f'127.0.0.1:{port}',
            message=AskWaiting(pool=PoolName('pool')),
            timeout_s=_CALL_S,
        )
    except PeerUnreachableError:
        return None


@then('each is answered, then lost once, and answered again')
def check_peers(context):
    expected = [WaitingReply(), None, WaitingReply()]
    answers = list(context.answers.values())
    assert answers == [expected] * context.peers, answers


@then('the lost calls were waited for at the same time')
def check_together(context):
    assert context.most_waiting == context.peers, context.most_waiting
