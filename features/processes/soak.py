"""A seeded series of overlapping disruptions of real processes."""

import asyncio
import random

from features.processes.bounds import CAPACITY, FINISH_S
from features.processes.cell import POOLS, ROUTES, Cell
from features.processes.disruptions import Disruptions
from features.processes.judge import NEGLECT_S
from features.processes.traffic import Traffic

_WORKERS = 6
_ANNEX = 2
_TRAFFIC_S = 20.0
_DISRUPTED_S = 18.0
_PAUSE_S = 1.5
_LONGEST_S = 4.0
_WATCH_S = 60.0
_TICK_S = 0.25
_ASKS = 10
# Each fifth seed begins with the partition of an owner of long tasks.
_WIDE_SEEDS = 5
_WIDE = (30, 18.0)
_PARTED_S = 16.0
_MANY_SEEDS = 7


class ProcessSoak:
    """Plays one seed; ``problems`` is what callers or workers saw go wrong."""

    def __init__(self, *, seed):
        self.played = []
        self._seed = seed
        self._cell = Cell(workers=_WORKERS, annex=_ANNEX)
        self._traffic = Traffic(self._cell, random.Random(f'traffic {seed}'))
        self._random = random.Random(seed)
        self._disruptions = Disruptions(self._cell, self._random)

    @property
    def problems(self):
        return self._cell.judge.broken

    @property
    def folder(self):
        return self._cell.folder

    async def play(self):
        """Disturb the cell while jobs come; judge it after a quiet time."""
        try:
            await self._cell.open()
            await self._disturb()
            await asyncio.sleep(FINISH_S)
            await self._judge()
        finally:
            await self._cell.close()
        return self.problems

    async def _disturb(self):
        async with asyncio.TaskGroup() as group:
            group.create_task(self._traffic.run(_TRAFFIC_S))
            left_s = _DISRUPTED_S
            if self._seed % _MANY_SEEDS == 0:
                self._traffic.send_many()
            if self._seed % _WIDE_SEEDS == 0:
                await self._part_wide(group)
                left_s -= _PAUSE_S + _PARTED_S / 2
            while left_s > 0:
                kind = self._random.choice(self._disruptions.kinds)
                seconds = self._random.uniform(0.3, _LONGEST_S)
                self._play(group, kind, min(seconds, max(left_s / 4, 0.3)))
                pause_s = self._random.uniform(0.2, 2 * _PAUSE_S)
                await asyncio.sleep(pause_s)
                left_s -= pause_s
        self._cell.configure(ROUTES)

    async def _part_wide(self, group):
        """Part the owner of a wide job, and wait for half of that time."""
        self._traffic.send_wide(*_WIDE)
        await asyncio.sleep(_PAUSE_S)
        part = self._disruptions.part_owner_of(POOLS[0], _PARTED_S)
        group.create_task(part)
        await asyncio.sleep(_PARTED_S / 2)

    def _play(self, group, kind, seconds):
        self.played.append((kind.__name__, round(seconds, 1)))
        self._cell.judge.record(f'disruption {kind.__name__} {seconds:.1f}')
        group.create_task(kind(seconds))

    async def _judge(self):
        """Ask for all jobs, and watch those that haven't ended."""
        jobs = [
            job
            for job in self._cell.judge.jobs.values()
            if job.accepted_at and not job.cancel_sent
        ]
        opened = [job for job in jobs if await self._state(job) in _OPEN]
        idle = {job.name: 0.0 for job in opened}
        for _ in range(int(_WATCH_S / _TICK_S)):
            if not opened:
                break
            await asyncio.sleep(_TICK_S)
            opened = [job for job in opened if await self._is_open(job, idle)]
        self._cell.judge.close()

    async def _is_open(self, job, idle):
        """Return whether a job is to be watched further."""
        waits = not self._cell.judge.runs(job) and self._has_room(job)
        idle[job.name] = idle[job.name] + _TICK_S if waits else 0.0
        if not waits:
            return True
        state = await self._state(job)
        if state not in _OPEN or idle[job.name] < NEGLECT_S:
            return state in _OPEN
        self._cell.judge.breaks(
            f'LOST: {job.path} is {state}, and nothing of it has run for '
            f'{NEGLECT_S} s with under half of the capacity in use'
        )
        return False

    def _has_room(self, job):
        lives = [
            worker.life
            for worker in self._cell.workers
            if worker.pool == ROUTES[job.prefix]
        ]
        used = sum(run.cpu for life in lives for run in life.runs.values())
        return 2 * used < CAPACITY * len(lives)

    async def _state(self, job):
        """Return what a job is shown as; it must be known and answered."""
        for number in range(_ASKS):
            node = list(self._cell.nodes.values())[number % 3]
            status, answer = await self._cell.call(node, 'GET', job)
            if status == 200:
                return answer['State']
            await asyncio.sleep(_TICK_S)
        self._cell.judge.breaks(f'LOST: {job.path} is answered {status}')
        return ''


_OPEN = ('queued', 'running')
