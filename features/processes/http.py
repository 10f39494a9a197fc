"""A small HTTP/1.1 server with JSON bodies, and a client's kept connections."""

import asyncio
import contextlib
import json

from features.processes.links import HOST

_LIMIT_BYTES = 8 << 20
_FAILURES = (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError)


class Request:
    """One request; ``caller`` is the process at the link's other end."""

    def __init__(self, caller, head):
        first, *rest = head.decode('latin-1').split('\r\n')
        self.target = first.split(' ', 2)[1]
        self.caller = caller
        self.headers = _headers(rest)
        self.body = {}


class Server:
    """Answers requests as ``handle`` says; not at all if that is ``None``."""

    def __init__(self, handle, links):
        self._handle = handle
        self._links = links
        self.address = ''

    async def open(self):
        server = await asyncio.start_server(
            self._serve, HOST, 0, limit=_LIMIT_BYTES, backlog=512
        )
        self._server = server
        self.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'

    async def _serve(self, reader, writer):
        port = writer.get_extra_info('peername')[1]
        try:
            while True:
                await self._answer(reader, writer, port)
        except _FAILURES:
            return
        finally:
            writer.transport.abort()

    async def _answer(self, reader, writer, port):
        head = await reader.readuntil(b'\r\n\r\n')
        request = Request(self._links.callers.get(port, ''), head)
        size = int(request.headers.get('content-length', '0'))
        if size:
            request.body = json.loads(await reader.readexactly(size))
        found = await self._handle(request)
        if found is None:
            await asyncio.Event().wait()
        status, answer = found
        packed = json.dumps(answer).encode()
        writer.write(
            f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(packed)}\r\n\r\n'.encode()
            + packed
        )
        await writer.drain()


class Client:
    """A client's calls to one address over connections that it keeps."""

    def __init__(self, address):
        self._address = address
        self._idle = []

    def close(self):
        for _, writer in self._idle:
            writer.close()

    async def call(self, method, target, *, body=None, timeout_s):
        """Return status and answer; ``(0, None)`` without an answer."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target, body, timeout_s)
        except _FAILURES:
            return 0, None

    async def _call(self, method, target, body, timeout_s):
        host, _, port = self._address.rpartition(':')
        reader, writer = (
            self._idle.pop()
            if self._idle
            else await asyncio.open_connection(host, int(port))
        )
        packed = b'' if body is None else json.dumps(body).encode()
        try:
            writer.write(
                f'{method} {target} HTTP/1.1\r\nHost: q.example\r\n'
                'Content-Type: application/json\r\n'
                f'Cyclamentrack-Deadline-Ms: {int(timeout_s * 1000)}\r\n'
                f'Content-Length: {len(packed)}\r\n\r\n'.encode()
                + packed
            )
            found = await _read_answer(reader)
        except BaseException:
            writer.close()
            raise
        status, answer, kept = found
        if kept:
            self._idle.append((reader, writer))
        else:
            writer.close()
        return status, answer


async def wait_for(event, seconds):
    """Wait for an event for some time at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


async def _read_answer(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').split('\r\n')
    headers = _headers(rest)
    size = int(headers.get('content-length', '0'))
    answer = await reader.readexactly(size) if size else b''
    kept = headers.get('connection', '').lower() != 'close'
    return int(first.split(' ', 2)[1]), json.loads(answer or b'null'), kept


def _headers(lines):
    pairs = (line.partition(':') for line in lines if line)
    return {name.strip().lower(): text.strip() for name, _, text in pairs}
