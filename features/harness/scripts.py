"""Scripted failures of a cell in memory, checked by the oracle.

A script must pass with the product as it is. The scripts that
``failures.feature`` pairs with a guard must also fail without that guard,
which shows that the checks can fail.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.ids import WorkerId, WorkId
from cyclamentrack.node import Node
from cyclamentrack.ports import StartCommand
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind, Stage, Work, partition_of
from cyclamentrack_standins.table import StoreFaults
from features.harness.oracle import Oracle
from features.harness.partitions import (
    largest_owner,
    returned_partitions,
    works_in,
)
from features.harness.world import World, make_work

_TAKEOVER_S = 20
_END_S = 120
# Longer than a takeover.
_DELAY_S = 25


class Testbed(msgspec.Struct, kw_only=True):
    """A started cell and its oracle."""

    world: World
    oracle: Oracle

    def submit(self, work: Work, node: Node, deadline_s: float = 5) -> Any:
        """Submit a work, record the answer in the oracle and return it."""
        self.oracle.expect(work)
        answers = self.world.loop.run(node.router.submit, [work], deadline_s)
        self.oracle.told(answers[0])
        return answers[0]

    def submit_later(self, work: Work, node: Node) -> None:
        """Submit in the background and record the answer when it comes."""
        self.oracle.expect(work)
        self.world.loop.run(self._start_submit, work, node)

    def sleep(self, seconds: float) -> None:
        """Let time pass and check the invariants."""
        self.world.loop.sleep(seconds)
        self.oracle.check_always()

    def finish(self) -> None:
        """Wait for all works to end and check their final states."""
        self.sleep(_END_S)
        for promise in self.oracle.promises.values():
            answer = self.world.show(promise.work.id, 0)
            self.oracle.check_end(promise, answer)

    def work_of(self, node: Node, **changes: Any) -> Work:
        """Return a new work in one of the node's partitions."""
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
        """Return the worker on which the first task of a work is placed."""
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
        raise AssertionError(f'no daemon owns {worker}')

    async def _start_submit(self, work: Work, node: Node) -> None:
        self.world.loop.nursery.start_soon(self._submit_and_record, work, node)

    async def _submit_and_record(self, work: Work, node: Node) -> None:
        for answer in await node.router.submit([work], _DELAY_S):
            self.oracle.told(answer)


def make_testbed(daemons: str = 'abc', workers: int = 6) -> Testbed:
    """Start a cell with one daemon per letter of ``daemons``."""
    world = World()
    world.add_workers(workers)
    world.start(*daemons)
    return Testbed(world=world, oracle=Oracle(recorder=world.cell.recorder))


def late_start(testbed: Testbed) -> None:
    """A start order reaches its worker after the owner was replaced."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, idempotent=True, run_s=40.0)
    for worker in testbed.world.cell.workers:
        testbed.world.cell.network.slow(owner.me.incarnation, worker, _DELAY_S)
    testbed.submit(work, owner)
    testbed.sleep(0.5)
    testbed.world.loop.run(_kill, testbed, owner)
    testbed.sleep(_TAKEOVER_S)
    testbed.finish()


def resumed_owner(testbed: Testbed) -> None:
    """An owner is paused while it accepts a work, and is replaced meanwhile."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, run_s=1.0)
    testbed.world.cell.freeze(owner)
    testbed.submit_later(work, owner)
    testbed.sleep(_TAKEOVER_S)
    testbed.world.loop.run(_thaw, testbed, owner)
    testbed.sleep(_TAKEOVER_S)
    testbed.finish()


def kill_before_commit(testbed: Testbed) -> None:
    """An owner dies before the table service confirmed its commit."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, run_s=2.0)
    testbed.world.cell.table.faults = StoreFaults(slow_s=0.9, out=True)
    testbed.submit_later(work, owner)
    testbed.sleep(2)
    testbed.world.loop.run(_kill, testbed, owner)
    testbed.world.cell.table.faults = StoreFaults()
    testbed.sleep(_TAKEOVER_S)
    testbed.submit(work, testbed.world.any_node())
    testbed.finish()


def short_disconnect(testbed: Testbed) -> None:
    """A worker is unreachable for less than its lease."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, idempotent=True, run_s=40.0)
    testbed.submit(work, owner)
    testbed.sleep(1)
    worker = testbed.worker_of(work)
    worker_owner = testbed.owner_of_worker(worker)
    testbed.world.cell.network.cut(worker_owner.me.incarnation, worker)
    testbed.sleep(6)
    testbed.world.cell.network.mend()
    testbed.finish()


