"""Links between processes, which a partition cuts by groups.

Each pair of a caller and a target has a link: a proxy with an address of its
own. An island is a group of processes that reach each other and nobody else.
What is sent over a cut link is held; connections stay open, and new ones hang.
"""

import asyncio

HOST = '127.0.0.1'
_CHUNK_BYTES = 65536


class _Connection:
    """Both ends of a proxied connection; ``lost`` if its target lost power."""

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.lost = False

    def abort(self):
        self.near.transport.abort()
        self.far.transport.abort()


class Link:
    """All connections from one caller to one target."""

    def __init__(self, links, caller, target, real):
        self.caller = caller
        self.target = target
        self.real = real
        self.address = ''
        self.delay_s = 0
        self.silent = False
        self.resetting = False
        self._links = links
        self._connections = set()

    async def open(self):
        server = await asyncio.start_server(self._accept, HOST, 0)
        self._server = server
        self.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'

    def reset(self):
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.abort()

    def lose(self):
        """Forget all connections, as a target does that loses power."""
        for connection in list(self._connections):
            connection.lost = True
            connection.far.transport.abort()

    async def _accept(self, reader, writer):
        try:
            await self._carry(reader, writer)
        except OSError:
            return
        finally:
            writer.transport.abort()

    async def _carry(self, reader, writer):
        if self.resetting:
            return
        await self._wait_until_open()
        host, _, port = self.real.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        own_port = far_writer.get_extra_info('sockname')[1]
        self._links.callers[own_port] = self.caller
        connection = _Connection(writer, far_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, far_writer),
                self._pump(connection, far_reader, writer),
            )
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _pump(self, connection, reader, writer):
        try:
            await self._copy(connection, reader, writer)
        except OSError:
            await self._wait_until_open()
            if writer is connection.far or not connection.lost:
                connection.abort()

    async def _copy(self, connection, reader, writer):
        while chunk := await reader.read(_CHUNK_BYTES):
            await asyncio.sleep(self.delay_s)
            await self._wait_until_open()
            if connection.lost or reader.exception():
                raise ConnectionResetError
            writer.write(chunk)
            await writer.drain()
        await self._end(connection, writer)

    async def _end(self, connection, writer):
        """Pass the end of a direction on, as a closed connection does."""
        await self._wait_until_open()
        if not connection.lost and writer.can_write_eof():
            writer.write_eof()

    async def _wait_until_open(self):
        while not self._is_open():
            await self._links.changed.wait()

    def _is_open(self):
        return not self.silent and self._links.joined(self.caller, self.target)


class Links:
    """The links of all pairs, and the islands that part them now."""

    def __init__(self):
        self.callers = {}
        self.changed = asyncio.Event()
        self._links = {}
        self._islands = []

    async def add(self, caller, target, real):
        """Open the link from a caller to the real address of a target."""
        link = Link(self, caller, target, real)
        await link.open()
        self._links[caller, target] = link
        return link

    def joined(self, caller, target):
        """Return whether no island parts the two."""
        return all(
            (caller in island) == (target in island) for island in self._islands
        )

    def part(self, names):
        """Cut a group off from all others; return its island."""
        island = frozenset(names)
        self._islands.append(island)
        return island

    def heal(self, island):
        """Undo one partition; what was held is delivered."""
        self._islands.remove(island)
        self.wake()

    def wake(self):
        """Let held bytes look at their link again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def of(self, *, caller=None, target=None):
        """Return the links of a caller, to a target, or both."""
        return [
            link
            for link in self._links.values()
            if caller in {None, link.caller} and target in {None, link.target}
        ]

    def shown_to(self, caller, body):
        """Return a row's bytes with the addresses that the caller may use."""
        for link in self.of(caller=caller):
            body = body.replace(link.real.encode(), link.address.encode())
        return body

    def written_by(self, caller, body):
        """Return a row's bytes with the real addresses."""
        for link in self.of(caller=caller):
            body = body.replace(link.address.encode(), link.real.encode())
        return body
