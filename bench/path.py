"""Measures the path from submission to start, with processes on loopback.

Arrays of works with many tasks each are submitted to three daemons for
``_SECONDS``. The stand-in workers count the starts; the daemons' processor
time is read from the kernel.
"""

import os
import tempfile
import time
from pathlib import Path

import httpcore
import msgspec
import trio

from bench.report import Report, percentile
from cyclamentrack.ids import WorkId
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind, Work
from cyclamentrack_standins.http import Counts
from demo.__main__ import fetch_counts
from demo.processes import (
    CellProcesses,
    DaemonProcess,
    await_ready,
    cell_processes,
)

_FLEET = Path(__file__).parent.parent / 'demo' / 'fleet.toml'
_DAEMONS = 3
_SECONDS = 10.0
_TASKS_PER_WORK = 50
_WORKS_PER_ARRAY = 8
_SENDER_COUNT = 6
_POOLS = ('booking', 'media', 'editorial', 'audio')
_PLACEMENTS_PER_S_TARGET = 2000
_MS = 1000
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class _Sender:
    """Submits arrays of works to one daemon, one after the other."""

    def __init__(self, *, number: int, address: str) -> None:
        self._number = number
        self._url = f'http://{address}/v1/work'
        self.sent_at: dict[str, float] = {}
        self.refused = 0

    async def run(self, until: float) -> None:
        array_number = 0
        async with httpcore.AsyncConnectionPool() as pool:
            while time.monotonic() < until:
                array_number += 1
                await self._send(pool, array_number)

    async def _send(
        self, pool: httpcore.AsyncConnectionPool, array_number: int
    ) -> None:
        works = [
            self._work(array_number, part) for part in range(_WORKS_PER_ARRAY)
        ]
        now = time.monotonic()
        reply = await pool.request(
            'POST', self._url, content=msgspec.json.encode(works)
        )
        for answer in msgspec.json.decode(reply.content):
            if answer['problem']:
                self.refused += 1
            else:
                self.sent_at[answer['id']] = now

    def _work(self, array_number: int, part: int) -> Work:
        return Work(
            id=WorkId(f'path-{self._number}-{array_number}-{part}'),
            kind=Kind.BATCH,
            team=f'team-{self._number}',
            pool=_POOLS[(array_number + part) % len(_POOLS)],
            resources=Resources(milli_cores=200, memory_mib=64),
            idempotent=True,
            tasks=_TASKS_PER_WORK,
            run_s=0.5,
            workload='path',
        )


def measure() -> Report:
    """Run the load and report placements, waits and processor time."""
    report = Report(
        name='path',
        headings=['what', 'value', 'unit'],
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        cell_processes(
            fleet=_FLEET, folder=Path(folder), daemons=_DAEMONS
        ) as cell,
    ):
        trio.run(_load, cell, report)
    return report


async def _load(cell: CellProcesses, report: Report) -> None:
    await await_ready(cell)
    senders = [
        _Sender(
            number=number,
            address=cell.daemons[number % len(cell.daemons)].callers,
        )
        for number in range(_SENDER_COUNT)
    ]
    processor_before = [_processor_s(one.process.pid) for one in cell.daemons]
    started_at = time.monotonic()
    async with trio.open_nursery() as nursery:
        for sender in senders:
            nursery.start_soon(sender.run, started_at + _SECONDS)
    counts = await _wait_for_starts(cell, senders)
    elapsed = max(counts.first_starts.values()) - started_at
    processor_s = [
        _processor_s(one.process.pid) - before
        for one, before in zip(cell.daemons, processor_before, strict=True)
    ]
    stages = await _stages(cell.daemons)
    _add_figures(report, senders, counts, elapsed, sum(processor_s), stages)


async def _wait_for_starts(
    cell: CellProcesses, senders: list[_Sender]
) -> Counts:
    """Wait up to a minute until all accepted tasks have started."""
    wanted = sum(len(sender.sent_at) for sender in senders) * _TASKS_PER_WORK
    counts = await fetch_counts(cell.platform)
    with trio.move_on_after(60):
        while counts.starts < wanted:
            await trio.sleep(0.5)
            counts = await fetch_counts(cell.platform)
    return counts


def _add_figures(
    report: Report,
    senders: list[_Sender],
    counts: Counts,
    elapsed: float,
    processor_s: float,
    stages: dict[str, float],
) -> None:
    waits = sorted(
        counts.first_starts[f'{work}#{task}'] - sent
        for sender in senders
        for work, sent in sender.sent_at.items()
        for task in range(_TASKS_PER_WORK)
        if f'{work}#{task}' in counts.first_starts
    )
    rate = counts.starts / elapsed
    report.add('placements', counts.starts, 'tasks')
    report.add('rate', rate, 'placements/s')
    report.add('wait p50', percentile(waits, 0.5) * _MS, 'ms')
    report.add('wait p99', percentile(waits, 0.99) * _MS, 'ms')
    report.add('processor', processor_s / counts.starts * _MS, 'ms/placement')
    for stage, seconds in sorted(stages.items()):
        report.add(stage, seconds / counts.starts * _MS, 'ms/placement')
    rest = processor_s - sum(stages.values())
    report.add('HTTP and the rest', rest / counts.starts * _MS, 'ms/placement')
    report.add('table writes', counts.table_writes, 'writes')
    refused = sum(sender.refused for sender in senders)
    report.add('refused', refused, 'works')
    report.at_least(
        'placements',
        target=_PLACEMENTS_PER_S_TARGET,
        measured=rate,
        unit='per s',
    )
    report.at_most(
        'overcommits', target=0, measured=counts.overcommits, unit='starts'
    )
    report.at_most(
        'doubled', target=0, measured=len(counts.doubled), unit='tasks'
    )
    report.slopes['processor_s_per_placement'] = processor_s / counts.starts


async def _stages(daemons: list[DaemonProcess]) -> dict[str, float]:
    """Return the processor time of each stage in all daemons, in seconds."""
    stages: dict[str, float] = {}
    mark = 'cyclamentrack_stage_seconds_total{stage="'
    async with httpcore.AsyncConnectionPool() as pool:
        for daemon in daemons:
            reply = await pool.request(
                'GET', f'http://{daemon.operators}/v1/metrics'
            )
            for line in reply.content.decode().splitlines():
                if line.startswith(mark):
                    name, _, amount = line.removeprefix(mark).partition('"} ')
                    stages[name] = stages.get(name, 0) + float(amount)
    return stages


def _processor_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8').split()
    return (int(fields[13]) + int(fields[14])) / _CLOCK_TICKS_PER_S
