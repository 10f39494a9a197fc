"""Starts and stops the processes of a small cell on loopback."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Generator
from pathlib import Path

import httpcore
import msgspec
import trio

_READY_TIMEOUT_S = 20.0
_POLL_S = 0.1
_STOP_TIMEOUT_S = 10.0
_OK = 200


class DaemonProcess(msgspec.Struct, kw_only=True, eq=False):
    """One daemon process and the addresses of its listeners."""

    name: str
    callers: str
    operators: str
    process: subprocess.Popen


class CellProcesses(msgspec.Struct, kw_only=True, eq=False):
    """The stand-ins and the daemons of one cell."""

    platform: str
    standins: subprocess.Popen
    daemons: list[DaemonProcess]


def free_address() -> str:
    """Return a loopback address with a port that is currently free."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


@contextlib.contextmanager
def cell_processes(
    *, fleet: Path, folder: Path, daemons: int, partitions: int = 16
) -> Generator[CellProcesses]:
    """Start stand-ins and daemons; stop them all on exit.

    Settings and logs are written to ``folder``.
    """
    platform = free_address()
    started: list[subprocess.Popen] = []
    try:
        standins = _start_standins(fleet, folder, platform)
        started.append(standins)
        daemon_processes = [
            start_daemon(
                f'daemon-{number}',
                folder,
                platform,
                partitions=partitions,
            )
            for number in range(1, daemons + 1)
        ]
        started.extend(daemon.process for daemon in daemon_processes)
        yield CellProcesses(
            platform=platform,
            standins=standins,
            daemons=daemon_processes,
        )
    finally:
        for process in reversed(started):
            _stop_process(process)


def start_daemon(
    name: str, folder: Path, platform: str, *, partitions: int
) -> DaemonProcess:
    """Write a settings file for one daemon and start it."""
    callers, operators, peers = (free_address() for _ in range(3))
    settings = folder / f'{name}.toml'
    settings.write_text(
        f'instance = {{ name = "{name}", zone = "zone-1" }}\n'
        f'platform = {{ address = "{platform}" }}\n'
        f'cell = {{ partitions = {partitions} }}\n'
        '[listen]\n'
        f'callers = "{callers}"\n'
        f'operators = "{operators}"\n'
        f'peers = "{peers}"\n',
        encoding='utf-8',
    )
    log = (folder / f'{name}.log').open('ab')
    process = subprocess.Popen(
        [
            str(Path(sys.executable).parent / 'cyclamentrackd'),
            '--config',
            str(settings),
        ],
        stdout=log,
        stderr=log,
    )
    return DaemonProcess(
        name=name,
        callers=callers,
        operators=operators,
        process=process,
    )


async def await_ready(cell: CellProcesses) -> None:
    """Wait until every daemon is ready.

    Raises ``trio.TooSlowError`` after ``_READY_TIMEOUT_S``.
    """
    with trio.fail_after(_READY_TIMEOUT_S):
        for daemon in cell.daemons:
            while not await is_daemon_ready(daemon):
                await trio.sleep(_POLL_S)


async def is_daemon_ready(daemon: DaemonProcess) -> bool:
    """Return whether a daemon is ready and the cell can place work.

    Each partition must have an owner, and each worker must be open.
    """
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            reply = await pool.request(
                'GET',
                f'http://{daemon.operators}/v1/status',
            )
    except httpcore.NetworkError:
        return False
    if reply.status != _OK:
        return False
    status = msgspec.json.decode(reply.content)
    workers_open = status['workers'] == status['workers_open']
    owned = status['unowned'] == 0 and status['partitions'] > 0
    return bool(status['ready'] and owned and workers_open)


def _start_standins(
    fleet: Path, folder: Path, address: str
) -> subprocess.Popen:
    log = (folder / 'standins.log').open('ab')
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'cyclamentrack_standins',
            '--fleet',
            str(fleet),
            '--address',
            address,
        ],
        stdout=log,
        stderr=log,
    )


def _stop_process(process: subprocess.Popen) -> None:
    if process.poll() is not None:
        return
    os.kill(process.pid, signal.SIGTERM)
    try:
        process.wait(_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
