"""Scripted failures, each with the guard that makes the promise hold.

A script must pass on the product as it is, and fail with its guard taken
out: that shows that the check can fail.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import trio

from cyclamentrack.ids import WorkerId, WorkId
from cyclamentrack.node import Node
from cyclamentrack.ports import StartCommand
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind, Stage, Work, partition_of
from cyclamentrack_standins.table import StoreFaults
from features.harness.oracle import Oracle
from features.harness.world import World, make_work

_TAKEOVER_S = 20
_END_S = 120
_LATE_S = 25


class Stand(msgspec.Struct, kw_only=True):
    """A started cell and its oracle."""

    world: World
    oracle: Oracle

    def submit(self, work: Work, node: Node, deadline_s: float = 5) -> Any:
        """Submit a work and tell the oracle what was answered."""
        self.oracle.expect(work)
        answers = self.world.loop.run(node.router.submit, [work], deadline_s)
        self.oracle.told(answers[0])
        return answers[0]

    def submit_later(self, work: Work, node: Node) -> None:
        """Submit in the background, as a caller that keeps waiting."""
        self.oracle.expect(work)
        self.world.loop.run(self._begin, work, node)

    def sleep(self, seconds: float) -> None:
        """Let time pass and check what must always hold."""
        self.world.loop.sleep(seconds)
        self.oracle.check_always()

    def finish(self) -> None:
        """Wait for all works and judge them."""
        self.sleep(_END_S)
        for promise in self.oracle.promises.values():
            answer = self.world.show(promise.work.id, 0)
            self.oracle.check_end(promise, answer)

    def work_of(self, node: Node, **changes: Any) -> Work:
        """Return a work whose book the node owns."""
        number = 0
        while True:
            number += 1
            name = f'{node.me.daemon}-work-{number}'
            if name in self.oracle.promises:
                continue
            partition = partition_of(name, self.world.cell.partitions)
            if partition in node.ownership.owned_partitions:
                return make_work(name, **changes)

    def worker_of(self, work: Work) -> WorkerId:
        """Return the worker of a work's only task."""
        for node in self.world.cell.nodes.values():
            record = node.works.find(work.id)
            if record is not None and record.tasks[0].site is not None:
                return record.tasks[0].site.worker
        raise AssertionError(f'{work.id} is not placed')

    def owner_of_worker(self, worker: WorkerId) -> Node:
        """Return the daemon that owns a worker."""
        for node in self.world.cell.nodes.values():
            if node.fleet.ledger.row(worker) is not None:
                return node
        raise AssertionError(f'nobody owns {worker}')

    async def _begin(self, work: Work, node: Node) -> None:
        self.world.loop.nursery.start_soon(self._submit_one, work, node)

    async def _submit_one(self, work: Work, node: Node) -> None:
        for answer in await node.router.submit([work], _LATE_S):
            self.oracle.told(answer)


def make_stand(daemons: str = 'abc', workers: int = 6) -> Stand:
    """Start a cell."""
    world = World()
    world.add_workers(workers)
    world.start(*daemons)
    return Stand(world=world, oracle=Oracle(recorder=world.cell.recorder))


def late_start(stand: Stand) -> None:
    """A start reaches its worker after the owner was replaced."""
    owner = _busiest(stand)
    work = stand.work_of(owner, idempotent=True, run_s=40.0)
    for worker in stand.world.cell.workers:
        stand.world.cell.network.slow(owner.me.incarnation, worker, _LATE_S)
    stand.submit(work, owner)
    stand.sleep(0.5)
    stand.world.loop.run(_kill, stand, owner)
    stand.sleep(_TAKEOVER_S)
    stand.finish()


def thawed_owner(stand: Stand) -> None:
    """An owner is paused in the middle of an accept, and wakes replaced."""
    owner = _busiest(stand)
    work = stand.work_of(owner, run_s=1.0)
    stand.world.cell.freeze(owner)
    stand.submit_later(work, owner)
    stand.sleep(_TAKEOVER_S)
    stand.world.loop.run(_thaw, stand, owner)
    stand.sleep(_TAKEOVER_S)
    stand.finish()


