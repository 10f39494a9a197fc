"""Platform plug-ins, registered by name.

A plug-in creates the clients for the platform's services from the daemon's
settings. The built-in ``http`` plug-in calls the platform over HTTP.
"""

from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

import httpcore
import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.errors import (
    ConditionFailedError,
    SettingsError,
    StoreUncertainError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from cyclamentrack.ids import WorkerId
from cyclamentrack.ports import (
    FenceRequest,
    Instance,
    Instances,
    Lookup,
    ObjectStore,
    Row,
    Sync,
    SyncAnswer,
    Table,
    Transaction,
    Watch,
    Workers,
)
from cyclamentrack_daemon import wire
from cyclamentrack_daemon.settings import Settings
from cyclamentrack_daemon.traffic import traffic

_MAX_CONNECTIONS_PER_WORKER = 64
_MAX_PLATFORM_CONNECTIONS = 16
_KEEP_ALIVE_S = 30.0
_JSON = [(b'Content-Type', b'application/json')]
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
)


class PlatformServices(msgspec.Struct, frozen=True, kw_only=True):
    """Clients for the platform's services and the workers."""

    table: Table
    store: ObjectStore
    instances: Instances
    workers: Workers


PlatformPlugin = Callable[[Settings], PlatformServices]

_plugins: dict[str, PlatformPlugin] = {}


def register_platform(name: str) -> Callable[[PlatformPlugin], PlatformPlugin]:
    """Register a platform plug-in under the name used in the settings."""

    def decorate(plugin: PlatformPlugin) -> PlatformPlugin:
        _plugins[name] = plugin
        return plugin

    return decorate


def connect_platform(settings: Settings) -> PlatformServices:
    """Create the clients with the plug-in that the settings name.

    Raises ``SettingsError`` when there is no such plug-in.
    """
    name = settings.platform.plugin
    plugin = _plugins.get(name)
    if plugin is None:
        raise SettingsError(
            message=f'platform.plugin is {name!r}, which is not registered',
            remedy=f'use one of: {", ".join(sorted(_plugins))}',
        )
    return plugin(settings)


@register_platform('http')
def connect_http(settings: Settings) -> PlatformServices:
    """Create the clients of a platform that is called over HTTP."""
    pool = httpcore.AsyncConnectionPool(
        max_connections=_MAX_PLATFORM_CONNECTIONS,
        keepalive_expiry=_KEEP_ALIVE_S,
    )
    base = f'http://{settings.platform.address}/v1'
    return PlatformServices(
        table=HttpTable(pool=pool, base=base),
        store=HttpStore(pool=pool, base=base),
        instances=HttpInstances(pool=pool, base=base),
        workers=HttpWorkers(),
    )


class _Reply(msgspec.Struct, frozen=True, kw_only=True):
    status: int
    body: bytes


async def _call(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    body: bytes = b'',
) -> _Reply:
    replied = False
    try:
        response = await pool.request(method, url, headers=_JSON, content=body)
        replied = True
    finally:
        if not replied:
            await _close_idle(pool)
    traffic.count_call(body, response.content)
    return _Reply(status=response.status, body=response.content)


async def _close_idle(pool: httpcore.AsyncConnectionPool) -> None:
    """Close the connections that no call uses; they may be silent."""
    with trio.CancelScope(shield=True):
        for connection in list(pool.connections):
            if connection.is_idle():
                await connection.aclose()


async def _request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    body: bytes = b'',
) -> _Reply:
    """Call the platform.

    Raises ``StoreUncertainError`` for a timeout, a connection error or a
    status of 503 and above, after which the outcome of a write isn't known.
    """
    with trio.move_on_after(defaults.TABLE_TIMEOUT_S):
        try:
            reply = await _call(pool, method, url, body)
        except _CONNECTION_ERRORS as error:
            raise StoreUncertainError(message=f'{url}: {error!r}') from error
        if reply.status >= wire.HTTP_UNAVAILABLE:
            raise StoreUncertainError(message=f'{url}: status {reply.status}')
        return reply
    raise StoreUncertainError(message=f'{url} did not answer in time')


class HttpTable:
    """Client of the table service over HTTP."""

    def __init__(
        self, *, pool: httpcore.AsyncConnectionPool, base: str
    ) -> None:
        """Use a connection pool; ``base`` is the platform's URL."""
        self._pool = pool
        self._base = f'{base}/table'

    async def read(self, *, keys: Sequence[str]) -> list[Row | None]:
        """Return rows by key."""
        request = wire.ReadRequest(keys=list(keys))
        reply = await self._post('read', request)
        return msgspec.json.decode(reply.body, type=wire.ReadReply).rows

    async def scan(self, *, prefix: str, limit: int, after: str) -> list[Row]:
        """Return rows in key order."""
        request = wire.ScanRequest(prefix=prefix, limit=limit, after=after)
        reply = await self._post('scan', request)
        return msgspec.json.decode(reply.body, type=list[Row])

    async def commit(self, *, transaction: Transaction) -> None:
        """Apply a transaction."""
        reply = await self._post('commit', transaction)
        if reply.status == wire.HTTP_CONFLICT:
            failed = msgspec.json.decode(reply.body, type=wire.ConditionReply)
            raise ConditionFailedError(key=failed.key)

    async def _post(self, verb: str, request: Any) -> _Reply:
        return await _request(
            self._pool,
            'POST',
            f'{self._base}/{verb}',
            msgspec.json.encode(request),
        )


