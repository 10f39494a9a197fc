"""Connections between daemons: CBOR messages over websockets.

One task runs the connection to each peer, and one task serves each connection
from a peer. A connection that misses a heartbeat is closed, and the next call
opens a new one.
"""

import logging
from collections.abc import Awaitable, Callable
from itertools import count

import msgspec
import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import connect
from websockets.trio.connection import Connection
from websockets.trio.server import ServerConnection, serve

from cyclamentrack import defaults
from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import PeerUnreachableError
from cyclamentrack.messages import PROTOCOL_VERSION, PeerMessage
from cyclamentrack_daemon.traffic import traffic

_log = logging.getLogger(__name__)

_PROTOCOL = f'cyclamentrack.v{PROTOCOL_VERSION}'
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# A connection on which a call has waited this long without any message since is
# replaced; a busy peer answers other calls meanwhile.
_SILENT_S = 1.0
# A silent peer never completes the closing handshake.
_CLOSE_TIMEOUT_S = 0.5


# A ValueError means that the peer's address can't be connected to.
_CONNECT_ERRORS = (OSError, WebSocketException, TimeoutError, ValueError)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message on a connection; a reply has its request's number."""

    number: int
    message: PeerMessage


class PeerConnections:
    """Calls peers over one connection per address."""

    def __init__(self, *, nursery: trio.Nursery) -> None:
        """Run the connections in the given nursery."""
        self._nursery = nursery
        self._links: dict[str, _Link] = {}

    async def call(
        self, *, address: str, message: PeerMessage, timeout_s: float
    ) -> PeerMessage:
        """Send a request and return its reply.

        Raises ``PeerUnreachableError`` after ``timeout_s`` without a reply.
        """
        link = self._link(address)
        with trio.move_on_after(timeout_s):
            return await link.call(message)
        if link.silent:
            link.abandon()
        raise PeerUnreachableError(peer=address)

    def _link(self, address: str) -> '_Link':
        link = self._links.get(address)
        if link is None or link.closed:
            link = _Link(address=address)
            self._links[address] = link
            self._nursery.start_soon(link.run)
        return link


class _Link:
    """The connection to one peer."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._request_numbers = count(1)
        self._reply_channels: dict[int, trio.MemorySendChannel] = {}
        self._connect_finished = trio.Event()
        self._connection: Connection | None = None
        self._scope = trio.CancelScope()
        self._unanswered_since: float | None = None
        self.closed = False

    @property
    def silent(self) -> bool:
        """Whether nothing has arrived for long although a call waits."""
        if self._unanswered_since is None:
            return False
        return trio.current_time() - self._unanswered_since >= _SILENT_S

    async def run(self) -> None:
        """Connect, then pass replies to their callers until closed."""
        with self._scope:
            await self._run()

    def abandon(self) -> None:
        """Fail all pending calls and close without waiting for the peer."""
        _log.info('connection to %s has gone silent, closing', self._address)
        self._close()
        self._scope.cancel()

    async def call(self, message: PeerMessage) -> PeerMessage:
        """Send a request and wait for its reply."""
        number = next(self._request_numbers)
        send, receive = trio.open_memory_channel[PeerMessage](1)
        self._reply_channels[number] = send
        packet = encode(Frame(number, message))
        traffic.count_message(sent=len(packet))
        try:
            await self._connect_finished.wait()
            if self._connection is None or self.closed:
                raise PeerUnreachableError(peer=self._address)
            await self._send(self._connection, packet)
            return await receive.receive()
        except (
            WebSocketException,
            OSError,
            trio.EndOfChannel,
        ) as error:
            raise PeerUnreachableError(peer=self._address) from error
        finally:
            self._reply_channels.pop(number, None)

    async def _run(self) -> None:
        try:
            async with connect(
                f'ws://{self._address}',
                subprotocols=[_PROTOCOL],
                compression=None,
                proxy=None,
                open_timeout=defaults.PEER_TIMEOUT_S,
                ping_interval=defaults.PEER_HEARTBEAT_S,
                ping_timeout=defaults.PEER_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
                max_size=_MAX_MESSAGE_BYTES,
            ) as connection:
                self._connection = connection
                self._connect_finished.set()
                await self._receive(connection)
        except _CONNECT_ERRORS as error:
            _log.debug('connection to %s ended: %r', self._address, error)
        finally:
            self._close()

    async def _send(self, connection: Connection, packet: bytes) -> None:
        if self._unanswered_since is None:
            self._unanswered_since = trio.current_time()
        await connection.send(packet)

    async def _receive(self, connection: Connection) -> None:
        async for packet in connection:
            self._unanswered_since = None
            traffic.count_message(received=len(packet))
            frame = _decode_frame(packet, self._address)
            if frame is None:
                return
            channel = self._reply_channels.pop(frame.number, None)
            if channel is not None:
                channel.send_nowait(frame.message)

    def _close(self) -> None:
        """Fail all pending calls; the next call opens a new connection."""
        self.closed = True
        self._connect_finished.set()
        for channel in self._reply_channels.values():
            channel.close()


def _decode_frame(packet: str | bytes, peer: str) -> Frame | None:
    """Decode a message; ``None`` if its connection can't be used further."""
    try:
        return decode(packet, Frame)
    except (msgspec.ValidationError, TypeError) as error:
        _log.warning('malformed message from %s, closing: %s', peer, error)
        return None


async def serve_peers(
    address: str,
    handle: Callable[[PeerMessage], Awaitable[PeerMessage]],
    *,
    task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve connections from peers until cancelled."""
    host, _, port = address.rpartition(':')

    async def serve_one(connection: ServerConnection) -> None:
        async with trio.open_nursery() as nursery:
            try:
                async for packet in connection:
                    traffic.count_message(received=len(packet))
                    frame = _decode_frame(packet, 'a peer')
                    if frame is None:
                        break
                    nursery.start_soon(_answer, connection, frame, handle)
            except WebSocketException:
                _log.debug('connection from a peer was closed')
            nursery.cancel_scope.cancel()

    await serve(
        serve_one,
        int(port),
        host=host,
        subprotocols=[_PROTOCOL],
        compression=None,
        ping_interval=defaults.PEER_HEARTBEAT_S,
        ping_timeout=defaults.PEER_TIMEOUT_S,
        close_timeout=_CLOSE_TIMEOUT_S,
        max_size=_MAX_MESSAGE_BYTES,
        task_status=task_status,
    )


async def _answer(
    connection: ServerConnection,
    frame: Frame,
    handle: Callable[[PeerMessage], Awaitable[PeerMessage]],
) -> None:
    try:
        reply = await handle(frame.message)
        packet = encode(Frame(frame.number, reply))
        traffic.count_message(sent=len(packet))
        await connection.send(packet)
    except WebSocketException:
        _log.debug('cannot send a reply: the connection was closed')
    except Exception:
        _log.exception('request from a peer failed')
