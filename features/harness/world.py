"""The cell of one scenario and what its callers were told."""

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
_STEADY_LIMIT_S = 120
_POLL_S = 0.25
_SETTLE_S = 3.0


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
    """Return a small work, changed as asked."""
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
    """A cell under a paused clock."""

    def __init__(self, *, seed: int = 1, tombstones: bool = True) -> None:
        """Start the loop and an empty cell."""
        self.loop = PausedLoop(seed=seed)
        self.cell = self.loop.run(self._make_cell, seed, tombstones)
        self.daemons: dict[str, Node] = {}
        self.answers: dict[str, Answer] = {}
        self.reply: Reply | None = None
        self.background: list[Any] = []

    def close(self) -> None:
        """End everything."""
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
        """Return the current node of a daemon; a fenced one was replaced."""
        for node in self.cell.nodes.values():
            if node.me.daemon == name:
                return node
        return self.daemons[name]

    def any_node(self) -> Node:
        """Return a node that answers."""
        return next(iter(self.cell.nodes.values()))

    def submit(self, works: list[Work], *, by: str = '') -> list[Answer]:
        """Submit works and keep the answers."""
        node = self.node(by) if by else self.any_node()
        answers = self.loop.run(node.router.submit, works, 5.0)
        for answer in answers:
            self.answers[answer.id] = answer
        return answers

    def show(self, name: str, wait_s: float = 0) -> Answer:
        """Show a work through any daemon."""
        return self.loop.run(self.any_node().router.show, WorkId(name), wait_s)

    def http(
        self, listener: str, method: str, target: str, body: bytes = b''
    ) -> Reply:
        """Send a request to a listener of any daemon."""
        self.reply = self.loop.run(self._call, listener, method, target, body)
        return self.reply

    async def await_steady(self) -> None:
        """Wait until every partition has an owner and workers are open."""
        with trio.fail_after(_STEADY_LIMIT_S):
            while not self._is_steady():
                await trio.sleep(_POLL_S)
        await trio.sleep(_SETTLE_S)

    def _is_steady(self) -> bool:
        nodes = list(self.cell.nodes.values())
        held = sum(len(node.ownership.owned_partitions) for node in nodes)
        opened = sum(
            1
            for node in nodes
            for row in node.fleet.ledger.rows()
            if node.fleet.ledger.is_open(row.id)
        )
        seen = all(node.admission.pools for node in nodes)
        wanted = len(self.cell.workers)
        return held == self.cell.partitions and opened == wanted and seen

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
