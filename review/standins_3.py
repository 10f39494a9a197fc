"""Stand-ins for the platform, its minions and its clients, on loopback.

They follow the published protocol and use the standard library alone. The
scripts of the cases start them in their own process; the nodes are processes
of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter, defaultdict
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
ROW_BYTES = 65536
HOLD_MAX_MS = 6000
DRAIN_S = 2.0
HEARTBEAT_S = 1.5
MEMORY_MB = 300
_TX_S = 0.004
_WRITES_PER_S = 600
_READS_PER_S = 2000
_RESTART_S = 0.5
_PAGE_ROWS = 500
_PAGE_BYTES = 1_000_000
_MAX_ENTRIES = 100
_STOP_S = 0.1
_TICK_S = 0.02
_WRITERS = set()
# Cases that run side by side begin at different ports.
_PORTS = itertools.cycle(
    range(
        12000 + os.getpid() * 97 % 9000, 12000 + os.getpid() * 97 % 9000 + 8000
    )
)
_REASONS = defaultdict(lambda: 'Status', {200: 'OK'})


def free_ports(count):
    """Return some ports of the loopback address that are free now.

    They lie below those that the kernel gives to outgoing connections.
    """
    found = []
    while len(found) < count:
        port = next(_PORTS)
        with socket.socket() as one, contextlib.suppress(OSError):
            one.bind((HOST, port))
            found.append(port)
    return found


class Record:
    """The record of a run: what was sent, answered and run, with times."""

    def __init__(self, path):
        """Begin a new file."""
        self._path = Path(path)
        self._path.write_text('', encoding='utf-8')
        self._began = time.monotonic()

    @property
    def now(self):
        """Seconds since the beginning."""
        return time.monotonic() - self._began

    def add(self, text):
        """Add a line."""
        with self._path.open('a', encoding='utf-8') as file:
            file.write(f'{self.now:8.3f} {text}\n')


async def read_message(reader):
    """Read the head and the body of one HTTP message; ``None`` at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    body = b''
    length = int(headers.get('content-length', '0'))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


async def serve(port, handle):
    """Serve HTTP requests on a port; a handler's ``None`` closes instead."""

    async def connection(reader, writer):
        _WRITERS.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, OSError
        ):
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(' ')
                path, _, query = target.partition('?')
                reply = await handle(
                    method,
                    path,
                    dict(parse_qsl(query, keep_blank_values=True)),
                    headers,
                    json.loads(body) if body else {},
                )
                if reply is None:
                    break
                status, content = reply
                out = json.dumps(content).encode()
                writer.write(
                    (
                        f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
                        'Content-Type: application/json\r\n'
                        f'Content-Length: {len(out)}\r\n\r\n'
                    ).encode()
                    + out
                )
                await writer.drain()
        _WRITERS.discard(writer)
        writer.close()

    return await asyncio.start_server(connection, HOST, port)


async def request(
    port, method, target, *, host='', body=None, timeout_s=3.0, key=''
):
    """Send one request over a new connection, with a tenant's key if given.

    Return the status and the decoded body, or ``None`` without an answer.
    """
    content = b'' if body is None else body
    if not isinstance(content, bytes):
        content = json.dumps(content).encode()
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: {host}\r\n'
        'Content-Type: application/json\r\n'
        f'Cyclamentrack-Deadline-Ms: {int(timeout_s * 1000)}\r\n'
        f'Content-Length: {len(content)}\r\nConnection: close\r\n'
    )
    if key:
        head += f'Authorization: Bearer {key}\r\n'
    head += '\r\n'
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + content)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    status = int(message[0].split(' ')[1])
    return status, json.loads(message[2]) if message[2] else {}


