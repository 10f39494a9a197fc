"""A job whose cancelling was answered with 410 is started afterwards.

The store is silent for a while. One of the writes that it left unanswered is
done 5.5 s after it was sent.
"""

import asyncio
import time
from pathlib import Path

from common_2 import BOUNDS, TROUBLE, run

from features.processes.store import Store

JOB = '00000000000000d1'
LATE_S = 5.5
CANCEL_S = BOUNDS['cancel_ms'] / 1000
CONTACT_S = BOUNDS['ContactMs'] / 1000


class SilentStore(Store):
    """Answers nothing while ``silent``, and does one write of then late."""

    silent = False
    unanswered = ()

    async def _answer(self, request):
        if not self.silent:
            return await super()._answer(request)
        rows = request.body.get('SetKeys', ())
        if any(row['Key'] == JOB for row in rows):
            self.unanswered = (time.monotonic(), request)
            self.judge.record(
                f'a write of {JOB} by {request.caller} is unanswered'
            )
        return None

    async def answer_again(self):
        """Answer from now on; one unanswered write is still to be done."""
        self.silent = False
        self.judge.record('the store answers again')
        if self.unanswered:
            asyncio.get_running_loop().create_task(self._write_late())

    async def _write_late(self):
        sent_at, request = self.unanswered
        await asyncio.sleep(sent_at + LATE_S - time.monotonic())
        status, _ = await self._transact(request)
        self.judge.record(
            f'the write by {request.caller} is done now, '
            f'{LATE_S} s after it was sent: {status}'
        )


async def play(cell):
    """Play the case; return how the rule was broken."""
    store = cell.store
    store.judge = cell.judge
    node = cell.nodes['n0']
    fields = {'Count': 1, 'Cpu': 100, 'MemMb': 64, 'EstimateMs': 3000}
    job = cell.new_job(name=JOB, steps=[(fields, {'cpu': 100, 'work_s': 3.0})])
    if TROUBLE:
        store.silent = True
        cell.judge.record('the store is silent')
    await cell.call(node, 'POST', job)
    await store.answer_again()
    stable_from = time.monotonic() + CONTACT_S * TROUBLE
    status = 0
    for _ in range(10):
        status, _ = await cell.call(node, 'DELETE', job)
        if status in {200, 410}:
            break
        await asyncio.sleep(0.1)
    if status not in {200, 410}:
        raise RuntimeError(f'the cancel was answered {status}')
    acknowledged_at = time.monotonic()
    await asyncio.sleep(12)
    await cell.shown(job)
    return [
        f"UNASKED: {text}, {at - acknowledged_at:.1f} s after the job's "
        f'cancelling was answered with {status}'
        for at, text in cell.judge.starts[f'{JOB}.0.0.0']
        if at > max(acknowledged_at + CANCEL_S, stable_from)
    ]


run(Path(__file__).parent, play, workers=6, annex=2, store_type=SilentStore)
