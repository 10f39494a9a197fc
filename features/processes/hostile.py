"""Clients outside the limits, and what they cost the process they call.

Each attack keeps its connections open until the process has been checked. The
figures of a client are fixed; how fast the machine is changes only how long an
attack takes.
"""

import asyncio
import contextlib
import json
import signal
import socket
from itertools import cycle
from pathlib import Path

from features.processes.cell import PLAIN, Cell

_MAX_BODY_BYTES = 262144
_CONNECTIONS = 600
_FIRST_JOB = 0x1000
_TRAILERS = 100
_TRAILER_BYTES = 16 << 20
_PIPELINE_BYTES = 8 << 20
# A client that reads no response takes few of its bytes before it blocks.
_UNREAD_BYTES = 4096
_BLOCK_BYTES = 65536
_PIECE_BYTES = 16384
# A client gives up sending if nothing has been taken for this long.
_STUCK_S = 3.0
_CONNECT_S = 10.0
_END_S = 60.0
_SAMPLE_S = 0.1
_ASKS = 60
_JOB = '{:016x}'
_TRAILER = b'X-More: %s\r\n' % (b'x' * 500)
_FIELDS = {'Count': 1, 'Cpu': 100, 'MemMb': 64, 'EstimateMs': 100}
_PLAN = {'cpu': 100, 'work_s': 0.1}
_KB = 1024
_LISTENING = '0A'
_FAILURES = (OSError, TimeoutError)


class Figures:
    """The largest figures of a process that were seen while it was called."""

    def __init__(self, node):
        self.memory_kb = 0
        self.descriptors = 0
        self._folder = Path('/proc') / str(node.process.pid)
        self._port = int(node.front.rpartition(':')[2])

    async def watch(self):
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_S)

    def sample(self):
        """Count resident memory, and what the kernel holds for the process."""
        status = (self._folder / 'status').read_text(encoding='utf-8')
        lines = dict(line.split(':', 1) for line in status.splitlines())
        resident_kb = int(lines['VmRSS'].split()[0])
        queued_kb = self._queued_bytes() // _KB
        self.memory_kb = max(self.memory_kb, resident_kb + queued_kb)
        descriptors = len(list((self._folder / 'fd').iterdir()))
        self.descriptors = max(self.descriptors, descriptors)

    def _queued_bytes(self):
        """Return the bytes that callers sent or were sent, still queued."""
        total = 0
        table = Path('/proc/net/tcp').read_text(encoding='ascii')
        for line in table.splitlines()[1:]:
            fields = line.split()
            _, _, port = fields[1].partition(':')
            if int(port, 16) == self._port and fields[3] != _LISTENING:
                total += sum(int(size, 16) for size in fields[4].split(':'))
        return total


