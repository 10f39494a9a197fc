"""A deployment of real node processes between stand-ins of all the rest."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from features.processes.advice import Advice
from features.processes.bounds import ADVICE, BOUNDS, MAX_ATTEMPTS
from features.processes.http import Client
from features.processes.judge import Judge, SubmittedJob
from features.processes.links import HOST, Links
from features.processes.store import Store
from features.processes.workers import Gangs, Worker

ROOT = Path(__file__).resolve().parent.parent.parent
NODES = ('n0', 'n1', 'n2')
POOLS = ('pool-a', 'pool-b')
PLAIN = '/lookups/'
ADVISED = '/advised/'
KEPT = '/kept/'
ROUTES = {PLAIN: POOLS[0], ADVISED: POOLS[0], KEPT: POOLS[1]}
_LIMITS = {'CpuShare': 0.5, 'Cores': 2, 'MemoryMb': 300}
_READY_S = 60
_RESTART_S = 0.3
_LAG_S = 0.5
_TICK_S = 0.1
_CALL_S = 3.0
# Below the range that the system takes ports of connections from.
_PORTS = range(20000, 32000)


def _free_ports(count):
    """Return ports that are free now, each of them once."""
    found = []
    for port in random.sample(_PORTS, 100):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            found.append(port)
    return found[:count]


class Node:
    """One node process; it stays down while ``outages`` isn't 0."""

    def __init__(self, name, cell, ports):
        self.name = name
        self.outages = 0
        self.process = None
        self._killed = False
        self.front = f'{HOST}:{ports[0]}'
        self.peer_port = ports[1]
        self.client = Client(self.front)
        self._cell = cell
        self._readiness = f'{HOST}:{ports[2]}'
        self._file = cell.folder / f'{name}.json'
        self._log = cell.folder / f'{name}.log'

    @property
    def peer(self):
        return f'{HOST}:{self.peer_port}'

    @property
    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def configure(self, store, advice):
        """Write the settings file."""
        settings = {
            'Node': self.name,
            'Ip': HOST,
            'Zone': 'z1',
            'Listen': {'Front': self.front, 'Readiness': self._readiness},
            'PortRange': [self.peer_port, self.peer_port],
            'Limits': {**_LIMITS, **self._cell.limits},
            'Bounds': BOUNDS,
            'Advice': advice,
            'platform': {'Address': store, 'form': 'table', 'RowBytes': 65536},
        }
        self._file.write_text(json.dumps(settings), encoding='utf-8')

    async def run(self):
        """Keep the process running, as the platform does."""
        while True:
            self._killed = False
            await self._start()
            self._cell.judge.record(f'{self.name} runs as {self.process.pid}')
            status = await self.process.wait()
            self._cell.judge.record(f'{self.name} ended with {status}')
            if not (self.outages or self._killed):
                self._cell.judge.breaks(f'FAULT: {self.name} ended by itself')
            while self.outages:
                await asyncio.sleep(_RESTART_S)

    def send(self, number):
        """Send the process a signal, if there is one."""
        if self.is_up:
            self._killed |= number is signal.SIGKILL
            self._cell.judge.record(f'{self.name} gets {number.name}')
            self.process.send_signal(number)

    async def end(self):
        if self.is_up:
            self.process.kill()
            await self.process.wait()

    async def _start(self):
        variables = ('PATH', 'HOME', 'LANG', 'PYTHONPATH')
        kept = {name: os.environ.get(name, '') for name in variables}
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'cyclamentrack_platform',
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**kept, 'CYCLAMENTRACK_BOOT': str(self._file)},
            )


