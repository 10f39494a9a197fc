"""Crowds that send very much work while nodes are killed and restarted."""

import asyncio
import contextlib
import json
import random
import signal

from features.processes.bounds import GRACE_S
from features.processes.cell import POOLS, Cell
from features.processes.crowds import Crowd, is_served
from features.processes.hostile import Figures

_LIMITS = {'MemoryMb': 128, 'MaxFds': 400}
_SIGNALS = (signal.SIGKILL, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)
_DISTURBANCES = 8
_PAUSE_S = (0.3, 2.5)
_OWNERS_SHARE = 0.7
_CROWDS_S = 60.0
_SETTLE_S = 6.0
_SAMPLE_S = 0.05
_TRIES = 3
_KB_PER_MB = 1024
_ASKED = 'signal SIGTERM received'
_STOPPED = 'stopped node'


class CrowdSoak:
    """Plays one seed; ``problems`` is what went wrong."""

    def __init__(self, *, seed):
        self.problems = []
        self.played = []
        self._random = random.Random(f'crowds {seed}')
        self._cell = Cell(workers=2, limits=_LIMITS)
        self._ending = set()

    @property
    def folder(self):
        return self._cell.folder

    async def play(self):
        """Disturb the nodes of a cell under a crowd, and ask each of them."""
        try:
            await self._cell.open()
            await self._play(list(self._cell.nodes.values()))
        finally:
            await self._cell.close()
        self.problems.extend(
            text
            for text in self._cell.judge.broken
            if not text.startswith('FAULT')
        )
        return self.problems

    async def _play(self, nodes):
        watching = [asyncio.create_task(self._watch(node)) for node in nodes]
        crowd = Crowd(self._cell, nodes)
        disturbing = asyncio.create_task(self._disturb(nodes))
        try:
            async with asyncio.timeout(_CROWDS_S):
                await crowd.mixed()
        except TimeoutError:
            self.played.append('the crowd was cut short')
        await disturbing
        await asyncio.sleep(_SETTLE_S)
        for number, node in enumerate(nodes):
            await self._ask(node, number * _TRIES)
        for task in watching:
            task.cancel()
        crowd.close()

    async def _ask(self, node, number):
        for attempt in range(_TRIES):
            if await is_served(self._cell, node, number + attempt):
                return
            self.played.append(f'{node.name} serves no ordinary job yet')
        self.problems.append(f'{node.name} serves no ordinary job')

    async def _disturb(self, nodes):
        for _ in range(_DISTURBANCES):
            await asyncio.sleep(self._random.uniform(*_PAUSE_S))
            node = self._random.choice(nodes)
            if self._random.random() < _OWNERS_SHARE:
                node = self._cell.owner(self._random.choice(POOLS))
            number = self._random.choice(_SIGNALS)
            self.played.append(f'{node.name} gets {number.name}')
            if number is signal.SIGTERM and node.is_up:
                self._ending.add(node.process.pid)
            node.send(number)

    async def _watch(self, node):
        """Check the memory of a node's processes, and how they end."""
        process = node.process
        while True:
            if node.process is not process:
                # A node is restarted at once, so its end is seen afterwards.
                self._note_end(node, process)
                process = node.process
            if process is not None and process.returncode is None:
                figures = Figures(node)
                with contextlib.suppress(OSError):
                    figures.sample()
                if figures.memory_kb > _LIMITS['MemoryMb'] * _KB_PER_MB:
                    text = f'{node.name} takes {figures.memory_kb} KB'
                    self.problems.append(text)
                    return
            await asyncio.sleep(_SAMPLE_S)

    def _note_end(self, node, process):
        """Check how long a node took to end after a SIGTERM.

        Its log tells the time, since the soak itself may be held up, and a
        process that hasn't loaded its libraries yet has nothing to finish.
        """
        if process.pid not in self._ending:
            if process.returncode != -signal.SIGKILL:
                text = f'{node.name} ended with {process.returncode}'
                self.problems.append(f'FAULT: {text} by itself')
            return
        self._ending.discard(process.pid)
        log = self._cell.folder / f'{node.name}.log'
        lines = [
            json.loads(line)
            for line in log.read_text(encoding='utf-8').splitlines()
            if line.startswith('{')
        ]
        found = [
            (line['message'], line['time'])
            for line in lines
            if line['message'].startswith((_ASKED, _STOPPED))
        ]
        if len(found) < 2 or not found[-1][0].startswith(_STOPPED):
            self.played.append(f'{node.name} ended before it started')
            return
        after_s = found[-1][1] - found[-2][1]
        text = f'{node.name} stopped {after_s:.1f} s after SIGTERM'
        self.played.append(f'{text} with {process.returncode}')
        if after_s > GRACE_S:
            self.problems.append(text)
