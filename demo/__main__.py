"""Run the demonstration: ``python -m demo``.

Three daemons and the stand-ins run on loopback. While the work runs, one
daemon is killed and one is drained. The table at the end shows what the
workers and the submitter counted. The exit status is 1 when overcommits,
double starts or lost tasks were counted.
"""

import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import httpcore
import msgspec
import trio

from cyclamentrack.work import Kind, Work
from cyclamentrack_standins.fleets import FleetFile
from cyclamentrack_standins.http import Counts
from demo.processes import (
    CellProcesses,
    DaemonProcess,
    await_ready,
    cell_processes,
)
from demo.submitter import SentWork, Submitter
from demo.workload import load_works

_FOLDER = Path(__file__).parent
_SAMPLE_S = 0.1
_LOSS_INTERVAL_S = 1.0
_MS = 1000


class UsageSampler:
    """Samples the share of the fleet's processors in use."""

    def __init__(self, *, platform: str, capacity: int) -> None:
        """Sample a platform whose ``capacity`` is given in milli-cores."""
        self._platform = platform
        self._capacity = capacity
        self.peak = 0.0

    async def run(self) -> None:
        """Sample until cancelled, and keep the peak."""
        while True:
            counts = await fetch_counts(self._platform)
            used = counts.used_milli_cores / self._capacity
            self.peak = max(self.peak, used)
            await trio.sleep(_SAMPLE_S)


async def fetch_counts(platform: str) -> Counts:
    """Return the counters of the stand-ins."""
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request('GET', f'http://{platform}/counts')
    return msgspec.json.decode(reply.content, type=Counts)


async def run_demo(cell: CellProcesses, works: list[Work]) -> bool:
    """Run the workload on a started cell and print its report.

    Return whether no overcommit, double start or lost task was counted.
    """
    started = time.monotonic()

    def print_event(text: str) -> None:
        sys.stdout.write(f'[{time.monotonic() - started:5.1f} s] {text}\n')
        sys.stdout.flush()

    await await_ready(cell)
    print_event(f'{len(cell.daemons)} daemons are ready')
    submitter = Submitter(
        addresses=[daemon.callers for daemon in cell.daemons],
    )
    sampler = UsageSampler(
        platform=cell.platform, capacity=_fleet_milli_cores()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sampler.run)
        await _run_workload(cell, works, submitter, print_event)
        nursery.cancel_scope.cancel()
    counts = await fetch_counts(cell.platform)
    return _print_report(submitter, counts, sampler.peak)


async def _run_workload(
    cell: CellProcesses,
    works: list[Work],
    submitter: Submitter,
    print_event: Callable[[str], None],
) -> None:
    lookups = [work for work in works if work.kind is Kind.LOOKUP]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submitter.send_lookups, lookups)
        await submitter.submit(works)
        print_event(f'{len(works) - len(lookups)} works were submitted')
        await trio.sleep(_LOSS_INTERVAL_S)
        await _kill_and_drain(
            cell.daemons[1], cell.daemons[2], submitter, print_event
        )
    print_event(f'{len(lookups)} lookups were answered')
    await submitter.wait_ended()
    print_event('all batch works and gangs have ended')


async def _kill_and_drain(
    killed: DaemonProcess,
    drained: DaemonProcess,
    submitter: Submitter,
    print_event: Callable[[str], None],
) -> None:
    submitter.drop(killed.callers)
    killed.process.kill()
    print_event(f'{killed.name} was killed')
    await trio.sleep(_LOSS_INTERVAL_S)
    submitter.drop(drained.callers)
    drained.process.terminate()
    print_event(f'{drained.name} is draining')


def _fleet_milli_cores() -> int:
    fleet = msgspec.toml.decode(
        (_FOLDER / 'fleet.toml').read_bytes(),
        type=FleetFile,
    )
    return sum(pool.workers * pool.capacity.milli_cores for pool in fleet.pool)


def _print_report(submitter: Submitter, counts: Counts, peak: float) -> bool:
    write = sys.stdout.write
    write(
        f'\n{"kind":8} {"accepted":>8} {"ran":>6} {"refused":>7} '
        f'{"wait p50":>10} {"wait p99":>10}\n',
    )
    for kind in Kind:
        sent = [
            entry
            for entry in submitter.sent.values()
            if entry.work.kind is kind
        ]
        write(_kind_row(kind, sent, counts))
    lost = _count_lost_tasks(submitter, counts)
    write(
        f'\npeak of processors in use: {peak:.0%}\n'
        f'overcommits {counts.overcommits}, doubled {len(counts.doubled)}, '
        f'lost {lost}\n',
    )
    return not (counts.overcommits or counts.doubled or lost)


def _kind_row(kind: Kind, sent: list[SentWork], counts: Counts) -> str:
    accepted = [entry for entry in sent if not entry.problem]
    waits = sorted(
        wait
        for entry in accepted
        if (wait := _wait_s(entry, counts)) is not None
    )
    ran = len(waits)
    return (
        f'{kind.value:8} {len(accepted):8} {ran:6} '
        f'{len(sent) - len(accepted):7} '
        f'{_percentile(waits, 0.5) * _MS:7.0f} ms '
        f'{_percentile(waits, 0.99) * _MS:7.0f} ms\n'
    )


def _wait_s(entry: SentWork, counts: Counts) -> float | None:
    """Return the time from sending to the first start or lookup answer."""
    if entry.work.kind is Kind.LOOKUP:
        return entry.answered_at - entry.sent_at
    first = counts.first_starts.get(f'{entry.work.id}#0')
    return None if first is None else first - entry.sent_at


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _count_lost_tasks(submitter: Submitter, counts: Counts) -> int:
    """Return how many accepted tasks of batches and gangs didn't complete."""
    lost = 0
    for entry in submitter.sent.values():
        if entry.problem or entry.work.kind not in {Kind.BATCH, Kind.GANG}:
            continue
        lost += sum(
            1
            for task in range(entry.work.tasks)
            if not counts.completions.get(f'{entry.work.id}#{task}')
        )
    return lost


def main() -> int:
    """Run the demonstration and return its exit status."""
    works = load_works(_FOLDER / 'workload.toml')
    with (
        tempfile.TemporaryDirectory() as folder,
        cell_processes(
            fleet=_FOLDER / 'fleet.toml',
            folder=Path(folder),
            daemons=3,
        ) as cell,
    ):
        passed = trio.run(run_demo, cell, works)
        for daemon in cell.daemons:
            log = Path(folder) / f'{daemon.name}.log'
            if not passed:
                sys.stdout.write(log.read_text(encoding='utf-8'))
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