def kill_before_record(stand: Stand) -> None:
    """An owner dies while the table service has not confirmed an intent."""
    owner = _busiest(stand)
    work = stand.work_of(owner, run_s=2.0)
    stand.world.cell.table.faults = StoreFaults(slow_s=0.9, out=True)
    stand.submit_later(work, owner)
    stand.sleep(2)
    stand.world.loop.run(_kill, stand, owner)
    stand.world.cell.table.faults = StoreFaults()
    stand.sleep(_TAKEOVER_S)
    stand.submit(work, stand.world.any_node())
    stand.finish()


def short_silence(stand: Stand) -> None:
    """A worker is out of reach for less than its lease."""
    owner = _busiest(stand)
    work = stand.work_of(owner, idempotent=True, run_s=40.0)
    stand.submit(work, owner)
    stand.sleep(1)
    worker = stand.worker_of(work)
    agent = stand.owner_of_worker(worker)
    stand.world.cell.network.cut(agent.me.incarnation, worker)
    stand.sleep(6)
    stand.world.cell.network.mend()
    stand.finish()


def full_fleet(stand: Stand) -> None:
    """Far more work arrives than the workers can hold."""
    for node in list(stand.world.cell.nodes.values()):
        if not node.ownership.owned_partitions:
            continue
        work = stand.work_of(
            node,
            tasks=30,
            resources=Resources(milli_cores=6000, memory_mib=2048),
            run_s=2.0,
        )
        stand.submit(work, node)
    stand.sleep(5)
    stand.finish()


def refused_accept(stand: Stand) -> None:
    """The table service is out when work arrives, and comes back."""
    owner = _busiest(stand)
    stand.world.cell.table.faults = StoreFaults(out=True)
    first = stand.work_of(owner, run_s=1.0)
    stand.submit_later(first, owner)
    stand.sleep(0.2)
    second = stand.work_of(owner, run_s=1.0)
    answer = stand.submit(second, owner, 2)
    assert answer.problem is not None, answer
    stand.world.cell.table.faults = StoreFaults()
    stand.finish()


def lost_worker(stand: Stand) -> None:
    """A worker restarts while it runs non-idempotent work."""
    owner = _busiest(stand)
    work = stand.work_of(owner, run_s=20.0)
    stand.submit(work, owner)
    stand.sleep(1)
    worker = stand.worker_of(work)
    stand.world.loop.run(_reboot, stand, worker)
    stand.finish()
    answer = stand.world.show(work.id, 0)
    assert answer.view.stage is Stage.UNKNOWN, answer


def unkept_end(stand: Stand) -> None:
    """A task ends while its owner can't put the end on record, and dies."""
    owner = _busiest(stand)
    work = stand.work_of(owner, run_s=3.0)
    stand.submit(work, owner)
    stand.sleep(1)
    stand.world.cell.table.faults = StoreFaults(out=True)
    stand.sleep(4)
    stand.world.loop.run(_kill, stand, owner)
    stand.world.cell.table.faults = StoreFaults()
    stand.sleep(_TAKEOVER_S)
    stand.finish()
    answer = stand.world.show(work.id, 0)
    assert answer.view.stage is Stage.SUCCEEDED, answer


def leaving_worker(stand: Stand) -> None:
    """A worker leaves while work keeps coming."""
    worker = next(iter(stand.world.cell.workers))
    stand.world.loop.run(_leave, stand, worker)
    stand.sleep(3)
    stand.world.cell.workers[worker].leaving = True
    for _ in range(20):
        owner = _busiest(stand)
        work = stand.work_of(
            owner,
            resources=Resources(milli_cores=12_000, memory_mib=1024),
            idempotent=True,
            run_s=3.0,
        )
        stand.submit(work, owner)
        stand.sleep(0.2)
    refused = stand.world.cell.workers[worker].starts_after_leaving
    assert not refused, f'{refused} starts were sent to a leaving worker'
    stand.finish()


