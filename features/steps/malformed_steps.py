"""Steps about malformed messages of peers and malformed rows."""

import trio
from behave import given, then, when
from websockets.trio.server import serve

from cyclamentrack import defaults
from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import PeerUnreachableError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.messages import AskWaiting, WaitingReply
from cyclamentrack.jobs.model import JobId
from cyclamentrack.jobs.ports import RowKey
from cyclamentrack.jobs.records import jobs_part
from cyclamentrack.messages import PROTOCOL_VERSION
from cyclamentrack_daemon.peering import Frame, PeerConnections

_TIMEOUT_S = 5.0
_ROW_KEYS = {
    'members': RowKey('members', '', 'other'),
    'jobs': RowKey('jobs', jobs_part(JobId('0')), '00000000000000ff'),
}


@given('a peer that replies with other bytes, then twice to each request')
def set_peer(context):
    context.replies = []

    async def reply(connection):
        async for packet in connection:
            context.replies.append(packet)
            if len(context.replies) == 1:
                await connection.send(b'\xff')
                continue
            frame = Frame(decode(packet, Frame).number, WaitingReply())
            for _ in range(3):
                await connection.send(encode(frame))

    async def call_twice():
        async with trio.open_nursery() as nursery:
            server = await nursery.start(_serve, reply)
            port = server.listeners[0].socket.getsockname()[1]
            peers = PeerConnections(nursery=nursery)
            context.answers = [
                await _call(peers, f'127.0.0.1:{port}') for _ in range(3)
            ]
            nursery.cancel_scope.cancel()

    trio.run(call_twice)


@given('a peer at the address "{address}"')
def set_peer_address(context, address):
    async def call():
        async with trio.open_nursery() as nursery:
            peers = PeerConnections(nursery=nursery)
            context.answers = [await _call(peers, address)]
            nursery.cancel_scope.cancel()

    trio.run(call)


@given('a peer whose first connection goes silent after one reply')
def set_silent_peer(context):
    connections = []

    async def reply(connection):
        connections.append(connection)
        silent = len(connections) == 1
        async for packet in connection:
            frame = Frame(decode(packet, Frame).number, WaitingReply())
            await connection.send(encode(frame))
            if silent:
                await trio.sleep_forever()

    async def call():
        async with trio.open_nursery() as nursery:
            server = await nursery.start(_serve, reply)
            port = server.listeners[0].socket.getsockname()[1]
            peers = PeerConnections(nursery=nursery)
            context.answers = [
                await _call(peers, f'127.0.0.1:{port}') for _ in range(3)
            ]
            nursery.cancel_scope.cancel()

    trio.run(call)


@then(
    'a call to it is answered, the next is lost, and the one after is answered'
)
def check_one_lost(context):
    assert context.answers == [WaitingReply(), None, WaitingReply()]


async def _serve(handler, *, task_status):
    await serve(
        handler,
        0,
        host='127.0.0.1',
        subprotocols=[f'cyclamentrack.v{PROTOCOL_VERSION}'],
        task_status=task_status,
    )


async def _call(peers, address):
    try:
        return await peers.call(
            address=address,
            message=AskWaiting(pool=PoolName('pool')),
            timeout_s=min(_TIMEOUT_S, 2 * defaults.PEER_TIMEOUT_S),
        )
    except PeerUnreachableError:
        return None


@then('a call to it fails as unreachable')
def check_unreachable(context):
    assert context.answers[0] is None, context.answers


@then('a later call to it is answered')
def check_answered(context):
    assert context.answers[1:] == [WaitingReply(), WaitingReply()]


@when('other bytes are written to a row of table "{table}"')
def write_bytes(context, table):
    async def put():
        context.jobs.rows.put(_ROW_KEYS[table], b'\xff{')

    context.jobs.loop.run(put)


@then('every node still runs')
def check_nodes(context):
    world = context.jobs
    assert world.cells, 'no node'
    assert all(not scope.cancelled_caught for scope in world.scopes.values())
    assert world.owner() is not None
