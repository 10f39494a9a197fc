"""A cell in memory and the answers that its callers got."""

from typing import Any

import trio

from cyclamentrack.ids import PoolName, TeamName, WorkerId, WorkId
from cyclamentrack.node import Node
from cyclamentrack.ports import Instance
from cyclamentrack.resources import Resources
from cyclamentrack.work import Answer, Kind, Work
from cyclamentrack_daemon.callers import CallerRoutes
from cyclamentrack_daemon.operators import OperatorRoutes
from cyclamentrack_standins.cell import Cell
from features.harness.asgi import Reply, call_app
from features.harness.loop import PausedLoop

POOL = PoolName('booking')
SMALL = Resources(milli_cores=1000, memory_mib=1024)
_STEADY_TIMEOUT_S = 120
_POLL_INTERVAL_S = 0.25
_STEADY_PAUSE_S = 3.0


def worker_instance(number: int, *, per_rack: int = 3) -> Instance:
    """Return a worker of 16 cores and 64 GiB."""
    return Instance(
        id=WorkerId(f'worker-{number}'),
        address=f'worker-{number}',
        rack=f'rack-{number // per_rack}',
        zone=f'zone-{number % 3}',
        pool=POOL,
        capacity=Resources(milli_cores=16_000, memory_mib=65_536),
        slots=8,
    )


def make_work(name: str, **changes: Any) -> Work:
    """Return a small batch work with the given fields changed."""
    fields: dict[str, Any] = {
        'id': WorkId(name),
        'kind': Kind.BATCH,
        'team': TeamName('theatre'),
        'pool': POOL,
        'resources': SMALL,
        'run_s': 5.0,
    }
    return Work(**(fields | changes))


class World:
    """A cell on a clock that advances only while a step runs."""

    def __init__(self, *, seed: int = 1, tombstones: bool = True) -> None:
        """Start the loop and an empty cell."""
        self.loop = PausedLoop(seed=seed)
        self.cell = self.loop.run(self._make_cell, seed, tombstones)
        self.daemons: dict[str, Node] = {}
        self.answers: dict[str, Answer] = {}
        self.reply: Reply | None = None
        self.background: list[Any] = []

    def close(self) -> None:
        """End the loop and all its tasks."""
        self.loop.close()

    def add_workers(self, count: int) -> None:
        """Add workers to the cell."""
        self.loop.run(self._add_workers, count)

    def start(self, *names: str) -> None:
        """Start daemons and wait until the cell is steady."""
        for name in names:
            self.daemons[name] = self.loop.run(self._start, name)
        self.loop.run(self.await_steady)

    def node(self, name: str) -> Node:
        """Return the current node of a daemon.

        A fenced node is replaced by one of a new incarnation.
        """
        for node in self.cell.nodes.values():
            if node.me.daemon == name:
                return node
        return self.daemons[name]

    def any_node(self) -> Node:
        """Return the first of the running nodes."""
        return next(iter(self.cell.nodes.values()))

    def submit(self, works: list[Work], *, by: str = '') -> list[Answer]:
        """Submit works, store the answers by id and return them."""
        node = self.node(by) if by else self.any_node()
        answers = self.loop.run(node.router.submit, works, 5.0)
        for answer in answers:
            self.answers[answer.id] = answer
        return answers

    def show(self, name: str, wait_s: float = 0) -> Answer:
        """Return the state of a work as any daemon shows it."""
        return self.loop.run(self.any_node().router.show, WorkId(name), wait_s)

    def http(
        self, listener: str, method: str, target: str, body: bytes = b''
    ) -> Reply:
        """Send a request to a listener of any daemon."""
        self.reply = self.loop.run(self._call, listener, method, target, body)
        return self.reply

    async def await_steady(self) -> None:
        """Wait until the cell is steady, and some seconds more.

        It is steady when every partition has an owner, every worker is open
        and every daemon knows the pools.
        """
        with trio.fail_after(_STEADY_TIMEOUT_S):
            while not self._is_steady():
                await trio.sleep(_POLL_INTERVAL_S)
        await trio.sleep(_STEADY_PAUSE_S)

    def _is_steady(self) -> bool:
        nodes = list(self.cell.nodes.values())
        owned = sum(len(node.ownership.owned_partitions) for node in nodes)
        open_workers = sum(
            1
            for node in nodes
            for row in node.fleet.ledger.rows()
            if node.fleet.ledger.is_open(row.id)
        )
        pools_known = all(node.admission.pools for node in nodes)
        workers = len(self.cell.workers)
        return (
            owned == self.cell.partitions
            and open_workers == workers
            and pools_known
        )

    async def _make_cell(self, seed: int, tombstones: bool) -> Cell:
        return Cell(nursery=self.loop.nursery, seed=seed, tombstones=tombstones)

    async def _add_workers(self, count: int) -> None:
        first = len(self.cell.workers)
        for number in range(first, first + count):
            self.cell.add_worker(worker_instance(number))

    async def _start(self, name: str) -> Node:
        return self.cell.start_daemon(name)

    async def _call(
        self, listener: str, method: str, target: str, body: bytes
    ) -> Reply:
        if listener == 'callers':
            routes = CallerRoutes(node=self.any_node, draining=trio.Event())
        else:
            routes = OperatorRoutes(node=self.any_node)
        return await call_app(routes.app(), method, target, body)
