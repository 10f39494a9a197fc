"""A stand-in of the service that permits workers to run a step."""

import asyncio
import itertools
import time

from features.processes.bounds import ADVICE
from features.processes.http import Server

_MAX_WAITING = 32


class Advice:
    """Grants tickets for a step on the present life of a worker."""

    def __init__(self, cell):
        self.server = Server(self._answer, cell.links)
        self._cell = cell
        self._tickets = {}
        self._numbers = itertools.count(1)
        self._turns = {}
        self._waiting = {}

    def permits(self, task, ticket, life):
        """Return whether a start with this ticket, or without, is allowed."""
        job, step = task.partition('.')[0], task.rpartition('.')[0]
        if not self._cell.judge.is_advised(job):
            return True
        known_step, known_life, until = self._tickets.get(ticket, ('', '', 0))
        same = known_step == step and known_life == life.name
        return same and time.monotonic() <= until

    async def _answer(self, request):
        caller = request.caller
        if self._waiting.get(caller, 0) >= _MAX_WAITING:
            return 429, {}
        self._waiting[caller] = self._waiting.get(caller, 0) + 1
        try:
            async with self._turns.setdefault(caller, asyncio.Lock()):
                return await self._decide(request.body)
        finally:
            self._waiting[caller] -= 1

    async def _decide(self, asked):
        each_ms = ADVICE['EachMs'] * len(asked['Workers'])
        await asyncio.sleep((ADVICE['DecideMs'] + each_ms) / 1000)
        until = time.monotonic() + ADVICE['ValidMs'] / 1000
        good = []
        for worker in self._cell.workers:
            if worker.id in asked['Workers']:
                ticket = f't{next(self._numbers)}'
                life = worker.life.name
                self._tickets[ticket] = (asked['Step'], life, until)
                good.append([worker.id, ticket])
        return 200, {'Good': good, 'ValidMs': ADVICE['ValidMs']}
