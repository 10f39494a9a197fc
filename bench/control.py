"""Measures the cost of idle daemons in cells of 3, 6 and 12.

Daemons and stand-ins are processes on loopback with today's fleet. The cost
per peer is the least-squares slope over the cell sizes.
"""

import tempfile
from pathlib import Path

import httpcore
import msgspec
import trio

from bench.path import _processor_s
from bench.report import Report
from demo.__main__ import fetch_counts
from demo.processes import (
    CellProcesses,
    DaemonProcess,
    await_ready,
    cell_processes,
)

_FLEET = Path(__file__).parent.parent / 'demo' / 'fleet.toml'
_CELL_SIZES = (3, 6, 12)
_MEASURE_S = 8.0
_SETTLE_S = 6.0
_CORE_TARGET = 1.4
_MEMORY_TARGET_MB = 128
_BYTES_TARGET_KB = 13
_KB = 1000
_KIB_PER_MB = 1000 / 1.024


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """The mean cost of one idle daemon."""

    core_percent: float
    memory_mb: float
    kb_per_s: float
    reads_per_s: float
    writes_per_s: float


def measure() -> Report:
    """Measure each cell size, and report the slopes per peer."""
    report = Report(
        name='control',
        headings=['daemons', '% core', 'MB', 'KB/s', 'reads/s', 'writes/s'],
    )
    costs = {size: _run(size) for size in _CELL_SIZES}
    for size, cost in costs.items():
        report.add(size, *msgspec.structs.astuple(cost))
    largest = costs[_CELL_SIZES[-1]]
    for name, target, measured, unit in (
        ('processor, idle', _CORE_TARGET, largest.core_percent, '% of a core'),
        ('memory', _MEMORY_TARGET_MB, largest.memory_mb, 'MB'),
        ('network', _BYTES_TARGET_KB, largest.kb_per_s, 'KB/s'),
    ):
        report.at_most(name, target=target, measured=measured, unit=unit)
    for field in Cost.__struct_fields__:
        points = [(size, getattr(cost, field)) for size, cost in costs.items()]
        report.slopes[f'{field}_per_peer'] = _slope(points)
        report.slopes[f'{field}_at_{_CELL_SIZES[-1]}'] = points[-1][1]
    return report


def _run(size: int) -> Cost:
    with (
        tempfile.TemporaryDirectory() as folder,
        cell_processes(
            fleet=_FLEET, folder=Path(folder), daemons=size, partitions=64
        ) as cell,
    ):
        return trio.run(_observe, cell)


async def _observe(cell: CellProcesses) -> Cost:
    await await_ready(cell)
    await trio.sleep(_SETTLE_S)
    pids = [one.process.pid for one in cell.daemons]
    processor_s = sum(_processor_s(pid) for pid in pids)
    transferred = await _transferred_bytes(cell.daemons)
    before = await fetch_counts(cell.platform)
    await trio.sleep(_MEASURE_S)
    count = len(pids)
    after = await fetch_counts(cell.platform)
    processor_s = sum(_processor_s(pid) for pid in pids) - processor_s
    transferred = await _transferred_bytes(cell.daemons) - transferred
    daemon_seconds = _MEASURE_S * count
    return Cost(
        core_percent=processor_s / daemon_seconds * 100,
        memory_mb=sum(_memory_mb(pid) for pid in pids) / count,
        kb_per_s=transferred / daemon_seconds / _KB,
        reads_per_s=(after.table_reads - before.table_reads) / daemon_seconds,
        writes_per_s=(after.table_writes - before.table_writes)
        / daemon_seconds,
    )


async def _transferred_bytes(daemons: list[DaemonProcess]) -> float:
    """Return the bytes that all daemons have sent and received so far."""
    total = 0.0
    async with httpcore.AsyncConnectionPool() as pool:
        for daemon in daemons:
            reply = await pool.request(
                'GET', f'http://{daemon.operators}/v1/metrics'
            )
            for line in reply.content.decode().splitlines():
                if line.startswith('cyclamentrack_bytes_'):
                    total += float(line.split()[1])
    return total


def _memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KIB_PER_MB
    return 0


def _slope(points: list[tuple[float, float]]) -> float:
    """Return the least-squares slope of points."""
    sizes = [size for size, _ in points]
    middle = sum(sizes) / len(sizes)
    mean = sum(cost for _, cost in points) / len(points)
    spread = sum((size - middle) ** 2 for size in sizes)
    rise = sum((size - middle) * (cost - mean) for size, cost in points)
    return rise / spread