class Store:
    """The platform's metadata store: rows, transactions and feeds."""

    def __init__(self, port):
        """Start empty."""
        self.port = port
        self.rows = {}
        self.version = 0
        self._names = defaultdict(dict)
        self._log = []
        self._written = asyncio.Event()
        self._began = time.monotonic()
        self._calls = Counter()

    def put(self, table, key, value):
        """Write a row as the platform itself does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, '', key), text)], [])

    def remove(self, table, key):
        """Remove a row as the platform itself does."""
        if (table, '', key) in self.rows:
            self._apply([], [(table, '', key)])

    async def handle(self, method, path, query, headers, body):
        """Answer one call."""
        del method, headers
        if self._is_beyond_rate(write=path == '/-/rows-tx'):
            return 429, {}
        if path == '/-/rows-tx':
            await asyncio.sleep(_TX_S)
            return self._transact(body)
        if path == '/-/rows-get':
            return self._get(query)
        if path == '/-/rows-parts':
            return self._parts(query)
        if path == '/-/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _is_beyond_rate(self, *, write):
        second = int(time.monotonic()), write
        self._calls[second] += 1
        limit = _WRITES_PER_S if write else _READS_PER_S
        return self._calls[second] > limit

    def _stamp(self, **content):
        now_ms = int((time.monotonic() - self._began) * 1000)
        return {**content, 'Ver': self.version, 'NowMs': now_ms}

    def _apply(self, puts, removes):
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self._names[key[:2]][key[2]] = None
            self._log.append((self.version, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self._names[key[:2]].pop(key[2])
                self._log.append((self.version, key, None))
        self._written.set()
        self._written = asyncio.Event()

    def _row(self, key):
        value, version = self.rows[key]
        return {
            'Table': key[0],
            'part': key[1],
            'Key': key[2],
            'Value': value,
            'Ver': version,
        }

    def _transact(self, body):
        expected = [(_key(one), one['Ver']) for one in body['ExpectedRev']]
        puts = [(_key(one), one['Value']) for one in body['SetKeys']]
        removes = [_key(one) for one in body['Remove']]
        keys = [*(key for key, _ in (*expected, *puts)), *removes]
        if len(keys) > _MAX_ENTRIES or len({key[1] for key in keys}) > 1:
            return 400, {}
        if any(len(base64.b64decode(text)) > ROW_BYTES for _, text in puts):
            return 400, {}
        if any(key[0] in {'op', 'servers'} for key, _ in puts):
            return 403, {}
        for key, version in expected:
            if (self.rows[key][1] if key in self.rows else 0) != version:
                found = [
                    self._row(one) for one, _ in expected if one in self.rows
                ]
                return 412, self._stamp(rows=found)
        self._apply(puts, removes)
        return 200, self._stamp()

    def _get(self, query):
        table, part = query['Table'], query.get('part', '')
        first, last = query.get('From', ''), query.get('To')
        limit = min(int(query.get('Limit', _PAGE_ROWS)), _PAGE_ROWS)
        names = sorted(
            name
            for name in self._names[table, part]
            if name >= first and (last is None or name < last)
        )
        found, size = [], 0
        for name in names[:limit]:
            row = self._row((table, part, name))
            size += len(row['Value'])
            if found and size > _PAGE_BYTES:
                break
            found.append(row)
        return 200, self._stamp(rows=found, HasMore=len(found) < len(names))

    def _parts(self, query):
        after = query.get('After', '')
        names = sorted(
            part
            for (table, part), names in self._names.items()
            if table == query['Table'] and names
        )
        if after:
            names = [one for one in names if one > after]
        return 200, self._stamp(parts=names[:1000], HasMore=len(names) > 1000)

    async def _feed(self, query):
        after = int(query.get('After', '0'))
        ends = time.monotonic() + int(query.get('WaitMs', '0')) / 1000
        while not (found := self._changes(query['Table'], after)):
            left = ends - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._written.wait()
        return 200, self._stamp(rows=found)

    def _changes(self, table, after):
        newest = {}
        for version, key, value in reversed(self._log):
            if version <= after:
                break
            if key[0] == table and key not in newest:
                newest[key] = (version, value)
        rows = []
        for key, (version, value) in reversed(newest.items()):
            row = {
                'Table': key[0],
                'part': key[1],
                'Key': key[2],
                'Ver': version,
            }
            rows.append(
                {**row, 'Removed': True}
                if value is None
                else {**row, 'Value': value}
            )
        return rows


def _key(one):
    return one['Table'], one.get('part', ''), one['Key']


class Advice:
    """The service that tells which minions may run a step."""

    def __init__(self, port, *, good, decide_s, each_s, valid_s):
        """Allow the minions that ``good(step, id)`` holds for."""
        self.port = port
        self.calls = []
        self._good = good
        self._decide_s = decide_s
        self._each_s = each_s
        self._valid_s = valid_s
        self._tickets = {}

    async def handle(self, method, path, query, headers, body):
        """Answer one call after the time that the decision takes."""
        del method, path, query, headers
        named = body['Workers']
        await asyncio.sleep(self._decide_s + self._each_s * len(named))
        good = []
        for name in named:
            if self._good(body['Step'], name):
                ticket = f'{random.getrandbits(48):012x}'
                until = time.monotonic() + self._valid_s
                self._tickets[ticket] = (body['Step'], name, until)
                good.append([name, ticket])
        self.calls.append((body['Step'], named, [one[0] for one in good]))
        return 200, {'Good': good, 'ValidMs': int(self._valid_s * 1000)}

    def admits(self, ticket, task, minion):
        """Return whether a ticket holds for the start of a task."""
        found = self._tickets.get(ticket)
        if found is None:
            return False
        step, name, until = found
        fits = (step, name) == (task.rpartition('.')[0], minion)
        return fits and time.monotonic() < until


class Minion:
    """One life of a machine: runs, ends, a lease and a fencing token.

    ``work(task, run, spec)`` returns how long a run works, in seconds, and how
    it ends; ``None`` for the time means that it lasts.
    """

    def __init__(
        self, platform, *, machine, service, cpu, mem, work, name=None
    ):
        """Begin a life; it registers with ``run``."""
        self.id = name or f'm-{random.getrandbits(40):010x}'
        self.machine = machine
        self.service = service
        self.port = free_ports(1)[0]
        self.born = int(time.time() * 1000)
        self.capacity = {'Cpu': cpu, 'MemMb': mem, 'Gpu': 0}
        self.state = 'ready'
        self.runs = {}
        self.up = True
        self.advice = None
        self._platform = platform
        self._work = work
        self._began = time.monotonic()
        self._token = 0
        self._until_ms = 0
        self._ends = []
        self._last_end = 0
        self._barred = {}
        self._sequence = 0
        self._server = None
        self._ended = asyncio.Event()
        self._tasks = []

    @property
    def clock_ms(self):
        """The minion's own steady clock."""
        return int((time.monotonic() - self._began) * 1000)

    async def run(self):
        """Serve calls and check in."""
        self._server = await serve(self.port, self._handle)
        self._tasks = [
            asyncio.create_task(self._check_in()),
            asyncio.create_task(self._advance()),
        ]

    def register(self):
        """Write the entry in the platform's store."""
        self._sequence += 1
        self._platform.store.put(
            'servers',
            self.id,
            {
                'Service': self.service,
                'Address': f'{HOST}:{self.port}',
                'Zone': 'a',
                'Version': '1',
                'Slots': 8,
                'State': self.state,
                'ColdRemainingMs': 0,
                'Sequence': self._sequence,
                'Capacity': self.capacity,
                'Labels': ['a', 'r1'],
                'Machine': self.machine,
                'born': self.born,
                **(
                    {'RemainingMs': int(DRAIN_S * 1000)}
                    if self.state != 'ready'
                    else {}
                ),
            },
        )

    async def drain(self):
        """Leave as planned: report it, serve for a while longer, then exit."""
        self.state = 'draining'
        self.register()
        self._platform.record.add(f'minion {self.id} reports draining')
        await asyncio.sleep(DRAIN_S + 0.1)
        self.end('leaves')

    def end(self, why):
        """End the process; all runs end with it."""
        self.up = False
        for task, run in self.runs:
            self._platform.record.add(
                f'minion {self.id} {why}: run {run} of {task} ends with it'
            )
        self.runs.clear()
        for one in self._tasks:
            one.cancel()
        self._server.close()
        self._ended.set()
        if why == 'leaves':
            self._platform.store.remove('servers', self.id)
        else:
            asyncio.get_running_loop().call_later(
                3 * HEARTBEAT_S, self._platform.store.remove, 'servers', self.id
            )

    async def _check_in(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _advance(self):
        while True:
            await asyncio.sleep(_TICK_S)
            now = time.monotonic()
            lapsed = self.clock_ms > self._until_ms
            for key, one in list(self.runs.items()):
                if one['stop_at'] and now >= one['stop_at']:
                    self._end_run(key, 'stopped')
                elif (
                    one['work_s'] is not None
                    and now >= one['at'] + one['work_s']
                ):
                    self._end_run(key, one['how'])
                elif lapsed:
                    self._end_run(key, 'lapsed')

    def _end_run(self, key, how):
        self.runs.pop(key)
        self._last_end += 1
        self._ends.append([self._last_end, *key, how, ''])
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        self._platform.record.add(
            f'minion {self.id} run {key[1]} of {key[0]}: {how}'
        )
        self._platform.ends.append((self._platform.record.now, *key, how))
        self._ended.set()
        self._ended = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        del method, query
        if not self.up:
            return None
        if headers.get('cyclamentrack-expected-instance', self.id) != self.id:
            return 421, {}
        if path == '/-/health':
            return 200, {}
        token = body.get('FencingToken', 0)
        if token < self._token:
            return 409, self._stamp(Reason='fence')
        self._token = token
        if path == '/-/run-start':
            return self._start(body)
        if path == '/-/run-stop':
            self._stop(body['Task'], body['Run'])
            return 200, self._stamp()
        if path == '/-/pace':
            return 200, self._stamp()
        return await self._hold(body)

    def _stamp(self, **content):
        return {**content, 'ClockMs': self.clock_ms, 'born': self.born}

    def _extend(self, body):
        limit = self.clock_ms + HOLD_MAX_MS
        wanted = min(body.get('DeadlineMs', 0), limit)
        self._until_ms = max(self._until_ms, wanted)

    def _start(self, body):
        key = (body['Task'], body['Run'])
        if key in self.runs:
            return 200, self._stamp()
        if body['DeadlineMs'] < self.clock_ms:
            return 409, self._stamp(Reason='late')
        if self.advice and not self.advice.admits(
            body.get('Ticket', ''), body['Task'], self.id
        ):
            return 409, self._stamp(Reason='ticket')
        self._extend(body)
        if key[1] <= self._barred.get(key[0], 0):
            return 409, self._stamp(Reason='old')
        work_s, how = self._work(*key, body['Spec'])
        self.runs[key] = {
            'at': time.monotonic(),
            'work_s': work_s,
            'how': how,
            'stop_at': 0.0,
        }
        self._platform.record.add(
            f'minion {self.id} starts run {key[1]} of {key[0]}'
        )
        self._platform.starts.append((self._platform.record.now, *key, self.id))
        return 200, self._stamp()

    def _stop(self, task, run):
        found = self.runs.get((task, run))
        if found is None:
            self._barred[task] = max(self._barred.get(task, 0), run)
        elif not found['stop_at']:
            found['stop_at'] = time.monotonic() + _STOP_S

    async def _hold(self, body):
        self._extend(body)
        cursor = body.get('AckCursor', 0)
        self._ends = [one for one in self._ends if one[0] > cursor]
        if not self._ends and body.get('WaitMs'):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body['WaitMs'] / 1000):
                    await self._ended.wait()
        if not self.up:
            return None
        running = []
        now = time.monotonic()
        for (task, run), one in self.runs.items():
            percent = 100
            if one['work_s'] is not None and one['how'] != 'lasting':
                percent = int(100 * min((now - one['at']) / one['work_s'], 1.0))
            running.append([task, run, '', percent, 0])
        return 200, self._stamp(Running=running, Finished=self._ends[:500])


