"""Clients that keep to the limits of each request, and send very much work.

The crowds and their jobs are fixed, and each request is answered before its
client sends the next one. Nearly all of the work waits, since a task takes a
whole worker, or there is none. No job says how long it takes, so admission
control can't tell that the pool is overloaded.
"""

import asyncio
import json
import time

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.model import Job, JobId, QueueName, Step
from cyclamentrack.jobs.persistence import job_batch
from cyclamentrack.resources import Resources
from features.processes.cell import KEPT, PLAIN, POOLS, Cell
from features.processes.hostile import Figures
from features.processes.http import Client
from features.processes.judge import SubmittedJob

_ANSWER_S = 20.0
_ASKS = 60
_RETRY_S = 0.1
_REFUSALS = {0, 429, 503}
_FIRST_JOB = 0x100000
_MAX_STEPS = 200
_MAX_TASKS = 10_000
_MAX_REPETITIONS = 10_000
_MAX_TEXT_BYTES = 4000
_PLAN = {'cpu': 16000, 'work_s': 0.1}
_FIELDS = {'Cpu': 16000, 'MemMb': 64}
_ORDINARY = {'Count': 1, 'Cpu': 100, 'MemMb': 64, 'EstimateMs': 100}


class Crowd:
    """Clients of some nodes, and the status codes that they were answered."""

    def __init__(self, cell, nodes):
        self._cell = cell
        self._nodes = nodes
        self._clients = []
        self._names = iter(range(_FIRST_JOB, 2 * _FIRST_JOB))
        self.statuses = []

    def close(self):
        for client in self._clients:
            client.close()

    async def nothing(self):
        """Send nothing, but for the ordinary requests at the end."""

    async def vast_job(self):
        """Send one job of as many steps and tasks as each number allows."""
        await self._all(1, 1, _body(_MAX_STEPS, _MAX_TASKS))

    async def broad_jobs(self):
        """Send 120 jobs of 20,000 tasks each."""
        await self._all(12, 10, _body(_MAX_STEPS, 100))

    async def large_jobs(self):
        """Send 240 jobs of 10,000 tasks each, in as many steps as may be."""
        await self._all(12, 20, _body(_MAX_STEPS, 50))

    async def long_texts(self):
        """Send 12,000 jobs of one task with the longest text."""
        body = _body(1, 1)
        body['Spec'] = body['Spec'].ljust(_MAX_TEXT_BYTES)
        await self._all(30, 400, body)

    async def mixed(self):
        """Send large jobs, small ones with long texts, and due repetitions."""
        texts = _body(1, 1)
        texts['Spec'] = texts['Spec'].ljust(_MAX_TEXT_BYTES)
        repeated = _body(1, 1)
        repeated |= {'RepeatCount': _MAX_REPETITIONS, 'StartAtMs': 1}
        await asyncio.gather(
            self._all(4, 8, _body(_MAX_STEPS, 50)),
            self._all(6, 150, texts),
            self._all(2, 3, repeated, prefix=KEPT),
        )

    async def due_repetitions(self):
        """Send jobs whose 10,000 repetitions are due at once."""
        body = _body(1, 1)
        body |= {'RepeatCount': _MAX_REPETITIONS, 'StartAtMs': 1}
        await self._all(4, 3, body, prefix=KEPT)

    async def _all(self, clients, jobs, body, prefix=PLAIN):
        await asyncio.gather(
            *(self._send(jobs, body, prefix) for _ in range(clients))
        )

    async def _send(self, jobs, body, prefix):
        node = self._nodes[len(self._clients) % len(self._nodes)]
        client = Client(node.front)
        self._clients.append(client)
        for _ in range(jobs):
            name = f'{next(self._names):016x}'
            plans = [_PLAN] * len(body['Steps'])
            job = SubmittedJob(name, prefix, body, plans)
            self._cell.judge.jobs[name] = job
            status, answer = await client.call(
                'POST', job.path, body=body, timeout_s=_ANSWER_S
            )
            self.statuses.append(status)
            self._cell.judge.answered(job, 'POST', node.name, status, answer)


class Visit:
    """What a crowd showed: the largest figures of any node, and the rest."""

    def __init__(self):
        self.same_processes = False
        self.memory_kb = 0
        self.descriptors = 0
        self.served = []
        self.statuses = []
        self.broken = []
        self.oversized = ''
        self.shown = ''