def cancel_wave(stand: Stand) -> None:
    """Thousands of works are called off while they wait, start and run."""
    nodes = [
        node
        for node in stand.world.cell.nodes.values()
        if node.ownership.owned_partitions
    ]
    works: list[Work] = []
    for number in range(2000):
        name = f'wave-{number}'
        work = make_work(name, run_s=30.0)
        stand.oracle.expect(work)
        works.append(work)
    answers = stand.world.loop.run(nodes[0].router.submit, works, 5)
    for answer in answers:
        stand.oracle.told(answer)
    stand.sleep(0.02)
    ids = [work.id for work in works]
    for work in works:
        stand.oracle.promises[work.id].cancelled = True
    for answer in stand.world.loop.run(nodes[-1].router.cancel, ids):
        stand.oracle.told(answer)
    stand.sleep(5)
    for worker in stand.world.cell.workers.values():
        assert not worker.used.milli_cores, 'capacity was not given back'
    for node in nodes:
        assert not len(node.queue), 'queue room was not given back'
    stand.finish()


def spread_gang(stand: Stand) -> None:
    """A gang needs the workers of several daemons."""
    owner = _busiest(stand)
    work = stand.work_of(
        owner,
        kind=Kind.GANG,
        idempotent=True,
        tasks=12,
        resources=Resources(milli_cores=7500, memory_mib=1024),
        run_s=5.0,
    )
    stand.submit(work, owner)
    stand.sleep(4)
    running = [
        worker.used.milli_cores for worker in stand.world.cell.workers.values()
    ]
    assert running == [15_000] * 6, running
    stand.finish()


def drained_daemon(stand: Stand) -> None:
    """A daemon drains while callers wait for answers."""
    owner = _busiest(stand)
    works = [stand.work_of(owner, run_s=2.0)]
    stand.submit(works[0], owner)
    told: list[Any] = []
    stand.world.loop.run(_wait_later, stand, owner, works[0].id, told)
    stand.sleep(0.2)
    stand.world.loop.run(owner.drain)
    assert not owner.ownership.owned_partitions
    stand.sleep(10)
    assert told, 'the waiting caller got no answer'
    assert told[0].view.stage is Stage.SUCCEEDED, told
    stand.world.loop.run(owner.leave)
    stand.world.loop.run(_kill, stand, owner)
    stand.finish()


def fenced_drain(stand: Stand) -> None:
    """A daemon is paused, replaced, and asked to drain as it wakes."""
    owner = _busiest(stand)
    work = stand.work_of(owner, run_s=2.0)
    stand.submit(work, owner)
    stand.world.cell.freeze(owner)
    stand.sleep(_TAKEOVER_S)
    stand.world.loop.run(_thaw, stand, owner)
    stand.world.loop.run(owner.drain)
    stand.world.loop.run(_kill, stand, owner)
    stand.finish()


def twin_names(stand: Stand) -> None:
    """A second daemon of the same name starts while the first one lives."""
    stand.world.loop.run(_start, stand, 'b')
    stand.sleep(_TAKEOVER_S)
    for node in list(stand.world.cell.nodes.values()):
        for number in range(6):
            name = f'from-{node.me.incarnation}-{number}'
            answer = stand.submit(make_work(name, run_s=1.0), node)
            assert answer.view is not None, answer
    stand.finish()


def crowded_gang(stand: Stand) -> None:
    """A gang waits for room at all daemons while other work has it."""
    owner = _busiest(stand)
    resources = Resources(milli_cores=15_000, memory_mib=1024)
    long = stand.work_of(
        owner, idempotent=True, tasks=4, resources=resources, run_s=20.0
    )
    stand.submit(long, owner)
    stand.sleep(3)
    gang = stand.work_of(
        owner,
        kind=Kind.GANG,
        idempotent=True,
        tasks=6,
        resources=resources,
        run_s=2.0,
    )
    stand.submit(gang, owner)
    stand.finish()