def overloaded_fleet(testbed: Testbed) -> None:
    """Far more work arrives than fits on the workers at once."""
    for node in list(testbed.world.cell.nodes.values()):
        if not node.ownership.owned_partitions:
            continue
        work = testbed.work_of(
            node,
            tasks=30,
            resources=Resources(milli_cores=6000, memory_mib=2048),
            run_s=2.0,
        )
        testbed.submit(work, node)
    testbed.sleep(5)
    testbed.finish()


def refused_submission(testbed: Testbed) -> None:
    """Work arrives during an outage of the table service, which ends later."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    testbed.world.cell.table.faults = StoreFaults(out=True)
    first = testbed.work_of(owner, run_s=1.0)
    testbed.submit_later(first, owner)
    testbed.sleep(0.2)
    second = testbed.work_of(owner, run_s=1.0)
    answer = testbed.submit(second, owner, 2)
    assert answer.problem is not None, answer
    testbed.world.cell.table.faults = StoreFaults()
    testbed.finish()


def restarted_worker(testbed: Testbed) -> None:
    """A worker restarts while it runs non-idempotent work."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, run_s=20.0)
    testbed.submit(work, owner)
    testbed.sleep(1)
    worker = testbed.worker_of(work)
    testbed.world.loop.run(_reboot, testbed, worker)
    testbed.finish()
    answer = testbed.world.show(work.id, 0)
    assert answer.view.stage is Stage.UNKNOWN, answer


def unrecorded_end(testbed: Testbed) -> None:
    """A task ends, but its owner can't record the end and dies."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, run_s=3.0)
    testbed.submit(work, owner)
    testbed.sleep(1)
    testbed.world.cell.table.faults = StoreFaults(out=True)
    testbed.sleep(4)
    testbed.world.loop.run(_kill, testbed, owner)
    testbed.world.cell.table.faults = StoreFaults()
    testbed.sleep(_TAKEOVER_S)
    testbed.finish()
    answer = testbed.world.show(work.id, 0)
    assert answer.view.stage is Stage.SUCCEEDED, answer


def leaving_worker(testbed: Testbed) -> None:
    """A worker leaves while works keep arriving."""
    worker = next(iter(testbed.world.cell.workers))
    testbed.world.loop.run(_leave, testbed, worker)
    testbed.sleep(3)
    testbed.world.cell.workers[worker].leaving = True
    for _ in range(20):
        owner = largest_owner(testbed.world.cell.nodes.values())
        work = testbed.work_of(
            owner,
            resources=Resources(milli_cores=12_000, memory_mib=1024),
            idempotent=True,
            run_s=3.0,
        )
        testbed.submit(work, owner)
        testbed.sleep(0.2)
    refused = testbed.world.cell.workers[worker].starts_after_leaving
    assert not refused, f'{refused} starts were sent to a leaving worker'
    testbed.finish()


def mass_cancel(testbed: Testbed) -> None:
    """2000 works are cancelled while they wait, start and run."""
    nodes = [
        node
        for node in testbed.world.cell.nodes.values()
        if node.ownership.owned_partitions
    ]
    works: list[Work] = []
    for number in range(2000):
        name = f'wave-{number}'
        work = make_work(name, run_s=30.0)
        testbed.oracle.expect(work)
        works.append(work)
    answers = testbed.world.loop.run(nodes[0].router.submit, works, 5)
    for answer in answers:
        testbed.oracle.told(answer)
    testbed.sleep(0.02)
    ids = [work.id for work in works]
    for work in works:
        testbed.oracle.promises[work.id].cancelled = True
    for answer in testbed.world.loop.run(nodes[-1].router.cancel, ids):
        testbed.oracle.told(answer)
    testbed.sleep(5)
    for worker in testbed.world.cell.workers.values():
        assert not worker.used.milli_cores, 'capacity was not released'
    for node in nodes:
        assert not len(node.queue), 'queue space was not released'
    testbed.finish()


def gang_across_daemons(testbed: Testbed) -> None:
    """A gang needs the workers of several daemons."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(
        owner,
        kind=Kind.GANG,
        idempotent=True,
        tasks=12,
        resources=Resources(milli_cores=7500, memory_mib=1024),
        run_s=5.0,
    )
    testbed.submit(work, owner)
    testbed.sleep(4)
    running = [
        worker.used.milli_cores
        for worker in testbed.world.cell.workers.values()
    ]
    assert running == [15_000] * 6, running
    testbed.finish()


