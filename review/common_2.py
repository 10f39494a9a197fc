"""Common part of the scripts of the second review.

A case starts three nodes as the deploy file says (``python3 -m
cyclamentrack_platform`` with ``target/deps`` on Python's path) between the
project's own stand-ins of store, workers, permit service and links
(``features/processes``), all on loopback and on the real clock. What was sent,
answered and run stands in ``record.txt`` beside the case.
"""

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path

from features.processes import cell as cells
from features.processes.cell import Cell
from features.processes.workers import Worker

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
_LONGEST_S = 105
# The bounds of site kukla-bilet.
BOUNDS = {
    'SeedLagS': 3,
    'ReuseAfterS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'MaxStretchMs': 5000,
    'RecoverS': 12,
    'HoldMaxMs': 6000,
    'StopTimeoutMs': 900,
    'GangTimeoutMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'LeaseMs': 3000,
}


class CaseCell(Cell):
    """The project's cell; ``worker_type`` and ``store_type`` are the case's."""

    def __init__(
        self, *, workers, annex=0, worker_type=Worker, store_type=None
    ):
        cells.Worker = worker_type
        cells.Store = store_type or cells.Store
        cells.BOUNDS = BOUNDS
        super().__init__(workers=workers, annex=annex)
        # What the case was held up is no delay of the system's.
        self.held_up = False
        self.judge.touch.disturb = self._note_disturbance

    async def open(self):
        """Start all with the libraries of the deployment."""
        os.environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        await super().open()

    async def submit(self, job, attempts=8):
        """Send a job to the nodes in turn until one accepts it."""
        nodes = list(self.nodes.values())
        for number in range(attempts):
            status, _ = await self.call(nodes[number % 3], 'POST', job)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise RuntimeError(f'job {job.name} was not accepted')

    async def shown(self, job):
        """Return the state that a node shows, empty without an answer."""
        for node in self.nodes.values():
            status, answer = await self.call(node, 'GET', job)
            if status == 200:
                return answer['State']
        return ''

    def _note_disturbance(self, name=''):
        self.held_up = self.held_up or not name


def run(folder, play, **options):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Path(folder) / 'record.txt'
    if not (ROOT / 'target' / 'deps' / 'cyclamentrack_platform').is_dir():
        record.write_text('not run: no target/deps\n', encoding='utf-8')
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(_run(record, play, options)))


def _status(cell, broken):
    for text in broken:
        cell.judge.record(f'RULE BROKEN {text}')
    if cell.held_up:
        return NOT_RUN
    return BROKEN if broken else HELD


async def _run(record, play, options):
    loop = asyncio.get_running_loop()
    # Tasks of the stand-ins that are cancelled at the end say nothing.
    loop.set_exception_handler(lambda *_: None)
    cell = CaseCell(**options)
    playing = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, playing.cancel)
    status = NOT_RUN
    try:
        async with asyncio.timeout(_LONGEST_S):
            await cell.open()
            cell.judge.record(f'all nodes serve; TROUBLE={int(TROUBLE)}')
            broken = await play(cell)
        status = _status(cell, broken)
    except (Exception, asyncio.CancelledError) as error:
        cell.judge.record(f'NOT RUN {error!r}')
    finally:
        await cell.close()
        cell.judge.record(f'exit {status}')
        lines = '\n'.join(cell.judge.lines)
        record.write_text(f'{lines}\n', encoding='utf-8')
        shutil.rmtree(cell.folder, ignore_errors=True)
    sys.stdout.write('\n'.join([*cell.judge.lines[-4:], '']))
    return status