class Cell:
    """Nodes, their workers, the store, the advice and their clients.

    ``limits`` replaces or adds limits of the nodes' settings files.
    """

    def __init__(self, *, workers, annex=0, nodes=None, limits=None):
        # Looked up here, since other harnesses replace the module's names.
        nodes = nodes or NODES
        self.limits = limits or {}
        self.folder = Path(tempfile.mkdtemp(prefix='soak-'))
        self.judge = Judge()
        self.links = Links()
        self.gangs = Gangs()
        self.store = Store(self.links)
        self.advice = Advice(self)
        names = [f'w{number}' for number in range(workers + annex)]
        self.workers = [
            Worker(name, POOLS[number >= workers], self, 1 - number / 200)
            for number, name in enumerate(names)
        ]
        ports = _free_ports(3 * len(nodes))
        self.nodes = {
            name: Node(name, self, ports[number :: len(nodes)])
            for number, name in enumerate(nodes)
        }
        self._tasks = []
        self._version = 0

    async def open(self):
        """Start all, and wait until each node serves and has an owner."""
        await self.store.server.open()
        await self.advice.server.open()
        self.configure(ROUTES)
        for worker in self.workers:
            await worker.open()
        for node in self.nodes.values():
            await self._link(node)
        for node in self.nodes.values():
            self._tasks.append(asyncio.create_task(node.run()))
        self._tasks.append(asyncio.create_task(self._watch_lag()))
        async with asyncio.timeout(_READY_S):
            while not await self._is_ready():
                await asyncio.sleep(_TICK_S)

    async def close(self):
        """End the processes, all tasks and all connections."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            await node.end()
            node.client.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        text = '\n'.join(self.judge.lines)
        (self.folder / 'record.txt').write_text(text, encoding='utf-8')

    def configure(self, routes, pools=POOLS):
        """Write a manifest with some services, and one for each prefix."""
        self._version += 2
        self.judge.advised = {ADVISED}
        for prefix, pool in routes.items():
            self.judge.pools[prefix].add(pool)
        self.judge.record(f'manifest {self._version}: {routes}')
        content = {
            'Version': self._version,
            'Routes': list(itertools.starmap(_route, routes.items())),
            'Services': [
                {'Name': pool, 'RejectsOverload': False} for pool in pools
            ],
            'Limits': {'MaxBodyBytes': 262144},
        }
        self.store.put_json('op', 'config', content)

    def settle(self):
        """End all runs that are over by now, however late this is called."""
        for worker in self.workers:
            if worker.life.up:
                worker.life.settle()

    def owner(self, pool):
        """Return the node that wrote the newest claim of a pool."""
        return self.nodes[self.store.holder(self.nodes, pool) or 'n0']

    def new_job(self, *, name, steps, prefix=PLAIN):
        """Return a job whose steps are pairs of fields and a plan."""
        body = {
            'Spec': json.dumps({'steps': [plan for _, plan in steps]}),
            'Steps': [fields for fields, _ in steps],
        }
        job = SubmittedJob(name, prefix, body, [plan for _, plan in steps])
        self.judge.jobs[name] = job
        return job

    async def call(self, node, method, job):
        """Send a client's request about a job; return status and answer."""
        if method == 'DELETE':
            job.cancel_sent = True
        body = job.body if method == 'POST' else None
        status, answer = await node.client.call(
            method, job.path, body=body, timeout_s=_CALL_S
        )
        self.judge.answered(job, method, node.name, status, answer)
        return status, answer

    async def _link(self, node):
        store = await self.links.add(
            node.name, 'store', self.store.server.address
        )
        advice = await self.links.add(
            node.name, 'advice', self.advice.server.address
        )
        for peer in self.nodes.values():
            if peer is not node:
                await self.links.add(node.name, peer.name, peer.peer)
        for worker in self.workers:
            await self.links.add(node.name, worker.name, worker.server.address)
        node.configure(store.address, advice.address)

    async def _is_ready(self):
        for node in self.nodes.values():
            for prefix in (PLAIN, KEPT):
                status, _ = await node.client.call(
                    'GET', prefix, timeout_s=_CALL_S
                )
                if status != 200:
                    return False
        return True

    async def _watch_lag(self):
        """Take everybody for disturbed while this process is held up."""
        while True:
            since = time.monotonic()
            await asyncio.sleep(_TICK_S)
            lag_s = time.monotonic() - since - _TICK_S
            if lag_s > _LAG_S:
                self.judge.record(
                    f'the soak itself was held up for {lag_s:.1f}'
                )
                self.judge.touch.disturb()
                self.judge.touch.calm()


def _route(prefix, pool):
    fields = {'Advice': ADVICE} if prefix == ADVISED else {}
    return {
        'Name': f'r-{prefix.strip("/")}',
        'Host': 'q.example',
        'PathPrefix': prefix,
        'Type': 'unsafe',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'Service': pool,
        'MaxAttempts': MAX_ATTEMPTS,
        'Stretch': 4.0,
        **fields,
    }
