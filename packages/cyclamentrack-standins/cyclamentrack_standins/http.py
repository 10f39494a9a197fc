"""The stand-ins behind the platform's HTTP interface.

``GET /counts`` and ``POST /faults`` are extra: they read the counters and
switch faults.
"""

import hashlib
from collections.abc import Callable
from typing import Any

import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cyclamentrack.errors import (
    ConditionFailedError,
    StoreUncertainError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from cyclamentrack.ids import WorkerId
from cyclamentrack.ports import (
    FenceRequest,
    Instance,
    Lookup,
    Sync,
    Transaction,
    Watch,
)
from cyclamentrack_daemon import wire
from cyclamentrack_standins.cell import LaggingInstances
from cyclamentrack_standins.recorder import Recorder
from cyclamentrack_standins.table import MemoryStore, MemoryTable, StoreFaults
from cyclamentrack_standins.worker import StandinWorker, WorkerMode

_JSON = 'application/json'


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of the workers and the table service.

    ``doubled`` lists the tasks that ran in two places at a time,
    ``first_starts`` the first start of each task, in seconds of the
    machine's monotonic clock.
    """

    overcommits: int
    doubled: list[str]
    starts: int
    completions: dict[str, int]
    lookups: int
    starts_after_leaving: int
    table_writes: int
    table_reads: int
    used_milli_cores: int
    first_starts: dict[str, float]


class FaultRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Faults to switch, of the stores or of one worker.

    ``mode`` and ``reboot`` apply to the worker that ``worker`` names.
    """

    table: StoreFaults | None = None
    store: StoreFaults | None = None
    worker: str = ''
    mode: WorkerMode = WorkerMode.HEALTHY
    reboot: bool = False


class PlatformStandin:
    """Table service, object store, instance list and workers in one app."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        instances: list[Instance],
        lag_s: float,
        writes_per_s: float,
        real_run_s: Callable[..., float] | None = None,
    ) -> None:
        """Start a worker per instance and add it to the instance list.

        ``lag_s`` is the delay of the instance list in seconds,
        ``writes_per_s`` the write budget of the table service.
        """
        self.table = MemoryTable(writes_per_s=writes_per_s)
        self.store = MemoryStore()
        self.recorder = Recorder()
        self.instances = LaggingInstances(lag_s=lag_s)
        self.workers: dict[WorkerId, StandinWorker] = {}
        for instance in instances:
            worker = StandinWorker(
                instance=instance,
                recorder=self.recorder,
                nursery=nursery,
                real_run_s=real_run_s,
            )
            self.workers[instance.id] = worker
            self.instances.set(instance)
            nursery.start_soon(worker.enforce_lease)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/table/read', self._read, methods=['POST']),
                Route('/v1/table/scan', self._scan, methods=['POST']),
                Route('/v1/table/commit', self._commit, methods=['POST']),
                Route('/v1/objects', self._names, methods=['GET']),
                Route('/v1/objects/{key:path}', self._put, methods=['PUT']),
                Route('/v1/objects/{key:path}', self._fetch, methods=['GET']),
                Route(
                    '/v1/objects/{key:path}',
                    self._remove,
                    methods=['DELETE'],
                ),
                Route('/v1/instances', self._list, methods=['GET']),
                Route(
                    '/v1/workers/{id}/{verb}',
                    self._worker,
                    methods=['POST'],
                ),
                Route('/counts', self._counts, methods=['GET']),
                Route('/faults', self._set_faults, methods=['POST']),
            ],
            exception_handlers={
                ConditionFailedError: _on_failed_condition,
                StoreUncertainError: _on_outage,
                WorkerRefusedError: _on_refusal,
                WorkerUnreachableError: _on_unreachable_worker,
            },
        )

    def counts(self) -> Counts:
        """Return the counters as they are now."""
        recorder = self.recorder
        return Counts(
            overcommits=recorder.overcommits,
            doubled=recorder.doubled,
            starts=sum(recorder.starts.values()),
            completions=dict(recorder.completions),
            lookups=recorder.lookups,
            starts_after_leaving=sum(
                worker.starts_after_leaving for worker in self.workers.values()
            ),
            table_writes=self.table.writes,
            table_reads=self.table.reads,
            first_starts=recorder.first_starts,
            used_milli_cores=sum(
                worker.used.milli_cores for worker in self.workers.values()
            ),
        )

    async def _read(self, request: Request) -> Response:
        message = await _decode(request, wire.ReadRequest)
        rows = await self.table.read(keys=message.keys)
        return _json(wire.ReadReply(rows=rows))

    async def _scan(self, request: Request) -> Response:
        message = await _decode(request, wire.ScanRequest)
        rows = await self.table.scan(
            prefix=message.prefix,
            limit=message.limit,
            after=message.after,
        )
        return _json(rows)

    async def _commit(self, request: Request) -> Response:
        transaction = await _decode(request, Transaction)
        await self.table.commit(transaction=transaction)
        return _json('done')

    async def _names(self, request: Request) -> Response:
        prefix = request.query_params.get('prefix', '')
        names = await self.store.names(prefix=prefix)
        return _json(wire.NamesReply(names=names))

    async def _put(self, request: Request) -> Response:
        await self.store.put(
            key=request.path_params['key'],
            body=await request.body(),
        )
        return _json('done')

    async def _fetch(self, request: Request) -> Response:
        body = await self.store.fetch(key=request.path_params['key'])
        if body is None:
            return Response(status_code=wire.HTTP_NOT_FOUND)
        return Response(body)

    async def _remove(self, request: Request) -> Response:
        await self.store.remove(key=request.path_params['key'])
        return _json('done')

    async def _list(self, request: Request) -> Response:
        listed = await self.instances.list()
        digest = hashlib.blake2b(msgspec.json.encode(listed), digest_size=8)
        version = digest.hexdigest()
        if request.query_params.get('unless') == version:
            listed = []
        return _json(wire.InstancesReply(version=version, instances=listed))

    async def _worker(self, request: Request) -> Response:
        worker = self.workers[WorkerId(request.path_params['id'])]
        match request.path_params['verb']:
            case 'seal':
                return _json(
                    await worker.fence(await _decode(request, FenceRequest))
                )
            case 'sync':
                return _json(await worker.sync(await _decode(request, Sync)))
            case 'watch':
                watch = await _decode(request, Watch)
                return _json(await worker.watch(watch))
            case 'lookup':
                lookup = await _decode(request, Lookup)
                answer = await worker.lookup(lookup)
                return _json(wire.LookupReply(answer=answer))
        return Response(status_code=wire.HTTP_NOT_FOUND)

    async def _counts(self, request: Request) -> Response:
        del request
        return _json(self.counts())

    async def _set_faults(self, request: Request) -> Response:
        faults = await _decode(request, FaultRequest)
        if faults.table is not None:
            self.table.faults = faults.table
        if faults.store is not None:
            self.store.faults = faults.store
        if faults.worker:
            worker = self.workers[WorkerId(faults.worker)]
            worker.mode = faults.mode
            if faults.reboot:
                worker.reboot()
        return _json('done')


async def _decode(request: Request, into: Any) -> Any:
    return msgspec.json.decode(await request.body(), type=into)


def _json(message: object, status: int = wire.HTTP_OK) -> Response:
    return Response(
        msgspec.json.encode(message),
        status_code=status,
        media_type=_JSON,
    )


async def _on_failed_condition(
    request: Request, error: ConditionFailedError
) -> Response:
    del request
    return _json(wire.ConditionReply(key=error.key), wire.HTTP_CONFLICT)


async def _on_outage(request: Request, error: StoreUncertainError) -> Response:
    del request, error
    return Response(status_code=wire.HTTP_UNAVAILABLE)


async def _on_refusal(request: Request, error: WorkerRefusedError) -> Response:
    del request
    return _json(wire.RefusalReply(reason=error.reason), wire.HTTP_GONE)


async def _on_unreachable_worker(
    request: Request, error: WorkerUnreachableError
) -> Response:
    """Never reply, as when the connection to a silent worker is lost."""
    del request, error
    await trio.sleep_forever()
    return Response(status_code=wire.HTTP_UNAVAILABLE)
