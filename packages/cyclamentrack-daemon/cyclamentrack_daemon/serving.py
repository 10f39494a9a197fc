"""HTTP listeners through hypercorn."""

import logging
from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from starlette.types import ASGIApp

_SHUTDOWN_TIMEOUT_S = 90.0
_KEEP_ALIVE_S = 75.0


async def serve_http(
    app: ASGIApp,
    address: str,
    *,
    shutdown: Callable[[], Awaitable[None]],
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown`` returns.

    Requests in flight at that time are still answered in full.
    """
    config = Config()
    config.bind = [address]
    config.graceful_timeout = _SHUTDOWN_TIMEOUT_S
    config.shutdown_timeout = _SHUTDOWN_TIMEOUT_S
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.include_server_header = False
    config.errorlog = logging.getLogger('hypercorn.error')
    config.accesslog = None
    await serve(
        app,
        config,
        shutdown_trigger=shutdown,
        task_status=task_status,
    )
