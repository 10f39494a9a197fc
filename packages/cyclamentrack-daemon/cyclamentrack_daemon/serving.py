"""HTTP listeners through hypercorn."""

import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext
from starlette.types import ASGIApp

from cyclamentrack.metrics import Metrics
from cyclamentrack_daemon.connections import CallerConnection
from cyclamentrack_daemon.intake import Intake, IntakeLimits, Reason

_log = logging.getLogger(__name__)

_SHUTDOWN_TIMEOUT_S = 90.0
_SWEEP_S = 0.5
# The kernel doubles both. What it keeps for a connection counts as memory of
# the machine, and by default grows to megabytes.
_BUFFER_BYTES = 16 * 1024
# Linux only: the kernel drops what a client leaves unacknowledged for so long,
# also after the process has closed the connection.
_USER_TIMEOUT = getattr(socket, 'TCP_USER_TIMEOUT', None)
_MS_PER_S = 1000


async def serve_http(
    app: ASGIApp,
    address: str,
    *,
    shutdown: Callable[[], Awaitable[None]],
    limits: IntakeLimits | None = None,
    metrics: Metrics | None = None,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown`` returns.

    Requests in flight at that time are still answered in full. Connections
    beyond the limits are closed.
    """
    intake = Intake(limits=limits or IntakeLimits())
    config = _config(address, intake.limits)
    context = WorkerContext(None)
    async with trio.open_nursery() as sweeping:
        sweeping.start_soon(_sweep, intake, address, metrics or Metrics())
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                await accepting.start(
                    partial(
                        trio.serve_listeners,
                        partial(
                            CallerConnection,
                            ASGIWrapper(app),
                            config,
                            context,
                            intake,
                        ),
                        _listeners(config, intake.limits),
                        handler_nursery=connections,
                    )
                )
                task_status.started([f'http://{address}'])
                await shutdown()
                accepting.cancel_scope.cancel()
            await context.terminated.set()
            intake.close_idle()
            connections.cancel_scope.deadline = (
                trio.current_time() + _SHUTDOWN_TIMEOUT_S
            )
        sweeping.cancel_scope.cancel()


def _config(address: str, limits: IntakeLimits) -> Config:
    config = Config()
    config.bind = [address]
    config.include_server_header = False
    config.errorlog = logging.getLogger('hypercorn.error')
    config.accesslog = None
    config.h11_max_incomplete_size = limits.header_bytes
    return config


def _listeners(
    config: Config, limits: IntakeLimits
) -> list[trio.SocketListener]:
    listeners = []
    timeout_ms = int(limits.response_s * _MS_PER_S)
    for one in config.create_sockets().insecure_sockets:
        # Connections inherit these from the listening socket.
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
        if _USER_TIMEOUT is not None:
            one.setsockopt(socket.IPPROTO_TCP, _USER_TIMEOUT, timeout_ms)
        one.listen(config.backlog)
        listeners.append(
            trio.SocketListener(trio.socket.from_stdlib_socket(one))
        )
    return listeners


async def _sweep(intake: Intake, address: str, metrics: Metrics) -> None:
    """Close overdue connections, and report what was closed."""
    reported: Counter[Reason] = Counter()
    swept_at = trio.current_time()
    while True:
        await trio.sleep(_SWEEP_S)
        now = trio.current_time()
        intake.sweep(now - swept_at)
        swept_at = now
        metrics.gauge('caller_connections', intake.connections)
        metrics.gauge('caller_request_bytes', intake.held)
        closed = intake.closed - reported
        if closed:
            reported = intake.closed.copy()
            _report(closed, intake, address, metrics)


def _report(
    closed: Counter[Reason], intake: Intake, address: str, metrics: Metrics
) -> None:
    for reason, count in closed.items():
        metrics.count(f'connections_closed_{reason.value}', count)
    closed.pop(Reason.IDLE, None)
    if closed:
        _log.warning(
            'connections closed address=%s %s open=%d held_kb=%d',
            address,
            ' '.join(f'{one.value}={count}' for one, count in closed.items()),
            intake.connections,
            intake.held // 1024,
        )
