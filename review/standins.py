"""Stand-ins for a review: the store, minions, the advice service, clients.

They speak what the users' page PROTOCOL says, over loopback, and record what
they have seen. Only the standard library is used. The nodes under test are the
project's own program, started as its deploy file says.
"""
# ruff: file-ignore[undocumented-public-method, undocumented-public-function, non-imperative-mood, print]

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
HOLD_MAX_MS = 6000
STOP_TIMEOUT_MS = 900
# How long a stop takes; it may take StopTimeoutMs.
STOP_S = 0.5
# A grey minion fails what it starts after this time.
GREY_S = 0.1
# LOST: nothing of a job runs for so long, though its turn has come.
NEGLECT_S = 3.0
ROW_BYTES = 65536
ENTRIES = 100
TX_BYTES = 1_000_000
BOUNDS = {
    'SeedLagS': 3, 'ReuseAfterS': 2, 'ContactMs': 3000, 'AckMs': 4000,
    'CatchUpS': 4, 'DrainMs': 2000, 'GraceS': 6, 'LossSlackMs': 200,
    'ConfigApplyMs': 2000, 'RollbackSlackMs': 250, 'MaxStretchMs': 5000,
    'RecoverS': 12, 'HoldMaxMs': HOLD_MAX_MS,
    'StopTimeoutMs': STOP_TIMEOUT_MS, 'GangTimeoutMs': 3000,
    'cancel_ms': 3000, 'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14,
    'status_s': 120, 'FarX': 2, 'CheckpointS': 0.5, 'RestoreMs': 250,
    'NoticeMs': 4500, 'MoveS': 1.5, 'UpkeepS': 2, 'EnforceFencing': True,
    'LeaseMs': 3000, 'ThawSlackMs': 300, 'PaceMs': 100, 'HarmMs': 4000,
}  # fmt: skip
NOTHING = None
_REASONS = {200: 'OK', 400: 'Bad Request', 403: 'Forbidden', 404: 'Not Found',
            409: 'Conflict', 410: 'Gone', 412: 'Precondition Failed',
            421: 'Misdirected Request', 429: 'Too Many Requests',
            503: 'Service Unavailable'}  # fmt: skip


class CannotRunError(Exception):
    """The case couldn't be set up; it says nothing about the rule."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._lines: list[str] = []
        self._path = path

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        self._lines.append(f'{self.now():9.3f} {text}')

    def say(self, text: str) -> None:
        self.add(text)
        print(f'{self.now():9.3f} {text}', flush=True)

    def write(self) -> None:
        self._path.write_text('\n'.join(self._lines) + '\n', encoding='utf-8')


class Channel:
    """One accepted connection; a silent one carries nothing any more."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.silent = False


class Server:
    """HTTP/1.1 with kept connections; ``handle`` answers a request.

    A request for which ``handle`` returns ``NOTHING`` gets no answer.
    """

    def __init__(self, handle, *, port: int = 0) -> None:
        self._handle = handle
        self.port = port or free_port()
        self.channels: set[Channel] = set()
        self.dark = False
        self.resets = False
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f'{HOST}:{self.port}'

    async def start(self) -> 'Server':
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=8 << 20, backlog=512
        )
        return self

    def silence(self) -> int:
        """Silence all open channels for good, without a reset."""
        for channel in self.channels:
            channel.silent = True
        return len(self.channels)

    async def _serve(self, reader, writer) -> None:
        channel = Channel(writer)
        channel.silent = self.dark
        self.channels.add(channel)
        try:
            await self._requests(reader, channel)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.channels.discard(channel)
            writer.close()

    async def _requests(self, reader, channel) -> None:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            first, *rest = head.decode('latin-1').split('\r\n')
            method, target, _ = first.split(' ', 2)
            headers = {
                name.strip().lower(): text.strip()
                for name, _, text in (one.partition(':') for one in rest)
                if name
            }
            size = int(headers.get('content-length', '0'))
            body = await reader.readexactly(size) if size else b''
            if channel.silent:
                if self.resets and not self.dark:
                    channel.writer.transport.abort()
                    return
                continue
            found = await self._handle(method, target, headers, body)
            if channel.silent or found is NOTHING:
                channel.silent = True
                continue
            status, answer = found
            packed = json.dumps(answer).encode()
            channel.writer.write(
                f'HTTP/1.1 {status} {_REASONS.get(status, "-")}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(packed)}\r\n\r\n'.encode()
                + packed
            )
            await channel.writer.drain()