class Node:
    """A node of the cell, started with the deploy file's command.

    As the platform does, it is restarted when it ends, and killed when it
    takes more memory than its machine has.
    """

    def __init__(self, platform, name):
        """Prepare the settings; ``run`` starts the process."""
        self.name = name
        self.exits = []
        self.killed_for_memory = 0
        self.peak_mb = 0.0
        self._platform = platform
        self._process = None
        self._ports = free_ports(3)
        self.front = self._ports[0]
        self._path = platform.folder / f'{name}.json'
        self._path.write_text(json.dumps(self._settings()), encoding='utf-8')
        self._log = (platform.folder / f'{name}.log').open('ab')
        self.dark_s = 0.0

    @property
    def log_path(self):
        """Where the process's output goes."""
        return Path(self._log.name)

    def _settings(self):
        front, ready, peer = self._ports
        return {
            'Node': self.name,
            'Role': 'node',
            'MachineClass': 'front',
            'Serves': ['front'],
            'Ip': HOST,
            'Zone': 'a',
            'Region': 'r',
            'Zones': {'a': 'r'},
            'Listen': {
                'Front': f'{HOST}:{front}',
                'Readiness': f'{HOST}:{ready}',
            },
            'PortRange': [peer, peer],
            'Bootstrap': True,
            'Limits': {
                'CpuShare': 0.537,
                'Cores': 2,
                'MemoryMb': MEMORY_MB,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
            },
            'Bounds': {
                'ContactMs': 3000,
                'AckMs': 4000,
                'DrainMs': int(DRAIN_S * 1000),
                'GraceS': 6,
                'ConfigApplyMs': 2000,
                'HoldMaxMs': HOLD_MAX_MS,
                'StopTimeoutMs': 900,
                'GangTimeoutMs': 3000,
                'cancel_ms': 3000,
                'visible_ms': 3000,
                'early_ms': 250,
                'finish_s': 14,
                'status_s': 120,
            },
            'Orders': 'call',
            'Advice': f'{HOST}:{self._platform.advice_port}',
            'platform': {
                'Address': f'{HOST}:{self._platform.store.port}',
                'form': 'table',
                'WritesPerS': 600,
                'ReadsPerS': 2000,
                'TxMs': 4.0,
                'RowBytes': ROW_BYTES,
            },
        }

    async def run(self):
        """Run the process, and again whenever it ends, until cancelled."""
        command = _deploy_command()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['CYCLAMENTRACK_BOOT'] = str(self._path)
        while True:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=self._log,
                stderr=self._log,
            )
            self._platform.record.add(f'node {self.name} started')
            code = await self._process.wait()
            self._platform.record.add(f'node {self.name} ended code={code}')
            self.exits.append(code)
            await asyncio.sleep(_RESTART_S + self.dark_s)
            self.dark_s = 0.0

    def lose_power(self, dark_s):
        """End the process at once; it is started again after some seconds."""
        self.dark_s = dark_s
        self.send(signal.SIGKILL)

    def send(self, number):
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        try:
            text = Path(f'/proc/{self._process.pid}/status').read_text('utf-8')
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def limit_memory(self):
        """Kill the process if it takes more memory than its machine has."""
        used = self.memory_mb()
        self.peak_mb = max(self.peak_mb, used)
        if used > MEMORY_MB:
            self.killed_for_memory += 1
            self._platform.record.add(
                f'node {self.name} takes {used:.0f} of {MEMORY_MB} MB, killed'
            )
            self.send(signal.SIGKILL)

    async def stop(self):
        """End the process for good."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            with contextlib.suppress(Exception):
                await self._process.wait()
        self._log.close()


def _deploy_command():
    text = (ROOT / 'deploy' / 'system.toml').read_text('utf-8')
    return shlex.split(tomllib.loads(text)['roles']['node']['run'])


class Platform:
    """All stand-ins of one case, and the nodes."""

    def __init__(self, record, *, nodes):
        """Prepare the store and the nodes; ``run`` starts them."""
        self.record = record
        self.key = ''
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        store_port, self.advice_port = free_ports(2)
        self.store = Store(store_port)
        self.starts = []
        self.ends = []
        self.minions = []
        self.nodes = [Node(self, f'front-{one}') for one in range(nodes)]
        self._tasks = []
        self._servers = []

    def configure(self, version, routes, services, tenants=None):
        """Write a manifest, as the operator does."""
        manifest = {
            'Version': version,
            'Routes': routes,
            'Services': [{'Name': one} for one in services],
            'Limits': {'MaxBodyBytes': 262144},
        }
        if tenants is not None:
            manifest['Tenants'] = tenants
        self.record.add(f'operator writes version {version}')
        self.store.put('op', 'config', manifest)

    async def run(self, *, routes, services, advice=None, tenants=None):
        """Start the store, the operator's configuration and the nodes."""
        self._servers.append(await serve(self.store.port, self.store.handle))
        if advice is not None:
            self._servers.append(await serve(self.advice_port, advice.handle))
        self.configure(3, routes, services, tenants)
        for one in self.minions:
            await one.run()
        for node in self.nodes:
            self._tasks.append(asyncio.create_task(node.run()))
        self._tasks.append(asyncio.create_task(self._limit_memory()))

    async def ready(self, *, host, prefix, timeout_s=25.0):
        """Wait until all nodes know the number of waiting jobs."""
        ends = time.monotonic() + timeout_s
        for node in self.nodes:
            while True:
                found = await request(
                    node.front, 'GET', prefix, host=host, key=self.key
                )
                if found is not None and found[0] == 200:
                    break
                if time.monotonic() > ends:
                    return False
                await asyncio.sleep(0.2)
        return True

    async def submit(self, job, body, *, host, prefix, first=0):
        """Submit a job as clients do; return whether it was accepted."""
        for attempt in range(8):
            node = self.nodes[(first + attempt) % len(self.nodes)]
            found = await request(
                node.front,
                'POST',
                f'{prefix}{job}',
                host=host,
                body=body,
                key=self.key,
            )
            self.record.add(
                f'client POST {job} to {node.name}: '
                f'{found[0] if found else "no answer"}'
            )
            if found is not None and found[0] == 200:
                return True
            if found is not None and found[0] not in {429, 502, 503, 504}:
                return False
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, *, host, prefix, first=0):
        """Return the state that a node shows, or the status as text.

        As clients do, it is asked for four times more, at other nodes.
        """
        text = 'no answer'
        for attempt in range(5):
            node = self.nodes[(first + attempt) % len(self.nodes)]
            found = await request(
                node.front, 'GET', f'{prefix}{job}', host=host, key=self.key
            )
            if found is not None:
                text = found[1].get('State', str(found[0]))
                if found[0] in {200, 410}:
                    break
        self.record.add(f'client GET {job}: {text}')
        return text

    async def stop(self):
        """End all that was started."""
        for one in self._tasks:
            one.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            await node.stop()
        for minion in self.minions:
            if minion.up:
                minion.end('stops')
        for server in self._servers:
            server.close()
        for writer in list(_WRITERS):
            writer.close()
        await asyncio.sleep(0.2)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _limit_memory(self):
        while True:
            await asyncio.sleep(0.1)
            for node in self.nodes:
                node.limit_memory()


def trouble():
    """Return whether the case is to run with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(case, folder, *, limit_s=110.0):
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if not run.

    ``case(record)`` returns whether the rule was broken, ``None`` if that
    can't be said.
    """
    record = Record(Path(folder) / 'record.txt')
    record.add(f'disruption: {"yes" if trouble() else "no"}')

    async def bounded():
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record.add(f'the case could not run: {error!r}')
        sys.exit(2)
    words = {None: 'not judged', True: 'broken', False: 'held'}
    record.add(f'the rule: {words[broken]}')
    sys.exit({None: 2, True: 1, False: 0}[broken])