class Attack:
    """Connections of clients that don't keep to the limits."""

    def __init__(self, cell, node):
        host, _, port = node.front.rpartition(':')
        self._cell = cell
        self._address = (host, int(port))
        self._sockets = []

    def close(self):
        for one in self._sockets:
            one.close()

    async def trailers(self):
        """Send trailers without end after a body that is complete."""
        body = _body(1)
        start = b''.join((_chunked_head(1), _chunk(body), b'0\r\n'))
        block = _TRAILER * (_BLOCK_BYTES // len(_TRAILER))
        await self._all(_TRAILERS, start, block, _TRAILER_BYTES)

    async def stalled(self):
        """Send all of a large body but its last byte, on each connection."""
        body = _body(_MAX_BODY_BYTES)[:-1]
        await self._all(_CONNECTIONS, _head(2, _MAX_BODY_BYTES) + body)

    async def pieces(self):
        """Send large bodies but their last bytes, piece by piece in turn."""
        body = _body(_MAX_BODY_BYTES)[:-1]
        await self._all(_CONNECTIONS, _chunked_head(3))
        for begin in range(0, len(body), _PIECE_BYTES):
            piece = _chunk(body[begin : begin + _PIECE_BYTES])
            await asyncio.gather(
                *(self._send(one, piece) for one in self._sockets)
            )

    async def complete(self):
        """Send many complete large bodies at once.

        Half of them are one valid job, and half have steps without number,
        which take many times their length once they are decoded.
        """
        steps = ','.join(['{}'] * (_MAX_BODY_BYTES // 3 - 10))
        invalid = f'{{"Steps":[{steps}]}}'.encode().ljust(_MAX_BODY_BYTES)
        valid = _body(_MAX_BODY_BYTES)
        names = range(_FIRST_JOB, _FIRST_JOB + _CONNECTIONS)
        for name in names:
            self._cell.new_job(name=_JOB.format(name), steps=[(_FIELDS, _PLAN)])
        await asyncio.gather(
            *(
                self._run(_head(name, _MAX_BODY_BYTES) + body)
                for name, body in zip(names, cycle((invalid, valid)))
            )
        )

    async def pipelined(self):
        """Send requests without end and read none of the responses."""
        request = _get(5)
        block = request * (_BLOCK_BYTES // len(request))
        await self._all(_CONNECTIONS, b'', block, _PIPELINE_BYTES)

    async def half_open(self):
        """Open connections that are idle or stop within a request's head."""
        await self._all(_CONNECTIONS // 2, b'')
        await self._all(_CONNECTIONS // 2, _head(6, 1)[:-2])

    async def cut_short(self, job, chunked):
        """Send a whole job in a body whose connection ends before its end."""
        body = _body(1)
        start = (
            _chunked_head(job) + _chunk(body)
            if chunked
            else _head(job, len(body) + 1) + body
        )
        await self._all(1, start)
        one = self._sockets[0]
        one.shutdown(socket.SHUT_WR)
        loop = asyncio.get_running_loop()
        received = b'...'
        with contextlib.suppress(*_FAILURES):
            async with asyncio.timeout(_CONNECT_S):
                while received:
                    received = await loop.sock_recv(one, _BLOCK_BYTES)

    async def _all(self, count, start, block=b'', total=0):
        await asyncio.gather(
            *(self._run(start, block, total) for _ in range(count))
        )

    async def _run(self, start, block=b'', total=0):
        loop = asyncio.get_running_loop()
        one = socket.socket()
        self._sockets.append(one)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
        one.setblocking(False)
        with contextlib.suppress(*_FAILURES):
            async with asyncio.timeout(_CONNECT_S):
                await loop.sock_connect(one, self._address)
        taken = await self._send(one, start)
        for _ in range(total // _BLOCK_BYTES):
            taken = taken and await self._send(one, block)

    async def _send(self, one, data):
        """Send bytes; return whether the process took them."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_STUCK_S):
                await loop.sock_sendall(one, data)
        except _FAILURES:
            return False
        return True


class Visit:
    """What an attack on one node showed."""

    def __init__(self):
        self.same_process = False
        self.memory_kb = 0
        self.descriptors = 0
        self.served = False
        self.broken = []


async def attack(name, *, limits):
    """Play one attack on a node, and make an ordinary request after it."""
    cell = Cell(workers=1, nodes=('n0',), limits=limits)
    visit = Visit()
    try:
        await cell.open()
        node = cell.nodes['n0']
        await _play(cell, node, visit, name)
    finally:
        await cell.close()
    visit.broken = sorted(cell.judge.broken)
    return visit


async def end_under_attack():
    """Return the exit status of a node that is told to end, ``None`` if late.

    The time allowed is many times the grace period.
    """
    cell = Cell(workers=1, nodes=('n0',))
    try:
        await cell.open()
        return await _end(cell, cell.nodes['n0'])
    finally:
        await cell.close()


async def _end(cell, node):
    attacker = Attack(cell, node)
    for play in (attacker.half_open, attacker.pipelined, attacker.stalled):
        await play()
    node.outages += 1
    node.send(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_END_S):
            await node.process.wait()
    attacker.close()
    return node.process.returncode


async def cut_short(*, chunked):
    """Return the status of a job whose submission was cut short.

    It is asked for once a job that was submitted later is completed. The
    rules that were broken are returned as well, as for a job that has run.
    """
    cell = Cell(workers=1, nodes=('n0',))
    try:
        await cell.open()
        node = cell.nodes['n0']
        await _cut_short(cell, node, chunked=chunked)
        status, _ = await _repeat(node, 'GET', f'{PLAIN}{_JOB.format(7)}')
    finally:
        await cell.close()
    return status, cell.judge.broken


async def _play(cell, node, visit, name):
    pid = node.process.pid
    figures = Figures(node)
    watching = asyncio.create_task(figures.watch())
    attacker = Attack(cell, node)
    try:
        await getattr(attacker, name)()
        visit.served = await _serves(cell, node)
        figures.sample()
    finally:
        watching.cancel()
        attacker.close()
    visit.same_process = node.is_up and node.process.pid == pid
    visit.memory_kb = figures.memory_kb
    visit.descriptors = figures.descriptors


async def _serves(cell, node):
    """Say whether a small job is stored and shown; refusals are repeated."""
    job = cell.new_job(name=_JOB.format(0xFF), steps=[(_FIELDS, _PLAN)])
    posted, _ = await _repeat(node, 'POST', job.path, job.body)
    shown, _ = await _repeat(node, 'GET', job.path)
    return (posted, shown) == (200, 200)


async def _cut_short(cell, node, *, chunked):
    attacker = Attack(cell, node)
    await attacker.cut_short(7, chunked)
    attacker.close()
    await _wait_until_completed(cell, node)


async def _wait_until_completed(cell, node):
    assert await _serves(cell, node)
    for _ in range(_ASKS):
        _, answer = await _repeat(node, 'GET', f'{PLAIN}{_JOB.format(0xFF)}')
        if answer == {'State': 'completed'}:
            return
        await asyncio.sleep(1)
    raise AssertionError(answer)


async def _repeat(node, method, path, body=None):
    """Send a request until its answer is no refusal."""
    for _ in range(_ASKS):
        status, answer = await node.client.call(
            method, path, body=body, timeout_s=_CONNECT_S
        )
        if status not in {0, 429, 503}:
            break
        await asyncio.sleep(_SAMPLE_S)
    return status, answer


def _body(size):
    """Return a valid job of a size at least, filled with spaces."""
    job = {'Spec': json.dumps({'steps': [_PLAN]}), 'Steps': [_FIELDS]}
    return json.dumps(job).encode().ljust(size)


def _start(method, job):
    return f'{method} {PLAIN}{_JOB.format(job)} HTTP/1.1\r\nHost: q.example\r\n'


def _get(job):
    return f'{_start("GET", job)}\r\n'.encode()


def _head(job, size):
    return f'{_start("POST", job)}Content-Length: {size}\r\n\r\n'.encode()


def _chunked_head(job):
    return f'{_start("POST", job)}Transfer-Encoding: chunked\r\n\r\n'.encode()


def _chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)