async def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: object = None,
    timeout_s: float = 3.0,
):
    """Send one request on its own channel; ``(0, None)`` without answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, target, headers or {}, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _call(address, method, target, headers, body):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        packed = b'' if body is None else json.dumps(body).encode()
        lines = [f'{method} {target} HTTP/1.1']
        given = {'Host': address, 'Content-Type': 'application/json', **headers}
        lines += [f'{name}: {text}' for name, text in given.items()]
        lines += [f'Content-Length: {len(packed)}', 'Connection: close']
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + packed)
        await writer.drain()
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status = int(head.split(' ', 2)[1])
        size = 0
        for line in head.split('\r\n'):
            name, _, text = line.partition(':')
            if name.lower() == 'content-length':
                size = int(text)
        answer = await reader.readexactly(size) if size else b''
        return status, json.loads(answer) if answer else None
    finally:
        writer.close()


class Store:
    """The platform's metadata store, one address for each node.

    ``mode`` of an address is ``ok``, ``silent`` (no answer) or ``busy`` (503).
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 1
        self.history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.servers: dict[str, Server] = {}
        self.modes: dict[str, str] = {}
        self.refused = 0
        self.on_commit = None
        self._changed = asyncio.Event()
        self._locks: dict[str, asyncio.Lock] = {}

    async def open(self, node: str) -> str:
        async def handle(method, target, headers, body):
            return await self._answer(node, method, target, body)

        self.modes[node] = 'ok'
        self.servers[node] = await Server(handle).start()
        return self.servers[node].address

    def set_mode(self, mode: str) -> None:
        for node in self.modes:
            self.modes[node] = mode
        self.record.say(f'store: {mode}')

    def put(self, table: str, key: str, value: object, part: str = '') -> None:
        """Write as the operator or a minion does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, part, key), text)], [])

    def get(self, table: str, part: str, key: str) -> tuple[str, int] | None:
        return self.rows.get((table, part, key))

    def _apply(self, puts, removes) -> int:
        self.version += 1
        for key, text in puts:
            self.rows[key] = (text, self.version)
            self.history.append((self.version, key, text))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def _answer(self, node, method, target, body):
        parsed = urlsplit(target)
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                parsed.query, keep_blank_values=True
            ).items()
        }
        mode = self.modes[node]
        if mode == 'silent':
            return NOTHING
        if mode == 'busy':
            return 503, {}
        match method, parsed.path:
            case 'POST', '/-/rows-tx':
                found = await self._transact(json.loads(body))
            case 'GET', '/-/rows-get':
                found = self._get(query)
            case 'GET', '/-/rows-parts':
                found = self._parts(query)
            case 'GET', '/-/rows-feed':
                found = await self._feed(query)
            case _:
                found = 404, {}
        return NOTHING if self.modes[node] == 'silent' else found

    def _stamp(self) -> dict:
        return {'Ver': self.version, 'NowMs': int(time.monotonic() * 1000)}

    async def _transact(self, asked):
        expected = asked.get('ExpectedRev', [])
        puts = asked.get('SetKeys', [])
        removes = asked.get('Remove', [])
        entries = [*expected, *puts, *removes]
        parts = {row.get('part', '') for row in entries}
        size = sum(len(row.get('Value', '')) for row in puts)
        large = [
            row
            for row in puts
            if len(base64.b64decode(row.get('Value', ''))) > ROW_BYTES
        ]
        if large:
            row = large[0]
            self.refused += 1
            if self.refused < 20:
                text = f'{row["Table"]}/{row["part"]}/{row["Key"]}'
                length = len(base64.b64decode(row['Value']))
                self.record.add(
                    f'store: 400, row {text} of {length} bytes, over RowBytes'
                )
            return 400, {}
        if len(entries) > ENTRIES or size > TX_BYTES or len(parts) != 1:
            return 400, {}
        if any(row['Table'] in {'op', 'servers'} for row in [*puts, *removes]):
            return 403, {}
        async with self._locks.setdefault(parts.pop(), asyncio.Lock()):
            await asyncio.sleep(0.004)
            for row in expected:
                known = self.rows.get(_key(row))
                if (known[1] if known else 0) != row['Ver']:
                    return 412, {
                        'rows': [
                            self._row(_key(one))
                            for one in expected
                            if _key(one) in self.rows
                        ],
                        **self._stamp(),
                    }
            self._apply(
                [(_key(row), row.get('Value', '')) for row in puts],
                [_key(row) for row in removes],
            )
            stamp = self._stamp()
        if self.on_commit is not None:
            self.on_commit(puts)
        return 200, stamp

    def _row(self, key) -> dict:
        text, version = self.rows[key]
        return {
            'Table': key[0], 'part': key[1], 'Key': key[2], 'Value': text,
            'Ver': version,
        }  # fmt: skip

    def _get(self, query):
        table, part = query['Table'], query.get('part', '')
        low, high = query.get('From', ''), query.get('To')
        limit = min(int(query.get('Limit', '500')), 500)
        keys = sorted(
            (
                key
                for key in self.rows
                if key[:2] == (table, part)
                and key[2] >= low
                and (high is None or key[2] < high)
            ),
            key=lambda key: key[2].encode(),
        )
        rows, size = [], 0
        for key in keys[:limit]:
            size += len(self.rows[key][0])
            if rows and size > TX_BYTES:
                break
            rows.append(self._row(key))
        more = len(rows) < len(keys)
        return 200, {'rows': rows, 'HasMore': more, **self._stamp()}

    def _parts(self, query):
        names = sorted(
            {key[1] for key in self.rows if key[0] == query['Table']}
        )
        names = [name for name in names if name > query.get('After', '')]
        return 200, {
            'parts': names[:1000],
            'HasMore': len(names) > 1000,
            **self._stamp(),
        }

    async def _feed(self, query):
        after, table = int(query['After']), query['Table']
        until = time.monotonic() + int(query.get('WaitMs', '0')) / 1000
        while True:
            newest = {}
            for version, key, text in reversed(self.history):
                if version <= after:
                    break
                if key[0] == table and key not in newest:
                    newest[key] = (version, text)
            left = until - time.monotonic()
            if newest or left <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
        rows = []
        for key, (version, text) in sorted(
            newest.items(), key=lambda one: one[1][0]
        ):
            row = {'Table': key[0], 'part': key[1], 'Key': key[2]}
            row['Ver'] = version
            if text is None:
                row['Removed'] = True
            else:
                row['Value'] = text
            rows.append(row)
        return 200, {'rows': rows, **self._stamp()}


def _key(row) -> tuple[str, str, str]:
    return row['Table'], row.get('part', ''), row['Key']


class Run:
    """One run on a minion; ``spec`` says how long it works and how it ends."""

    def __init__(self, task: str, number: int, spec: str, began: float) -> None:
        self.task = task
        self.number = number
        self.began = began
        self.stop_at = 0.0
        plan = json.loads(spec)
        self.work_s = plan.get('work_ms', 500) / 1000
        if 'until_ms' in plan:
            self.work_s = max(plan['until_ms'] / 1000 - time.time(), 0.01)
        self.fails = number <= plan.get('failures', 0)
        self.lasts = plan.get('lasts', False)
        self.saves = plan.get('saves', False)
        self.gang = plan.get('gang', 0)

    def saved(self, now: float) -> str:
        """Return the checkpoint, a new one with each CheckpointS of work."""
        number = int((now - self.began) / BOUNDS['CheckpointS'])
        return f'{number:016x}' if self.saves and number else ''


class Life:
    """What one lifetime of a minion holds; all of it is lost in a crash."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.born = int(time.time() * 1000)
        self.started_at = now
        self.token = 0
        self.deadline_ms = 0
        self.runs: dict[str, Run] = {}
        self.barred: dict[str, int] = {}
        self.ends: list[list] = []
        self.acked = 0
        self.last_end = 0
        self.ended_at: dict[int, float] = {}
        self.lapsed_at = 0.0
        self.up = True
        self.ended = asyncio.Event()


