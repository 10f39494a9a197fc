"""Clients that submit, repeat, ask for and cancel jobs."""

import asyncio

from features.processes.cell import ADVISED, KEPT, PLAIN

_ATTEMPTS = 8
_PAUSE_S = 0.5
_TICK_S = 0.2
_SUBMIT_CHANCE = 0.4
_REPEAT_CHANCE = 0.1
_ASK_CHANCE = 0.3
_CANCEL_CHANCE = 0.05
_FAILURE_CHANCE = 0.1
_MANY = 1100


class Traffic:
    """Jobs of many shapes; a client repeats a request until it is answered."""

    def __init__(self, cell, random):
        self._cell = cell
        self._random = random
        self._sending = set()
        self._jobs = []

    async def run(self, seconds):
        """Send requests for some time, and wait for their last answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self._send_some()
            await asyncio.sleep(_TICK_S)
        await asyncio.gather(*self._sending)

    def send_wide(self, count, work_s, *, cpu=2000, prefix=PLAIN):
        """Submit one job with many tasks."""
        job = self._new_job([self._step(count, cpu, work_s)], prefix)
        self._start(self._submit(job))

    def send_many(self):
        """Submit so many short tasks that over 500 ends of a worker wait."""
        self.send_wide(_MANY, 1.0, cpu=10, prefix=KEPT)

    def _send_some(self):
        chance = self._random.random
        if chance() < _SUBMIT_CHANCE:
            self._start(self._submit(self._any_job()))
        if not self._jobs:
            return
        job = self._random.choice(self._jobs)
        if chance() < _REPEAT_CHANCE and job.accepted_at:
            self._start(self._call('POST', job))
        if chance() < _ASK_CHANCE:
            self._start(self._call('GET', job))
        if chance() < _CANCEL_CHANCE and job.accepted_at:
            self._start(self._call('DELETE', job))

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _submit(self, job):
        for _ in range(_ATTEMPTS):
            if await self._call('POST', job) == 200:
                return
            await asyncio.sleep(_PAUSE_S)

    async def _call(self, method, job):
        node = self._random.choice(list(self._cell.nodes.values()))
        status, _ = await self._cell.call(node, method, job)
        return status

    def _any_job(self):
        random = self._random
        count = random.randint(1, 6)
        work_s = random.choice([0.3, 0.6, 1.5, 3.0])
        prefix = random.choice([PLAIN, PLAIN, ADVISED, KEPT])
        step = self._step(count, random.randint(100, 4000), work_s)
        match random.choice(['plain', 'plain', 'steps', 'gang', 'small']):
            case 'steps':
                fields, plan = step
                steps = [step, ({**fields, 'After': [0]}, plan)]
            case 'gang':
                count = random.randint(2, 4)
                fields, plan = self._step(count, 4000, work_s)
                steps = [({**fields, 'Gang': True}, {**plan, 'gang': count})]
            case 'small':
                steps = [self._step(40, 20, work_s)]
            case _:
                steps = [step]
        return self._new_job(steps, prefix)

    def _step(self, count, cpu, work_s):
        fields = {
            'Count': count,
            'Cpu': cpu,
            'MemMb': 64,
            'EstimateMs': 1000 * work_s,
        }
        failures = 0
        if self._random.random() < _FAILURE_CHANCE:
            failures = self._random.randint(1, 3)
        return fields, {'cpu': cpu, 'work_s': work_s, 'failures': failures}

    def _new_job(self, steps, prefix):
        name = f'{self._random.getrandbits(64):016x}'
        job = self._cell.new_job(name=name, steps=steps, prefix=prefix)
        self._jobs.append(job)
        return job
