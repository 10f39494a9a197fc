# ruff: file-ignore[private-member-access]
"""Machines are removed for good; a job that waits for a permit isn't started.

Each node has a loopback address of its own. Those that are removed were there
first. A silent socket keeps each of their addresses: calls to them hang.
"""

import asyncio
import itertools
import signal
import socket
import time
from pathlib import Path

from common_2 import BOUNDS, TROUBLE, run

from features.processes import advice, cell
from features.processes.cell import ADVISED, PLAIN, POOLS

LIVE = 6
REMOVED = 12
# The decisions of entry-lookup and of pack-merge at site ortzadar-cyc, ms.
SHORT = {'DecideMs': 10.0, 'EachMs': 0.14, 'ValidMs': 1500.0}
LONG = {'DecideMs': 160.0, 'EachMs': 2.2, 'ValidMs': 1500.0}
JOB = '00000000000000b1'
REMOVAL_GAP_S = 1.0
CALM_S = 8.0
FINISH_S = float(BOUNDS['finish_s'])
NEGLECT_S = 3.0
WATCH_S = 60.0


class Node(cell.Node):
    """A node with an address of its own; it stays away once ``removed``."""

    numbers = itertools.count(100)

    def __init__(self, name, owner, ports):
        super().__init__(name, owner, ports)
        self.ip = f'127.0.0.{next(self.numbers)}'
        self.front = f'{self.ip}:{ports[0]}'
        self.client = cell.Client(self.front)
        self._readiness = f'{self.ip}:{ports[2]}'

    @property
    def peer(self):
        """The address at which peers reach the node."""
        return f'{self.ip}:{self.peer_port}'

    def configure(self, store, advice):
        """Write the settings file."""
        super().configure(store, advice)
        text = self._file.read_text(encoding='utf-8')
        text = text.replace(f'"Ip": "{cell.HOST}"', f'"Ip": "{self.ip}"')
        self._file.write_text(text, encoding='utf-8')

    async def remove(self):
        """Kill the process for good; its address answers nothing."""
        self.outages += 1
        self.send(signal.SIGKILL)
        await self.process.wait()
        self._silent = socket.create_server((self.ip, self.peer_port))


class Advice(advice.Advice):
    """Takes as long for a step as its queue's decisions take."""

    async def _decide(self, asked):
        job = self._cell.judge.jobs[asked['Step'].partition('.')[0]]
        figures = LONG if job.prefix == ADVISED else SHORT
        each_ms = figures['EachMs'] * len(asked['Workers'])
        await asyncio.sleep((figures['DecideMs'] + each_ms) / 1000)
        return self._grant(asked, figures['ValidMs'])

    def _grant(self, asked, valid_ms):
        until = time.monotonic() + valid_ms / 1000
        good = []
        for worker in self._cell.workers:
            if worker.id in asked['Workers']:
                ticket = f't{next(self._numbers)}'
                life = worker.life.name
                self._tickets[ticket] = (asked['Step'], life, until)
                good.append([worker.id, ticket])
        return 200, {'Good': good, 'ValidMs': valid_ms}


def _route(prefix, pool):
    """Return a route with a short or long decision, or without one."""
    route = _plain_route(prefix, pool)
    route.pop('Advice', None)
    match prefix:
        case cell.PLAIN:
            route |= {'Advice': SHORT, 'Priority': 0}
        case cell.ADVISED:
            route |= {'Advice': LONG, 'Priority': 2}
    return route


_plain_route = cell._route
cell._route = _route
cell.Node = Node
cell.Advice = Advice
cell.NODES = tuple(f'n{number:02}' for number in range(REMOVED + LIVE))


async def _link(played, node):
    """Link a node to all but its peers, which it reaches directly."""
    store = await played.links.add(
        node.name, 'store', played.store.server.address
    )
    permits = await played.links.add(
        node.name, 'advice', played.advice.server.address
    )
    for worker in played.workers:
        await played.links.add(node.name, worker.name, worker.server.address)
    node.configure(store.address, permits.address)


cell.Cell._link = _link


async def play(played):
    """Play the case; return how the rule was broken."""
    played.judge.advised = {PLAIN, ADVISED}
    nodes = list(played.nodes.values())
    for node in nodes[:REMOVED] if TROUBLE else ():
        await node.remove()
        await asyncio.sleep(REMOVAL_GAP_S)
    await asyncio.sleep(CALM_S)
    played.judge.record(f'{played.owner(POOLS[0]).name} owns {POOLS[0]}')
    fields = {'Count': 2, 'Cpu': 1000, 'MemMb': 64, 'EstimateMs': 30000}
    plan = {'cpu': 1000, 'work_s': 30.0}
    job = played.new_job(name=JOB, steps=[(fields, plan)], prefix=ADVISED)
    status, _ = await played.call(nodes[-1], 'POST', job)
    if status != 200:
        raise RuntimeError('the job was not accepted')
    await asyncio.sleep(WATCH_S)
    await played.call(nodes[-1], 'GET', job)
    first = min((at for at, _ in played.judge.starts[job.tasks[0]]), default=0)
    waited_s = (first or time.monotonic()) - job.accepted_at
    played.judge.record(f'waited {waited_s:.1f} s; started: {bool(first)}')
    if waited_s < FINISH_S + NEGLECT_S:
        return []
    text = 'after its acceptance, and the pool is empty'
    return [f'LOST: {JOB} has nothing running for {waited_s:.0f} s {text}']


run(Path(__file__).parent, play, workers=6, annex=2)