class Minion:
    """A minion at one address and with one id, through all its lifetimes."""

    def __init__(self, cell: 'Cell', number: int, service: str) -> None:
        self.cell = cell
        self.id = f'i-{number:08x}'
        self.machine = f'm-{number:05x}'
        self.service = service
        self.capacity = {'Cpu': 16000, 'MemMb': 65536, 'Gpu': 0}
        self.labels = ['a', f'r1-{number // 5}']
        self.server = Server(self._handle)
        self.lives: list[Life] = []
        self.late_starts = 0
        self.on_start = None
        # A grey minion fails all that it starts, and answers each call.
        self.grey = False

    @property
    def life(self) -> Life:
        return self.lives[-1]

    async def start(self) -> None:
        await self.server.start()
        self.live()
        self._watching = asyncio.create_task(self.watch())

    def live(self) -> None:
        """Begin a lifetime: nothing of an earlier one is known."""
        number = len(self.lives) + 1
        name = f'{self.id}/{number}'
        self.lives.append(Life(name, time.monotonic()))
        self.cell.record.add(f'{name} begins')
        self.register()

    def register(self, state: str = 'ready') -> None:
        self.cell.store.put(
            'servers',
            self.id,
            {
                'Service': self.service, 'Address': self.server.address,
                'Zone': 'z1', 'Version': 'v1', 'Slots': 8, 'State': state,
                'ColdRemainingMs': 0, 'Capacity': self.capacity,
                'Labels': self.labels, 'Machine': self.machine,
                'born': self.life.born, 'Sequence': len(self.lives),
            },
        )  # fmt: skip

    def crash(self) -> None:
        """End the lifetime at once; all that runs on it ends."""
        self.life.up = False
        self.cell.record.add(
            f'{self.life.name} crashes with {len(self.life.runs)} runs'
        )
        for run in self.life.runs.values():
            self.cell.run_ends(self.life, run, 'lost')
        self.life.runs.clear()

    async def lose_power(self, for_s: float) -> None:
        """Crash silently; begin a new lifetime under the same id after it.

        Nothing answers meanwhile. Afterwards a channel of before is reset once
        something is sent on it.
        """
        self.server.dark = True
        self.server.resets = True
        self.server.silence()
        self.crash()
        await asyncio.sleep(for_s)
        self.server.dark = False
        self.live()

    def _clock_ms(self, life: Life) -> int:
        return int((time.monotonic() - life.started_at) * 1000)

    def _extend(self, life: Life, deadline_ms: int) -> None:
        if self._clock_ms(life) > life.deadline_ms > 0:
            life.lapsed_at = self.cell.record.now()
        longest = self._clock_ms(life) + HOLD_MAX_MS
        life.deadline_ms = max(life.deadline_ms, min(deadline_ms, longest))

    async def _handle(self, method, target, headers, body):
        life = self.life
        if not life.up:
            return NOTHING
        if method == 'GET':
            return 200, {}
        if headers.get('cyclamentrack-expected-instance', self.id) != self.id:
            return 421, {}
        asked = json.loads(body)
        token = asked.get('FencingToken', 0)
        if token < life.token:
            self.cell.record.add(f'{life.name} {target} 409 fence')
            return self._reply(life, 409, Reason='fence')
        life.token = token
        match target:
            case '/-/run-start':
                found = self._start(life, asked)
            case '/-/run-stop':
                found = self._stop(life, asked)
            case '/-/hold':
                found = await self._hold(life, asked)
            case '/-/pace':
                found = self._reply(life, 200)
            case _:
                found = 404, {}
        return found if life.up else NOTHING

    def _reply(self, life: Life, status: int, **fields):
        return status, {'ClockMs': self._clock_ms(life), **fields}

    def _start(self, life: Life, asked):
        task, number = asked['Task'], asked['Run']
        text = f'{life.name} start {task} run {number}'
        current = life.runs.get(task)
        reason = ''
        if current is not None and current.number == number:
            self.cell.record.add(f'{text}: 200, is there already')
            return self._reply(life, 200)
        if current is not None or number <= life.barred.get(task, 0):
            self._extend(life, asked['DeadlineMs'])
            reason = 'old'
        elif asked['DeadlineMs'] < self._clock_ms(life):
            reason = 'late'
        elif self.cell.needs_ticket(task) and not self.cell.ticket_holds(
            asked.get('Ticket', ''), task, life
        ):
            reason = 'ticket'
        if reason:
            self.cell.refused[reason] = self.cell.refused.get(reason, 0) + 1
            if self.cell.refused[reason] < 200:
                self.cell.record.add(f'{text}: 409 {reason}')
            return self._reply(life, 409, Reason=reason)
        self._extend(life, asked['DeadlineMs'])
        run = Run(task, number, asked['Spec'], time.monotonic())
        life.runs[task] = run
        self.cell.record.add(text)
        self.cell.run_begins(life, run)
        self._plan(life, run)
        if self.on_start is not None and self.on_start(life, run):
            return NOTHING
        return self._reply(life, 200)

    def _plan(self, life: Life, run: Run) -> None:
        """End the run after its work, unless it ends before."""
        if self.grey:
            self._end_later(life, run, 'failed', GREY_S)
        if run.gang:
            self.cell.join_gang(self, life, run)
        elif not run.lasts and not self.grey:
            how = 'failed' if run.fails else 'done'
            self._end_later(life, run, how, run.work_s)

    def end_later(self, life: Life, run: Run, how: str, in_s: float) -> None:
        """End a run of a gang with the others."""
        self._end_later(life, run, how, in_s)

    def _end_later(self, life: Life, run: Run, how: str, in_s: float) -> None:
        def end() -> None:
            if life.up and life.runs.get(run.task) is run:
                lapsed = self._clock_ms(life) > life.deadline_ms
                self._end(life, run, 'lapsed' if lapsed else how)

        asyncio.get_running_loop().call_later(in_s, end)

    async def watch(self) -> None:
        """End all runs when the lease ends."""
        while True:
            await asyncio.sleep(0.02)
            life = self.life
            if life.runs and self._clock_ms(life) > life.deadline_ms:
                life.lapsed_at = self.cell.record.now()
                for run in list(life.runs.values()):
                    self._end(life, run, 'lapsed')

    def end(self, life: Life, run: Run, how: str) -> None:
        """End a run because another member of its gang has ended."""
        self._end(life, run, how)

    def _end(self, life: Life, run: Run, how: str) -> None:
        life.runs.pop(run.task)
        life.barred[run.task] = max(life.barred.get(run.task, 0), run.number)
        life.last_end += 1
        life.ended_at[life.last_end] = self.cell.record.now()
        saved = run.saved(time.monotonic())
        life.ends.append([life.last_end, run.task, run.number, how, saved])
        self.cell.record.add(
            f'{life.name} end {life.last_end}: '
            f'{run.task} run {run.number} {how}'
        )
        self.cell.run_ends(life, run, how)
        life.ended.set()

    def _stop(self, life: Life, asked):
        task, number = asked['Task'], asked['Run']
        self.cell.record.add(f'{life.name} stop {task} run {number}')
        run = life.runs.get(task)
        if run is not None and run.number == number:
            if not run.stop_at:
                run.stop_at = time.monotonic() + STOP_S
                self._end_later(life, run, 'stopped', STOP_S)
        else:
            life.barred[task] = max(life.barred.get(task, 0), number)
        return self._reply(life, 200)

    async def _hold(self, life: Life, asked):
        if 'DeadlineMs' in asked:
            self._extend(life, asked['DeadlineMs'])
        cursor = asked.get('AckCursor', 0)
        for end in life.ends:
            if life.acked < end[0] <= cursor:
                self.cell.noted(life, end)
        life.acked = max(life.acked, cursor)
        life.ends = [end for end in life.ends if end[0] > cursor]
        wait_s = asked.get('WaitMs', 0) / 1000
        if not life.ends and wait_s:
            life.ended.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await life.ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                run.saved(now),
                100
                if run.lasts
                else min(99, int(100 * (now - run.began) / run.work_s)),
                0,
            ]
            for run in life.runs.values()
        ]
        return self._reply(
            life, 200, Running=running, Finished=life.ends[:500], born=life.born
        )


