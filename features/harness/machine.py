"""Stateful fuzzing of daemons against the oracle, with faults as rules.

Hypothesis orders rules and their arguments by name, so renaming one changes
which examples a seed gives.
"""

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cyclamentrack.ids import DaemonId, WorkerId
from cyclamentrack.node import Node
from cyclamentrack.resources import Resources
from cyclamentrack.work import FINAL_STAGES, Answer, Kind, Stage, Work
from cyclamentrack_standins.network import NetworkFaults
from cyclamentrack_standins.table import StoreFaults
from cyclamentrack_standins.worker import WorkerMode
from features.harness.oracle import Oracle, Promise
from features.harness.world import World, make_work

_WORKERS = 6
_DAEMONS = ('a', 'b', 'c')
_SUBMIT_DEADLINE_S = 3.0
_END_TIMEOUT_S = 600.0
_INDEXES = st.integers(0, 1000)
_MILLI_CORES = st.sampled_from([500, 2000, 6000, 12_000])


class CellMachine(RuleBasedStateMachine):
    """Three daemons and six workers, with callers and all faults."""

    def __init__(self) -> None:
        super().__init__()
        self.world: World | None = None
        self.count = 0

    def make_world(self, seed: int) -> World:
        """Return a started world; a subclass may override it to plant a bug."""
        world = World(seed=seed)
        world.add_workers(_WORKERS)
        world.start(*_DAEMONS)
        return world

    @initialize(seed=st.integers(0, 3))
    def start(self, seed):
        self.world = self.make_world(seed)
        self.cell = self.world.cell
        self.oracle = Oracle(recorder=self.cell.recorder)

    # Callers

    @rule(
        pick=_INDEXES,
        cores=_MILLI_CORES,
        tasks=st.integers(1, 3),
        idempotent=st.booleans(),
        run_s=st.sampled_from([0.5, 3.0, 20.0]),
    )
    def submit_batch(self, pick, cores, tasks, idempotent, run_s):
        self._submit(
            pick,
            resources=Resources(milli_cores=cores, memory_mib=1024),
            tasks=tasks,
            idempotent=idempotent,
            run_s=run_s,
        )

    @rule(pick=_INDEXES, tasks=st.integers(2, 6), idempotent=st.booleans())
    def submit_gang(self, pick, tasks, idempotent):
        self._submit(
            pick,
            kind=Kind.GANG,
            resources=Resources(milli_cores=7000, memory_mib=1024),
            tasks=tasks,
            idempotent=idempotent,
        )

    @rule(pick=_INDEXES)
    def submit_service(self, pick):
        self._submit(
            pick, kind=Kind.SERVICE, tasks=2, idempotent=True, run_s=30.0
        )

    @rule(pick=_INDEXES)
    def look_up(self, pick):
        self.count += 1
        work = make_work(
            f'lookup-{self.count}',
            kind=Kind.LOOKUP,
            idempotent=True,
            payload=f'seat {self.count}',
            resources=Resources(milli_cores=100, memory_mib=64),
        )
        node = self._node(pick)
        done = self.world.loop.run(node.router.lookup, work)
        if done.problem is None:
            assert done.answer == f'answer to seat {self.count}'

    @rule(pick=_INDEXES, which=_INDEXES)
    def submit_again(self, pick, which):
        promises = list(self.oracle.promises.values())
        if promises:
            work = promises[which % len(promises)].work
            self._send(self._node(pick), work)

    @rule(pick=_INDEXES, which=_INDEXES)
    def cancel(self, pick, which):
        promises = list(self.oracle.promises.values())
        if not promises:
            return
        promise = promises[which % len(promises)]
        promise.cancelled = True
        self.world.loop.run(self._cancel, self._node(pick), promise.work)

    @rule(seconds=st.sampled_from([0.05, 0.4, 2.0, 9.0, 30.0]))
    def let_time_pass(self, seconds):
        self.world.loop.sleep(seconds)
        self.oracle.check_always()

    # Daemons

    @rule(pick=_INDEXES, replaced=st.booleans())
    def kill_daemon(self, pick, replaced):
        if len(self.cell.nodes) < 2:
            return
        node = self._node(pick)
        self.world.loop.run(self._kill, node, replaced)

    @rule(pick=_INDEXES)
    def start_daemon(self, pick):
        if len(self.cell.nodes) < 4:
            name = f'new-{pick}'
            self.world.loop.run(self._start, name)

    @rule(pick=_INDEXES)
    def freeze_daemon(self, pick):
        self.cell.freeze(self._node(pick))

    @rule()
    def thaw_all(self):
        self.world.loop.run(self._thaw)

    @rule(pick=_INDEXES)
    def drain_daemon(self, pick):
        if len(self.cell.nodes) >= 2:
            self.world.loop.run(self._drain, self._node(pick))

    # Platform

    @rule(
        out=st.booleans(),
        lost=st.sampled_from([0, 0.3]),
        slow=st.sampled_from([0, 0.8]),
    )
    def change_table(self, out, lost, slow):
        self.cell.table.faults = StoreFaults(
            out=out, lost_replies=lost, slow_s=slow
        )

    @rule(out=st.booleans())
    def change_store(self, out):
        self.cell.store.faults = StoreFaults(out=out)

    @rule()
    def platform_recovers(self):
        self.cell.table.faults = StoreFaults()
        self.cell.store.faults = StoreFaults()

    # Network

    @rule(
        lost=st.sampled_from([0, 0.05, 0.3]),
        doubled=st.sampled_from([0, 0.1]),
        late=st.sampled_from([0, 0.1]),
    )
    def change_network(self, lost, doubled, late):
        self.cell.network.faults = NetworkFaults(
            lost=lost, lost_replies=lost, doubled=doubled, late=late
        )

    @rule(pick=_INDEXES, other=_INDEXES)
    def cut_daemon_from_daemon(self, pick, other):
        one, two = self._node(pick), self._node(other)
        self.cell.network.cut(one.me.incarnation, two.me.incarnation)

    @rule(pick=_INDEXES, worker=_INDEXES)
    def cut_daemon_from_worker(self, pick, worker):
        node = self._node(pick)
        self.cell.network.cut(node.me.incarnation, self._worker(worker))

    @rule(pick=_INDEXES)
    def cut_daemon_from_table(self, pick):
        self.cell.network.cut(self._node(pick).me.incarnation, 'table')

    @rule()
    def mend_network(self):
        self.cell.network.mend()
        self.cell.network.faults = NetworkFaults()

    # Workers

    @rule(worker=_INDEXES)
    def reboot_worker(self, worker):
        self.world.loop.run(self._reboot, self._worker(worker))

    @rule(worker=_INDEXES, silent=st.booleans())
    def silence_worker(self, worker, silent):
        mode = WorkerMode.SILENT if silent else WorkerMode.HEALTHY
        self.cell.workers[self._worker(worker)].mode = mode

    def teardown(self):
        """Clear all faults, wait for the works to end and check each one."""
        if self.world is None:
            return
        try:
            self.world.loop.run(self._clear_faults)
            self.world.loop.run(self._await_ends)
            self.oracle.check_always()
            for promise in self.oracle.promises.values():
                answer = self.world.show(promise.work.id, 0)
                self.oracle.check_end(promise, answer)
        finally:
            self.world.close()

    # Helpers

    def _submit(self, pick, **changes):
        self.count += 1
        work = make_work(f'work-{self.count}', **changes)
        self.oracle.expect(work)
        self._send(self._node(pick), work)

    def _send(self, node: Node, work: Work):
        self.world.loop.run(self._send_one, node, work)
        self.oracle.check_always()

    async def _send_one(self, node: Node, work: Work):
        """Submit a work and stop waiting 2 seconds after its deadline."""
        with trio.move_on_after(_SUBMIT_DEADLINE_S + 2):
            for answer in await node.router.submit([work], _SUBMIT_DEADLINE_S):
                self.oracle.told(answer)

    async def _cancel(self, node: Node, work: Work):
        with trio.move_on_after(_SUBMIT_DEADLINE_S + 2):
            for answer in await node.router.cancel([work.id]):
                if isinstance(answer, Answer) and answer.view is not None:
                    self.oracle.told(answer)

    async def _kill(self, node: Node, replaced: bool):
        self.cell.kill(node)
        if replaced or not self.cell.nodes:
            self.cell.start_daemon(node.me.daemon)

    async def _start(self, name: str):
        self.cell.start_daemon(DaemonId(name))

    async def _drain(self, node: Node):
        with trio.move_on_after(40):
            await node.drain()
        with trio.move_on_after(2):
            await node.leave()
        self.cell.kill(node)

    async def _thaw(self):
        for node in list(self.cell.nodes.values()):
            self.cell.thaw(node)

    async def _reboot(self, worker: WorkerId):
        self.cell.workers[worker].reboot()

    async def _clear_faults(self):
        self.cell.table.faults = StoreFaults()
        self.cell.store.faults = StoreFaults()
        self.cell.network.mend()
        self.cell.network.faults = NetworkFaults()
        for worker in self.cell.workers.values():
            worker.mode = WorkerMode.HEALTHY
        await self._thaw()
        if not self.cell.nodes:
            self.cell.start_daemon(DaemonId('last'))

    async def _await_ends(self):
        """Wait until all works ended, at most as long as a target allows."""
        with trio.move_on_after(_END_TIMEOUT_S):
            await self.world.await_steady()
            for promise in self.oracle.promises.values():
                await self._await_end(promise)

    async def _await_end(self, promise: Promise):
        ended = FINAL_STAGES
        if promise.work.kind is Kind.SERVICE and not promise.cancelled:
            ended = FINAL_STAGES | {Stage.RUNNING}
        while True:
            node = self._node(0)
            answer = await node.router.show(promise.work.id, 0)
            if answer.view is None and not promise.accepted:
                return
            if answer.view is not None and answer.view.stage in ended:
                return
            await trio.sleep(1)

    def _node(self, pick: int) -> Node:
        nodes = list(self.cell.nodes.values())
        return nodes[pick % len(nodes)]

    def _worker(self, pick: int) -> WorkerId:
        workers = list(self.cell.workers)
        return workers[pick % len(workers)]