def drained_daemon(testbed: Testbed) -> None:
    """A daemon drains while a caller waits for an answer."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    works = [testbed.work_of(owner, run_s=2.0)]
    testbed.submit(works[0], owner)
    answers: list[Any] = []
    testbed.world.loop.run(_show_later, testbed, owner, works[0].id, answers)
    testbed.sleep(0.2)
    testbed.world.loop.run(owner.drain)
    assert not owner.ownership.owned_partitions
    testbed.sleep(10)
    assert answers, 'the waiting caller got no answer'
    assert answers[0].view.stage is Stage.SUCCEEDED, answers
    testbed.world.loop.run(owner.leave)
    testbed.world.loop.run(_kill, testbed, owner)
    testbed.finish()


def drain_after_replacement(testbed: Testbed) -> None:
    """A daemon is paused and replaced, and must drain when it resumes."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, run_s=2.0)
    testbed.submit(work, owner)
    testbed.world.cell.freeze(owner)
    testbed.sleep(_TAKEOVER_S)
    testbed.world.loop.run(_thaw, testbed, owner)
    testbed.world.loop.run(owner.drain)
    testbed.world.loop.run(_kill, testbed, owner)
    testbed.finish()


def duplicate_name(testbed: Testbed) -> None:
    """A second daemon of the same name starts while the first one runs."""
    testbed.world.loop.run(_start, testbed, 'b')
    testbed.sleep(_TAKEOVER_S)
    for node in list(testbed.world.cell.nodes.values()):
        for number in range(6):
            name = f'from-{node.me.incarnation}-{number}'
            answer = testbed.submit(make_work(name, run_s=1.0), node)
            assert answer.view is not None, answer
    testbed.finish()


