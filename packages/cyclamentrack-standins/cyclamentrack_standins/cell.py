"""A cell in memory: daemons, platform and workers in one process."""

from collections.abc import Callable, Sequence

import msgspec
import trio

from cyclamentrack.errors import (
    FencedError,
    PeerUnreachableError,
    StoreUncertainError,
    WorkerUnreachableError,
)
from cyclamentrack.ids import DaemonId, Incarnation, WorkerId
from cyclamentrack.membership import Member
from cyclamentrack.messages import PeerMessage
from cyclamentrack.node import Node, Platform
from cyclamentrack.ports import (
    FenceRequest,
    Instance,
    InstanceState,
    Lookup,
    Row,
    Sync,
    SyncAnswer,
    Transaction,
    Watch,
)
from cyclamentrack_standins.network import Network, NoReplyError
from cyclamentrack_standins.recorder import Recorder
from cyclamentrack_standins.table import MemoryStore, MemoryTable
from cyclamentrack_standins.worker import StandinWorker

_TABLE = 'table'
_STORE = 'store'


class LaggingInstances:
    """The platform's instance list, which shows changes after a delay."""

    def __init__(self, *, lag_s: float) -> None:
        """Create an empty list that shows changes after ``lag_s`` seconds."""
        self._lag_s = lag_s
        self._changes: list[tuple[float, Instance, bool]] = []

    def set(self, instance: Instance, *, listed: bool = True) -> None:
        """Add, change or (with ``listed=False``) remove an instance."""
        self._changes.append((trio.current_time(), instance, listed))

    async def list(self) -> list[Instance]:
        """Return the list as it was ``lag_s`` seconds ago."""
        shown_until = trio.current_time() - self._lag_s
        shown: dict[WorkerId, Instance] = {}
        for at, instance, listed in self._changes:
            if at > shown_until:
                break
            shown.pop(instance.id, None)
            if listed:
                shown[instance.id] = instance
        return list(shown.values())


class _RemoteTable:
    """The table service, called by one daemon over the network."""

    def __init__(self, *, cell: 'Cell', name: str) -> None:
        self._cell = cell
        self._name = name

    async def read(self, *, keys: Sequence[str]) -> list[Row | None]:
        return await self._call(lambda: self._cell.table.read(keys=keys))

    async def scan(self, *, prefix: str, limit: int, after: str) -> list[Row]:
        return await self._call(
            lambda: self._cell.table.scan(
                prefix=prefix,
                limit=limit,
                after=after,
            ),
        )

    async def commit(self, *, transaction: Transaction) -> None:
        await self._call(
            lambda: self._cell.table.commit(transaction=transaction),
        )

    async def _call(self, handler: Callable) -> object:
        try:
            return await self._cell.network.call(self._name, _TABLE, handler)
        except NoReplyError as no_reply:
            raise StoreUncertainError(message='no reply') from no_reply


class _RemoteStore:
    """The object store, called by one daemon over the network."""

    def __init__(self, *, cell: 'Cell', name: str) -> None:
        self._cell = cell
        self._name = name

    async def put(self, *, key: str, body: bytes) -> None:
        await self._call(lambda: self._cell.store.put(key=key, body=body))

    async def fetch(self, *, key: str) -> bytes | None:
        return await self._call(lambda: self._cell.store.fetch(key=key))

    async def remove(self, *, key: str) -> None:
        await self._call(lambda: self._cell.store.remove(key=key))

    async def names(self, *, prefix: str) -> list[str]:
        return await self._call(lambda: self._cell.store.names(prefix=prefix))

    async def _call(self, handler: Callable) -> object:
        try:
            return await self._cell.network.call(self._name, _STORE, handler)
        except NoReplyError as no_reply:
            raise StoreUncertainError(message='no reply') from no_reply


class _RemoteWorkers:
    """The workers, called by one daemon over the network."""

    def __init__(self, *, cell: 'Cell', name: str) -> None:
        self._cell = cell
        self._name = name

    async def fence(
        self, *, instance: Instance, fence: FenceRequest
    ) -> SyncAnswer:
        return await self._call(instance, lambda one: one.fence(fence))

    async def sync(self, *, instance: Instance, sync: Sync) -> SyncAnswer:
        return await self._call(instance, lambda one: one.sync(sync))

    async def watch(self, *, instance: Instance, watch: Watch) -> SyncAnswer:
        return await self._call(instance, lambda one: one.watch(watch))

    async def lookup(self, *, instance: Instance, lookup: Lookup) -> str:
        return await self._call(instance, lambda one: one.lookup(lookup))

    async def _call(self, instance: Instance, handler: Callable) -> object:
        worker = self._cell.workers[instance.id]
        try:
            return await self._cell.network.call(
                self._name,
                instance.id,
                lambda: handler(worker),
            )
        except NoReplyError as no_reply:
            raise WorkerUnreachableError(worker=instance.id) from no_reply