def over_user(stand: Stand) -> None:
    """A task uses far more than it declared, and is held to its part."""
    declared = Resources(milli_cores=1000, memory_mib=1024)
    greedy = Resources(milli_cores=10_000, memory_mib=1024)
    for worker in stand.world.cell.workers.values():
        worker.use_by(partial(_use_always, greedy))
    owner = _busiest(stand)
    work = stand.work_of(owner, resources=declared, run_s=30.0)
    stand.submit(work, owner)
    stand.sleep(15)
    worker = stand.world.cell.workers[stand.worker_of(work)]
    assert worker.really_used == declared, worker.really_used
    stand.finish()


def dead_journal(stand: Stand) -> None:
    """The journal of a dead daemon is removed once no book needs it."""
    owner = _busiest(stand)
    stand.submit(stand.work_of(owner, run_s=1.0), owner)
    stand.sleep(2)
    stand.world.loop.run(_kill, stand, owner)
    stand.sleep(_TAKEOVER_S)
    stand.finish()
    work = make_work('one-more', run_s=1.0)
    stand.submit(work, stand.world.any_node())
    stand.sleep(_END_S)
    rows = stand.world.loop.run(_journal_rows, stand)
    left = [row.key for row in rows if owner.me.incarnation in row.key]
    assert not left, left


def lookups_in_outage(stand: Stand) -> None:
    """Lookups go on while the table service is out for half a minute."""
    stand.world.cell.table.faults = StoreFaults(out=True)
    for number in range(30):
        stand.sleep(1)
        work = make_work(
            f'look-{number}',
            kind=Kind.LOOKUP,
            idempotent=True,
            payload=str(number),
        )
        node = stand.world.any_node()
        done = stand.world.loop.run(node.router.lookup, work)
        assert done.answer == f'answer to {number}', done
    stand.world.cell.table.faults = StoreFaults()
    stand.finish()


Script = Callable[[Stand], None]

SCRIPTS: dict[str, Script] = {
    script.__name__.replace('_', ' '): script
    for script in (
        late_start,
        thawed_owner,
        kill_before_record,
        short_silence,
        full_fleet,
        refused_accept,
        lost_worker,
        unkept_end,
        leaving_worker,
        cancel_wave,
        spread_gang,
        drained_daemon,
        fenced_drain,
        twin_names,
        crowded_gang,
        dead_journal,
        over_user,
        lookups_in_outage,
    )
}


def run_script(name: str) -> None:
    """Run a script on a new cell; raise when a promise is broken."""
    stand = make_stand()
    try:
        SCRIPTS[name](stand)
    finally:
        stand.world.close()


def _busiest(stand: Stand) -> Node:
    return max(
        stand.world.cell.nodes.values(),
        key=lambda node: len(node.ownership.owned_partitions),
    )


def _use_always(use: Resources, command: StartCommand) -> Resources:
    del command
    return use


async def _start(stand: Stand, name: str) -> None:
    stand.world.cell.start_daemon(name)


async def _journal_rows(stand: Stand) -> list[Any]:
    return await stand.world.cell.table.scan(
        prefix='journal/', limit=1000, after=''
    )


async def _kill(stand: Stand, node: Node) -> None:
    stand.world.cell.kill(node)


async def _thaw(stand: Stand, node: Node) -> None:
    stand.world.cell.thaw(node)


async def _reboot(stand: Stand, worker: WorkerId) -> None:
    stand.world.cell.workers[worker].reboot()


async def _leave(stand: Stand, worker: WorkerId) -> None:
    stand.world.cell.leave(worker)


async def _wait_later(
    stand: Stand, node: Node, work: WorkId, told: list[Any]
) -> None:
    async def wait() -> None:
        told.append(await node.router.show(work, 30))

    stand.world.loop.nursery.start_soon(wait)
    await trio.lowlevel.checkpoint()