class Node:
    """One process of the project, started as the deploy file says."""

    def __init__(self, cell: 'Cell', number: int) -> None:
        self.cell = cell
        self.name = f'front-z1-{number}'
        self.front = ''
        self.process: asyncio.subprocess.Process | None = None
        self._boot = cell.folder / f'{self.name}.json'
        self._log = cell.folder / f'{self.name}.log'

    async def prepare(self, advice: str) -> None:
        self.front = f'{HOST}:{free_port()}'
        peer = free_port()
        store = await self.cell.store.open(self.name)
        settings = {
            'Node': self.name, 'Role': 'node', 'MachineClass': 'front',
            'Serves': ['front'], 'Ip': HOST, 'Zone': 'z1', 'Region': 'r',
            'Zones': {'z1': 'r'},
            'Listen': {
                'Front': self.front,
                'Readiness': f'{HOST}:{free_port()}',
            },
            'PortRange': [peer, peer], 'Seeds': [], 'Bootstrap': True,
            'InTolerance': False,
            'Limits': {
                'CpuShare': 0.537, 'Cores': 2, 'MemoryMb': 300,
                'MaxFds': 4100, 'LinkMbps': 1000.0, 'DiskMb': 0,
            },
            'DataDir': None, 'Discovery': 'platform', 'Entry': 'vip',
            'HeartbeatMs': 1500,
            'Contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'sched', 'platform', 'advice'],
            'FaultTolerance': {'Machines': 1, 'Zones': 0, 'Regions': 0},
            'Bounds': BOUNDS, 'Orders': 'call', 'Advice': advice,
            'platform': {
                'Address': store, 'form': 'table', 'WritesPerS': 600,
                'ReadsPerS': 2000, 'TxMs': 4.0, 'PartitionWritesS': 250,
                'RowBytes': ROW_BYTES, 'Across': True, 'HistoryS': 20,
                'BlobBytes': 8388608, 'BlobMs': 25.0, 'BlobMbS': 80.0,
            },
        }  # fmt: skip
        self._boot.write_text(json.dumps(settings), encoding='utf-8')

    async def start(self) -> None:
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'cyclamentrack_platform',
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'CYCLAMENTRACK_BOOT': str(self._boot),
                },
            )
        self.cell.record.say(f'{self.name} started')

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.cell.record.say(f'{self.name} gets {number.name}')

    async def end(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()


class Cell:
    """A small deployment: store, advice, minions, nodes and their clients."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(record)
        self.minions: list[Minion] = []
        self.nodes: list[Node] = []
        self.refused: dict[str, int] = {}
        self.active: dict[str, list[tuple[str, int]]] = {}
        self.noted_done: dict[str, float] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.done: dict[str, int] = {}
        self.broken: list[str] = []
        self._tickets: dict[str, tuple[str, str, float]] = {}
        self._advice: Server | None = None
        self._advised: list[str] = []
        self._services: tuple[str, ...] = ()
        self._prefixes: dict[str, str] = {}
        self.advice_ms = (13.0, 0.19, 2000)
        # The minions that the advice allows, all if empty.
        self.good: set[str] = set()
        self._gangs: dict[tuple[str, int], list[tuple[Minion, Life, Run]]] = {}

    async def start(
        self,
        *,
        nodes: int,
        minions: int,
        routes: list[dict],
        services: tuple[str, ...] = ('pool-a',),
    ) -> None:
        """Start all; each service has so many minions."""
        self._services = services
        self._advice = await Server(self._advise).start()
        self._advised = [one['PathPrefix'] for one in routes if 'Advice' in one]
        self.configure(1, routes)
        for number in range(minions * len(services)):
            minion = Minion(self, number, services[number // minions])
            self.minions.append(minion)
            await minion.start()
        for number in range(1, nodes + 1):
            node = Node(self, number)
            await node.prepare(self._advice.address)
            self.nodes.append(node)
            await node.start()
        await self.wait_ready()

    def configure(self, version: int, routes: list[dict]) -> None:
        """Write a manifest, as the operator does."""
        self.store.put(
            'op',
            'config',
            {
                'Version': version,
                'Routes': routes,
                'Services': [
                    {
                        'Name': service, 'HealthPath': '/health',
                        'MaxConns': 64, 'Protocol': 'h1', 'Tls': False,
                        'RejectsOverload': False, 'Standby': False,
                    }
                    for service in self._services
                ],
                'Limits': {'MaxBodyBytes': 262144},
            },
        )  # fmt: skip
        names = ', '.join(
            f'{one["Name"]} to {one["Service"]}' for one in routes
        )
        self.record.say(f'manifest {version} acknowledged, routes: {names}')

    def put_entry(self, name: str, entry: dict) -> None:
        """Write an entry beside those of the minions, as another writer."""
        self.store.put('servers', name, entry)
        self.record.say(f'servers/{name} is written by another: {entry}')

    async def wait_ready(self) -> None:
        """Wait until each node serves a queue and its pool has an owner."""
        for _ in range(200):
            await asyncio.sleep(0.1)
            if self.owner() is not None and all(
                [await self._is_ready(node) for node in self.nodes]
            ):
                return
        raise CannotRunError('the nodes did not get ready')

    async def submit(self, node: Node, path: str, body: dict) -> None:
        """Hand a job in, which must be accepted."""
        status, answer = await self.client(node, 'POST', path, body)
        if status != 200:
            raise CannotRunError(f'POST {path}: {status} {answer}')

    async def state(self, node: Node, path: str) -> str:
        """Return what a job is shown as, or the status without one."""
        status, answer = await self.client(node, 'GET', path)
        return answer['State'] if status == 200 else f'status {status}'

    def running(self, name: str) -> int:
        """Return how many runs of a job there are now."""
        return sum(
            len(runs)
            for task, runs in self.active.items()
            if task.startswith(f'{name}.')
        )

    async def neglected(
        self, node: Node, paths: list[str], *, for_s: float, others: str
    ) -> list[str]:
        """Watch jobs; return those with nothing running for over 3 s.

        Called ``finish_s`` after the end of the traffic. What runs of other
        jobs may not fill the minions; ``others`` says why it doesn't.
        """
        since = {path: self.record.now() for path in paths}
        broken: dict[str, str] = {}
        until = self.record.now() + for_s
        while since and self.record.now() < until:
            await asyncio.sleep(0.25)
            for path in list(since):
                now = self.record.now()
                if self.running(path.rpartition('/')[2]):
                    since[path] = now
                elif now - since[path] > NEGLECT_S:
                    shown = await self.state(node, path)
                    since.pop(path)
                    if shown != 'completed':
                        broken[path] = (
                            f'LOST: {path} is shown as {shown!r}, and nothing '
                            f'of it has run for {NEGLECT_S} s, {others}'
                        )
        return list(broken.values())

    async def _is_ready(self, node: Node) -> bool:
        status, _ = await self.client(node, 'GET', '/q/', quiet=True)
        return status == 200

    def owner(self) -> Node | None:
        """The node that wrote to the store under a condition last.

        It is found by the addresses in the rows of the system's own table.
        """
        for (table, _, _), (text, _) in self.rows_of('claims'):
            del table
            body = base64.b64decode(text)
            for node in self.nodes:
                if node.name.encode() in body:
                    return node
        return None

    def rows_of(self, table: str):
        return [one for one in self.store.rows.items() if one[0][0] == table]

    async def client(
        self, node: Node, method: str, path: str, body=None, *,
        quiet: bool = False, timeout_s: float = 3.0,
    ):  # fmt: skip
        if method == 'POST':
            prefix, _, name = path.rpartition('/')
            self._prefixes[name] = f'{prefix}/'
        status, answer = await call(
            node.front,
            method,
            path,
            headers={
                'Host': 'q.example',
                'Cyclamentrack-Deadline-Ms': str(int(timeout_s * 1000)),
            },
            body=body,
            timeout_s=timeout_s,
        )
        if not quiet:
            self.record.add(
                f'client: {method} {path} at {node.name}: {status} {answer}'
            )
        return status, answer

    async def _advise(self, method, target, headers, body):
        asked = json.loads(body)
        decide_ms, each_ms, valid_ms = self.advice_ms
        await asyncio.sleep(
            (decide_ms + each_ms * len(asked['Workers'])) / 1000
        )
        good = []
        for worker in asked['Workers']:
            ticket = f't{len(self._tickets):07d}'
            until = time.monotonic() + valid_ms / 1000
            lives = [one for one in self.minions if one.id == worker]
            if not lives or (self.good and worker not in self.good):
                continue
            self._tickets[ticket] = (asked['Step'], lives[0].life.name, until)
            good.append([worker, ticket])
        return 200, {'Good': good, 'ValidMs': valid_ms}

    def needs_ticket(self, task: str) -> bool:
        """Return whether the task's queue has advice."""
        return self._prefixes.get(task.partition('.')[0]) in self._advised

    def ticket_holds(self, ticket: str, task: str, life: Life) -> bool:
        known = self._tickets.get(ticket)
        if known is None:
            return False
        step, name, until = known
        same = task.rpartition('.')[0] == step and name == life.name
        return same and time.monotonic() <= until

    def run_begins(self, life: Life, run: Run) -> None:
        """Check the rule TWICE at each start."""
        self.starts.append((self.record.now(), run.task, run.number, life.name))
        others = self.active.setdefault(run.task, [])
        if others:
            self.broken.append(
                f'TWICE: {run.task} run {run.number} begins on {life.name} '
                f'while it runs as {others}'
            )
            self.record.say(self.broken[-1])
        others.append((life.name, run.number))
        if run.task in self.noted_done:
            self.broken.append(
                f'TWICE: {run.task} run {run.number} begins on {life.name}, '
                'though a run has ended done and was taken note of'
            )
            self.record.say(self.broken[-1])

    def join_gang(self, minion: Minion, life: Life, run: Run) -> None:
        """Let a gang work once all its members are there."""
        key = (run.task.rpartition('.')[0], run.number)
        members = self._gangs.setdefault(key, [])
        members.append((minion, life, run))
        alone_s = BOUNDS['GangTimeoutMs'] / 1000
        if len(members) < run.gang:
            minion.end_later(life, run, 'alone', alone_s + run.work_s)
            return
        if not any(one[0].grey for one in members):
            for one, its_life, its_run in members:
                one.end_later(its_life, its_run, 'done', run.work_s)

    def run_ends(self, life: Life, run: Run, how: str) -> None:
        self.active[run.task].remove((life.name, run.number))
        key = (run.task.rpartition('.')[0], run.number)
        if run.gang and how != 'done':
            for one, its_life, its_run in self._gangs.pop(key, []):
                if its_life.runs.get(its_run.task) is its_run:
                    one.end(its_life, its_run, 'broken')
        if how == 'done':
            self.done[run.task] = self.done.get(run.task, 0) + 1

    def noted(self, life: Life, end: list) -> None:
        """An end is taken note of: the cursor has reached it."""
        number, task, run, how, _ = end
        self.record.add(f'{life.name} end {number} noted: {task} {run} {how}')
        ended_at = life.ended_at[number]
        if how == 'done' and life.lapsed_at <= ended_at:
            self.noted_done[task] = self.record.now()
            later = [
                one
                for one in self.starts
                if one[1] == task and one[0] > ended_at
            ]
            if later:
                self.broken.append(
                    f'TWICE: run {run} of {task} ended done and is taken note '
                    f'of, and it was started again: {later}'
                )
                self.record.say(self.broken[-1])

    async def end(self) -> None:
        for node in self.nodes:
            await node.end()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def job(*, count: int, cpu: int, spec: dict, mem: int = 64, **fields) -> dict:
    """Return the body of a job with one step."""
    step = {
        'Count': count, 'Cpu': cpu, 'MemMb': mem,
        'EstimateMs': spec.get('work_ms', 500), **fields,
    }  # fmt: skip
    return {'Spec': json.dumps(spec), 'Steps': [step]}


def route(name: str, prefix: str, **fields) -> dict:
    """Return a route of a manifest."""
    return {
        'Name': name, 'Host': 'q.example', 'PathPrefix': prefix,
        'Type': 'unsafe', 'TimeoutMs': 3000, 'TargetLatencyMs': 1000,
        'Priority': 1, 'Service': 'pool-a', 'MaxAttempts': 3, 'Stretch': 4.0,
        **fields,
    }  # fmt: skip


ADVICE = {'DecideMs': 13.0, 'EachMs': 0.19, 'ValidMs': 2000}


def main(folder: Path, play) -> None:
    """Play a case; exit with 1 if the rule was broken, 2 if it couldn't run."""
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.say(f'case {folder.name}, trouble {int(trouble)}')
    status = 2
    try:
        status = asyncio.run(_play(record, play, trouble))
    except Exception as error:
        record.say(f'could not run: {error!r}')
    finally:
        record.say(f'exit {status}')
        record.write()
    sys.exit(status)


async def _play(record: Record, play, trouble: bool) -> int:
    cell = Cell(record)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(110):
            broken = await play(cell, trouble)
    finally:
        await cell.end()
    for text in broken:
        record.say(f'broken: {text}')
    return 1 if broken else 0