class HttpStore:
    """Client of the object store over HTTP."""

    def __init__(
        self, *, pool: httpcore.AsyncConnectionPool, base: str
    ) -> None:
        """Use a connection pool; ``base`` is the platform's URL."""
        self._pool = pool
        self._base = f'{base}/objects'

    async def put(self, *, key: str, body: bytes) -> None:
        """Store an object."""
        await _request(self._pool, 'PUT', self._url(key), body)

    async def fetch(self, *, key: str) -> bytes | None:
        """Return an object, or ``None``."""
        reply = await _request(self._pool, 'GET', self._url(key))
        return None if reply.status == wire.HTTP_NOT_FOUND else reply.body

    async def remove(self, *, key: str) -> None:
        """Remove an object."""
        await _request(self._pool, 'DELETE', self._url(key))

    async def names(self, *, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        url = f'{self._base}?prefix={quote(prefix, safe="")}'
        reply = await _request(self._pool, 'GET', url)
        return msgspec.json.decode(reply.body, type=wire.NamesReply).names

    def _url(self, key: str) -> str:
        return f'{self._base}/{quote(key, safe="/")}'


class HttpInstances:
    """Client of the instance list over HTTP."""

    def __init__(
        self, *, pool: httpcore.AsyncConnectionPool, base: str
    ) -> None:
        """Use a connection pool; ``base`` is the platform's URL."""
        self._pool = pool
        self._url = f'{base}/instances'
        self._version = ''
        self._last_list: list[Instance] = []

    async def list(self) -> list[Instance]:
        """Return the list, which is transferred only when it has changed."""
        url = f'{self._url}?unless={self._version}'
        reply = await _request(self._pool, 'GET', url)
        found = msgspec.json.decode(reply.body, type=wire.InstancesReply)
        if found.version != self._version:
            self._version = found.version
            self._last_list = found.instances
        return self._last_list


class HttpWorkers:
    """Client of the workers over HTTP, with a connection pool for each."""

    def __init__(self) -> None:
        """Start without connections."""
        self._pools: dict[WorkerId, httpcore.AsyncConnectionPool] = {}

    async def fence(
        self, *, instance: Instance, fence: FenceRequest
    ) -> SyncAnswer:
        """Fence a worker."""
        return await self._exchange(instance, 'seal', fence)

    async def sync(self, *, instance: Instance, sync: Sync) -> SyncAnswer:
        """Exchange commands and reports."""
        return await self._exchange(instance, 'sync', sync)

    async def watch(self, *, instance: Instance, watch: Watch) -> SyncAnswer:
        """Wait for attempts to end."""
        return await self._exchange(instance, 'watch', watch)

    async def lookup(self, *, instance: Instance, lookup: Lookup) -> str:
        """Run a lookup."""
        reply = await self._request(instance, 'lookup', lookup)
        return msgspec.json.decode(reply.body, type=wire.LookupReply).answer

    async def _exchange(
        self, instance: Instance, verb: str, request: Any
    ) -> SyncAnswer:
        reply = await self._request(instance, verb, request)
        return msgspec.json.decode(reply.body, type=SyncAnswer)

    async def _request(
        self, instance: Instance, verb: str, request: Any
    ) -> _Reply:
        pool = self._pool(instance.id)
        url = f'http://{instance.address}/v1/workers/{instance.id}/{verb}'
        try:
            reply = await _call(
                pool,
                'POST',
                url,
                msgspec.json.encode(request),
            )
        except _CONNECTION_ERRORS as error:
            raise WorkerUnreachableError(worker=instance.id) from error
        if reply.status == wire.HTTP_GONE:
            refusal = msgspec.json.decode(reply.body, type=wire.RefusalReply)
            raise WorkerRefusedError(
                worker=instance.id,
                reason=refusal.reason,
            )
        if reply.status != wire.HTTP_OK:
            raise WorkerUnreachableError(worker=instance.id)
        return reply

    def _pool(self, worker: WorkerId) -> httpcore.AsyncConnectionPool:
        """Return a worker's own connection pool.

        A shared pool would search all its connections on each call.
        """
        pool = self._pools.get(worker)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=_MAX_CONNECTIONS_PER_WORKER,
                keepalive_expiry=_KEEP_ALIVE_S,
            )
            self._pools[worker] = pool
        return pool
