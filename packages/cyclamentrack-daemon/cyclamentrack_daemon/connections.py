"""HTTP/1.1 connections of hypercorn that keep to the limits of an intake."""

import logging
import socket
import struct
from typing import Any

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from cyclamentrack_daemon.intake import Entry, Intake, Reason

_log = logging.getLogger(__name__)

# Bytes that one read takes. What a client sends ahead of its responses isn't
# read beyond that.
_READ_BYTES = 16 * 1024
_INCOMPLETE = (h11.IDLE, h11.SEND_BODY)
# Close with a reset, so that the kernel keeps no unsent bytes.
_LINGER = struct.pack('ii', 1, 0)
_ENDED = (trio.ClosedResourceError, trio.BrokenResourceError)


class _Http1Protocol(H11Protocol):
    """HTTP/1.1 only; the limits of an intake don't cover HTTP/2."""

    async def _check_protocol(self, event: h11.Request) -> None:
        """Ignore offers to change to HTTP/2, as a server may."""


class CallerConnection(TCPServer):
    """One connection, which its intake may close at any moment."""

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        intake: Intake,
        stream: trio.SocketStream,
    ) -> None:
        """Serve the requests that arrive on a stream."""
        super().__init__(app, config, context, ConnectionState({}), stream)
        self._intake = intake
        self._scope = trio.CancelScope()
        self._entry: Entry | None = None
        self._http: H11Protocol | None = None

    @property
    def has_request(self) -> bool:
        """Whether the head of a request has arrived that isn't answered."""
        http = self._http
        return http is not None and http.connection.their_state != h11.IDLE

    @property
    def request_is_incomplete(self) -> bool:
        """Whether no request, or not all of one, has arrived."""
        http = self._http
        return http is None or http.connection.their_state in _INCOMPLETE

    def close(self, reason: Reason) -> None:
        """Close the socket and end all tasks of the connection."""
        trio_socket = self.stream.socket
        if reason is not Reason.IDLE and trio_socket.fileno() >= 0:
            trio_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        trio_socket.close()
        self._scope.cancel()

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        self._entry = self._intake.admit(self)
        if self._entry is None:
            self.close(Reason.CONNECTIONS)
            return
        try:
            with self._scope:
                await self._serve()
        except OSError:
            _log.debug('connection lost')
        except Exception:
            _log.exception('connection of a caller failed')
            self._intake.fail(self._entry)
        finally:
            self._intake.forget(self._entry)
            await self._close()

    async def protocol_send(self, event: Event) -> None:
        """Send bytes, close, or note that a request begins or has ended."""
        match event:
            case RawData():
                await self._send(event.data)
            case Closed():
                await self._close()
                await self.protocol.handle(Closed())
            case Updated(idle=True):
                unread, _ = self._http.connection.trailing_data
                self._intake.answered(self._entry, len(unread))

    async def _serve(self) -> None:
        own_socket = self.stream.socket
        client = parse_socket_addr(own_socket.family, own_socket.getpeername())
        server = parse_socket_addr(own_socket.family, own_socket.getsockname())
        async with TaskGroup() as task_group:
            self._http = _Http1Protocol(
                self.app,
                self.config,
                self.context,
                task_group,
                self.state,
                ssl=False,
                client=client,
                server=server,
                send=self.protocol_send,
            )
            self.protocol = self._http
            await self._read_data()

    async def _read_data(self) -> None:
        data: Any = None
        while data != b'':
            try:
                data = await self.stream.receive_some(_READ_BYTES)
            except _ENDED:
                break
            self._intake.received(self._entry, len(data))
            if self._scope.cancel_called:
                break
            await self.protocol.handle(RawData(bytes(data)))
        await self.protocol.handle(Closed())

    async def _send(self, data: bytes) -> None:
        async with self.send_lock:
            self._entry.sending_since = self._intake.now_s
            try:
                await self.stream.send_all(data)
            except _ENDED:
                await self.protocol.handle(Closed())
            finally:
                self._entry.sending_since = None