async def visit(name, *, nodes, limits):
    """Let a crowd play, and make an ordinary request at each node after it."""
    cell = Cell(workers=1, nodes=nodes, limits=limits)
    found = Visit()
    try:
        await cell.open()
        await _play(cell, name, found)
    finally:
        await cell.close()
    found.broken = sorted(cell.judge.broken)
    return found


async def visit_stored(*, limits):
    """Start a node for which many accepted jobs are stored already."""
    cell = Cell(workers=1, nodes=('n0',), limits=limits)
    found = Visit()
    try:
        found.oversized = _store_jobs(cell)
        await cell.open()
        await _play(cell, 'nothing', found)
    finally:
        await cell.close()
    found.broken = sorted(cell.judge.broken)
    return found


def _store_jobs(cell):
    """Store jobs as a node does; return one of an earlier version's size."""
    names = iter(range(_FIRST_JOB, 2 * _FIRST_JOB))
    stored = [
        *((_MAX_STEPS, 50, '') for _ in range(120)),
        *((1, 1, 'x' * _MAX_TEXT_BYTES) for _ in range(6000)),
        (_MAX_STEPS, _MAX_TASKS, ''),
    ]
    for steps, tasks, text in stored:
        name = f'{next(names):016x}'
        cell.store.put_batch(job_batch(_stored_job(name, steps, tasks, text)))
    return name


def _stored_job(name, steps, tasks, text):
    need = Resources(milli_cores=16000, memory_mib=64)
    return Job(
        id=JobId(name),
        queue=QueueName(f'r-{KEPT.strip("/")}'),
        pool=PoolName(POOLS[1]),
        payload=text,
        steps=(Step(count=tasks, need=need),) * steps,
        accepted_at_s=time.time(),
    )


async def _play(cell, name, found):
    nodes = list(cell.nodes.values())
    pids = [node.process.pid for node in nodes]
    figures = [Figures(node) for node in nodes]
    watching = [asyncio.create_task(one.watch()) for one in figures]
    crowd = Crowd(cell, nodes)
    try:
        await getattr(crowd, name)()
        if found.oversized:
            path = f'{KEPT}{found.oversized}'
            found.shown = await _wait_for_end(nodes[0], path)
        for number, node in enumerate(nodes):
            found.served.append(await is_served(cell, node, number))
        for one in figures:
            one.sample()
    finally:
        for task in watching:
            task.cancel()
        crowd.close()
    found.same_processes = all(
        node.is_up and node.process.pid == pid
        for node, pid in zip(nodes, pids, strict=True)
    )
    found.memory_kb = max(one.memory_kb for one in figures)
    found.descriptors = max(one.descriptors for one in figures)
    found.statuses = crowd.statuses


async def is_served(cell, node, number):
    """Say whether a small job is stored and shown; refusals are repeated."""
    job = cell.new_job(
        name=f'{number + 1:016x}', steps=[(_ORDINARY, {**_PLAN, 'cpu': 100})]
    )
    posted = await _repeat(node, 'POST', job.path, job.body)
    shown = await _repeat(node, 'GET', job.path)
    return (posted, shown) == (200, 200)


async def _wait_for_end(node, path):
    """Return the state that a job is shown with once it has ended."""
    for _ in range(_ASKS):
        status, answer = await node.client.call(
            'GET', path, timeout_s=_ANSWER_S
        )
        if status == 200 and answer['State'] not in {'queued', 'running'}:
            return answer['State']
        await asyncio.sleep(_RETRY_S)
    return ''


async def _repeat(node, method, path, body=None):
    """Send a request until its answer is no refusal; return its status."""
    for _ in range(_ASKS):
        status, _ = await node.client.call(
            method, path, body=body, timeout_s=_ANSWER_S
        )
        if status not in _REFUSALS:
            break
        await asyncio.sleep(_RETRY_S)
    return status


def _body(steps, tasks):
    """Return a job; the workers' plan of its first step is that of all."""
    return {
        'Spec': json.dumps({'steps': [_PLAN]}),
        'Steps': [{**_FIELDS, 'Count': tasks}] * steps,
    }