class _RemotePeers:
    """The other daemons, called by one daemon over the network."""

    def __init__(self, *, cell: 'Cell', name: str) -> None:
        self._cell = cell
        self._name = name

    async def call(
        self, *, address: str, message: PeerMessage, timeout_s: float
    ) -> PeerMessage:
        with trio.move_on_after(timeout_s):
            return await self._call(address, message)
        raise PeerUnreachableError(peer=address)

    async def _call(self, address: str, message: PeerMessage) -> PeerMessage:
        node = self._cell.nodes.get(DaemonId(address))
        if node is None:
            raise PeerUnreachableError(peer=address)
        try:
            return await self._cell.network.call(
                self._name,
                address,
                lambda: node.handle(message),
            )
        except NoReplyError as no_reply:
            raise PeerUnreachableError(peer=address) from no_reply


class Cell:
    """Daemons, platform and workers, with faults that tests switch on.

    Faults are set on ``table``, ``store``, ``network`` and on each worker.
    ``fenced`` lists the incarnations that ended with ``FencedError``.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        seed: int = 0,
        partitions: int = 8,
        lag_s: float = 1.0,
        tombstones: bool = True,
    ) -> None:
        """Create a cell without daemons and workers.

        ``lag_s`` is the delay of the instance list in seconds.
        """
        self.nursery = nursery
        self.table = MemoryTable(seed=seed)
        self.store = MemoryStore()
        self.network = Network(nursery=nursery, seed=seed)
        self.recorder = Recorder()
        self.instances = LaggingInstances(lag_s=lag_s)
        self.workers: dict[WorkerId, StandinWorker] = {}
        self.nodes: dict[DaemonId, Node] = {}
        self.fenced: list[str] = []
        self.partitions = partitions
        self._seed = seed
        self._incarnation_count = 0
        self._tombstones = tombstones

    def add_worker(self, instance: Instance, **options: object) -> None:
        """Start a worker and add it to the instance list.

        ``options`` are passed on to ``StandinWorker``.
        """
        worker = StandinWorker(
            instance=instance,
            recorder=self.recorder,
            nursery=self.nursery,
            **options,
        )
        self.workers[instance.id] = worker
        self.instances.set(instance)
        self.nursery.start_soon(worker.enforce_lease)

    def leave(self, worker: WorkerId) -> None:
        """Show a worker as leaving, in the instance list only."""
        instance = self.workers[worker].instance
        self.instances.set(
            msgspec.structs.replace(instance, state=InstanceState.LEAVING),
        )

    def start_daemon(self, name: str) -> Node:
        """Start a daemon; a name used before gets a new incarnation."""
        self._incarnation_count += 1
        incarnation = Incarnation(f'{name}.{self._incarnation_count}')
        node = Node(
            platform=Platform(
                table=_RemoteTable(cell=self, name=incarnation),
                store=_RemoteStore(cell=self, name=incarnation),
                instances=self.instances,
                workers=_RemoteWorkers(cell=self, name=incarnation),
                peers=_RemotePeers(cell=self, name=incarnation),
            ),
            me=Member(
                daemon=DaemonId(name),
                incarnation=incarnation,
                peer=incarnation,
                zone='zone-1',
            ),
            wall_clock=trio.current_time,
            partitions=self.partitions,
            seed=self._seed,
            tombstones=self._tombstones,
        )
        self.nodes[DaemonId(incarnation)] = node
        self.nursery.start_soon(self._run, node)
        return node

    def kill(self, node: Node) -> None:
        """Stop a daemon at once; its messages are lost from now on."""
        self.network.kill(node.me.incarnation)
        node.stop()
        self.nodes.pop(DaemonId(node.me.incarnation), None)

    def freeze(self, node: Node) -> None:
        """Pause a daemon's messages until it is thawed."""
        self.network.freeze(node.me.incarnation)

    def thaw(self, node: Node) -> None:
        """Resume a frozen daemon's messages."""
        self.network.thaw(node.me.incarnation)

    async def _run(self, node: Node) -> None:
        """Run a node; after it was fenced, start a new incarnation."""
        try:
            await node.run()
        except* FencedError:
            self.fenced.append(node.me.incarnation)
            self.network.kill(node.me.incarnation)
            self.nodes.pop(DaemonId(node.me.incarnation), None)
            self.start_daemon(node.me.daemon)