def gang_without_capacity(testbed: Testbed) -> None:
    """A gang waits for capacity of all daemons that other work occupies."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    resources = Resources(milli_cores=15_000, memory_mib=1024)
    long_work = testbed.work_of(
        owner, idempotent=True, tasks=4, resources=resources, run_s=20.0
    )
    testbed.submit(long_work, owner)
    testbed.sleep(3)
    gang = testbed.work_of(
        owner,
        kind=Kind.GANG,
        idempotent=True,
        tasks=6,
        resources=resources,
        run_s=2.0,
    )
    testbed.submit(gang, owner)
    testbed.finish()


def excess_usage(testbed: Testbed) -> None:
    """A task that uses far more than it declared is throttled to that."""
    declared = Resources(milli_cores=1000, memory_mib=1024)
    excess = Resources(milli_cores=10_000, memory_mib=1024)
    for worker in testbed.world.cell.workers.values():
        worker.use_by(partial(_constant_usage, excess))
    owner = largest_owner(testbed.world.cell.nodes.values())
    work = testbed.work_of(owner, resources=declared, run_s=30.0)
    testbed.submit(work, owner)
    testbed.sleep(15)
    worker = testbed.world.cell.workers[testbed.worker_of(work)]
    assert worker.really_used == declared, worker.really_used
    testbed.finish()


def journal_of_dead_daemon(testbed: Testbed) -> None:
    """The journal of a dead daemon is removed once no registry needs it."""
    owner = largest_owner(testbed.world.cell.nodes.values())
    testbed.submit(testbed.work_of(owner, run_s=1.0), owner)
    testbed.sleep(2)
    testbed.world.loop.run(_kill, testbed, owner)
    testbed.sleep(_TAKEOVER_S)
    testbed.finish()
    work = make_work('one-more', run_s=1.0)
    testbed.submit(work, testbed.world.any_node())
    testbed.sleep(_END_S)
    rows = testbed.world.loop.run(_journal_rows, testbed)
    remaining = [row.key for row in rows if owner.me.incarnation in row.key]
    assert not remaining, remaining


def partition_returns(testbed: Testbed) -> None:
    """A daemon acquires partitions again that it released to another one."""
    world = testbed.world
    former = {
        partition: node
        for node in world.cell.nodes.values()
        for partition in node.ownership.owned_partitions
    }
    world.loop.run(_start, testbed, 'd')
    testbed.sleep(_TAKEOVER_S)
    moved = set(world.node('d').ownership.owned_partitions)
    world.loop.run(_kill, testbed, world.node('d'))
    testbed.sleep(_TAKEOVER_S)
    owner, returned = returned_partitions(former, moved)
    works = works_in(returned, world.cell.partitions, run_s=_END_S)
    for work in works:
        testbed.submit(work, owner)
    testbed.sleep(2 * defaults.SNAPSHOT_INTERVAL_S)
    world.loop.run(_kill, testbed, owner)
    testbed.sleep(_TAKEOVER_S)
    testbed.finish()


def lookups_in_outage(testbed: Testbed) -> None:
    """Lookups continue during a table service outage of half a minute."""
    testbed.world.cell.table.faults = StoreFaults(out=True)
    for number in range(30):
        testbed.sleep(1)
        work = make_work(
            f'look-{number}',
            kind=Kind.LOOKUP,
            idempotent=True,
            payload=str(number),
        )
        node = testbed.world.any_node()
        done = testbed.world.loop.run(node.router.lookup, work)
        assert done.answer == f'answer to {number}', done
    testbed.world.cell.table.faults = StoreFaults()
    testbed.finish()


Script = Callable[[Testbed], None]

SCRIPTS: dict[str, Script] = {
    script.__name__.replace('_', ' '): script
    for script in (
        late_start,
        resumed_owner,
        kill_before_commit,
        short_disconnect,
        overloaded_fleet,
        refused_submission,
        restarted_worker,
        unrecorded_end,
        leaving_worker,
        mass_cancel,
        gang_across_daemons,
        drained_daemon,
        drain_after_replacement,
        duplicate_name,
        gang_without_capacity,
        journal_of_dead_daemon,
        partition_returns,
        excess_usage,
        lookups_in_outage,
    )
}


def run_script(name: str) -> None:
    """Run a script on a new cell.

    Raise ``AssertionError`` when a promise is broken.
    """
    testbed = make_testbed()
    try:
        SCRIPTS[name](testbed)
    finally:
        testbed.world.close()


def _constant_usage(usage: Resources, command: StartCommand) -> Resources:
    del command
    return usage


async def _start(testbed: Testbed, name: str) -> None:
    testbed.world.cell.start_daemon(name)


async def _journal_rows(testbed: Testbed) -> list[Any]:
    return await testbed.world.cell.table.scan(
        prefix='journal/', limit=1000, after=''
    )


async def _kill(testbed: Testbed, node: Node) -> None:
    testbed.world.cell.kill(node)


async def _thaw(testbed: Testbed, node: Node) -> None:
    testbed.world.cell.thaw(node)


async def _reboot(testbed: Testbed, worker: WorkerId) -> None:
    testbed.world.cell.workers[worker].reboot()


async def _leave(testbed: Testbed, worker: WorkerId) -> None:
    testbed.world.cell.leave(worker)


async def _show_later(
    testbed: Testbed, node: Node, work: WorkId, answers: list[Any]
) -> None:
    async def wait() -> None:
        answers.append(await node.router.show(work, 30))

    testbed.world.loop.nursery.start_soon(wait)
    await trio.lowlevel.checkpoint()
