"""The guards that the promises depend on, and patches that disable them.

A script that passes with the product as it is must fail once its guard is
disabled, which shows that the checks can fail.
"""

import contextlib
from collections.abc import Callable, Generator
from typing import Any
from unittest import mock

import trio

from cyclamentrack import defaults, dispatch, fleet, registry
from cyclamentrack.coordinator import Coordinator
from cyclamentrack.ledger import Ledger
from cyclamentrack.membership import Membership
from cyclamentrack.node import Node
from cyclamentrack.ownership import Ownership
from cyclamentrack.ports import Absent
from cyclamentrack.upstream import Upstream
from cyclamentrack.work import Outcome, Work
from cyclamentrack.works import Works
from cyclamentrack_standins.worker import StandinWorker

# Makes a context manager that disables a guard while it is active.
Patch = Callable[[], contextlib.AbstractContextManager[Any]]


@contextlib.contextmanager
def _commit_unconditionally() -> Generator[None]:
    """Let a daemon commit after its member row was removed."""

    def row_exists_condition(membership: Membership) -> Absent:
        del membership
        return Absent(key='no such row')

    with mock.patch.object(
        Membership, 'row_exists_condition', row_exists_condition
    ):
        yield


@contextlib.contextmanager
def _no_fencing() -> Generator[None]:
    """Let workers accept syncs with an old epoch, number or token."""

    def check(worker: StandinWorker, epoch: int, token: float) -> None:
        del worker, epoch, token

    async def sync(worker: StandinWorker, message: Any) -> Any:
        worker._number = 0
        return await original(worker, message)

    original = StandinWorker.sync
    with (
        mock.patch.object(StandinWorker, '_check', check),
        mock.patch.object(StandinWorker, 'sync', sync),
    ):
        yield


@contextlib.contextmanager
def _start_before_commit() -> Generator[None]:
    """Don't wait until a journal position is durable."""

    async def wait_durable_position(works: Works, position: int) -> None:
        del works, position

    with mock.patch.object(
        Works, 'wait_durable_position', wait_durable_position
    ):
        yield


@contextlib.contextmanager
def _lose_workers_early() -> Generator[None]:
    """Declare workers lost before their lease has expired."""
    with (
        mock.patch.object(defaults, 'WORKER_LEASE_MARGIN_S', -10.0),
        mock.patch.object(fleet, '_LOST_AFTER_S', 0.0),
    ):
        yield


@contextlib.contextmanager
def _no_charges() -> Generator[None]:
    """Don't subtract allocations from the free capacity of workers."""

    def charge(ledger: Ledger, row: Any, allocation: Any, sign: int) -> None:
        del ledger, row, allocation, sign

    with mock.patch.object(Ledger, '_charge', charge):
        yield


@contextlib.contextmanager
def _no_withdrawal() -> Generator[None]:
    """Refuse a work without withdrawing it from registry and queue."""

    def withdraw(works: Works, record: Any, position: int) -> bool:
        del works, record, position
        return True

    def discard(dispatcher: Any, work: str) -> None:
        del dispatcher, work

    with (
        mock.patch.object(Works, 'withdraw', withdraw),
        mock.patch.object(dispatch.Dispatcher, 'withdraw', discard),
    ):
        yield


@contextlib.contextmanager
def _rerun_lost_tasks() -> Generator[None]:
    """Run every task again that has not succeeded."""

    def may_run_again(work: Work, task: Any) -> bool:
        del work
        return task.outcome is not Outcome.SUCCEEDED

    with mock.patch.object(registry, '_may_run_again', may_run_again):
        yield


@contextlib.contextmanager
def _forget_ends_early() -> Generator[None]:
    """Drop the ends of attempts before the owner has recorded them."""

    def ends(target: fleet.Fleet) -> list[Any]:
        found = list(target._ends.values())
        target.forget([entry.attempt for entry in found])
        return []

    with mock.patch.object(fleet.Fleet, 'ends', ends):
        yield


@contextlib.contextmanager
def _ignore_leaving() -> Generator[None]:
    """Treat workers that are leaving like all others."""

    def ignore(upstream: Upstream, leaving: bool) -> None:
        del upstream, leaving

    never = property(lambda upstream: False, ignore)
    with mock.patch.object(Upstream, 'leaving', never, create=True):
        yield


@contextlib.contextmanager
def _place_partial_gangs() -> Generator[None]:
    """Start a gang although some of its tasks got no capacity."""

    def missing(needs: list[Any], grants: list[Any]) -> list[Any]:
        del needs, grants
        return []

    with mock.patch.object(dispatch, '_missing', missing):
        yield


@contextlib.contextmanager
def _no_stop_on_cancel() -> Generator[None]:
    """Don't stop the placed tasks of a cancelled work."""

    def stop_placed(coordinator: Coordinator, record: Any) -> None:
        del coordinator, record

    with mock.patch.object(Coordinator, '_stop_placed', stop_placed):
        yield


@contextlib.contextmanager
def _drain_without_rounds() -> Generator[None]:
    """Stop reading the owners of partitions once a drain begins."""

    async def run(ownership: Ownership) -> None:
        while not ownership._draining:
            await ownership._round()
            await trio.sleep(defaults.CLAIM_INTERVAL_S)

    with mock.patch.object(Ownership, 'run', run):
        yield


@contextlib.contextmanager
def _compare_names_only() -> Generator[None]:
    """Take a daemon of the same name for this daemon."""

    def is_me(membership: Membership, member: Any) -> bool:
        return member.daemon == membership.me.daemon

    with mock.patch.object(Membership, 'is_me', is_me):
        yield


@contextlib.contextmanager
def _no_throttle() -> Generator[None]:
    """Don't throttle tasks that use more than they declared."""

    def throttle(upstream: Upstream, attempt: str) -> None:
        del upstream, attempt

    with mock.patch.object(Upstream, 'throttle', throttle):
        yield


@contextlib.contextmanager
def _keep_dead_journals() -> Generator[None]:
    """Don't delete the journal rows of dead daemons."""

    async def remove(node: Node) -> None:
        del node
        await trio.lowlevel.checkpoint()

    with mock.patch.object(Node, '_remove_dead_rows', remove):
        yield


GUARDS: dict[str, Patch] = {
    'commits require the member row': _commit_unconditionally,
    'a fence bars older requests': _no_fencing,
    'a start follows its durable commit': _start_before_commit,
    'a worker is lost only after its lease': _lose_workers_early,
    'allocations reduce free capacity': _no_charges,
    'a refused work is withdrawn': _no_withdrawal,
    'non-idempotent tasks run at most once': _rerun_lost_tasks,
    'ends are reported until recorded': _forget_ends_early,
    'a leaving worker gets no starts': _ignore_leaving,
    'a gang starts as a whole': _place_partial_gangs,
    'a cancel stops placed tasks': _no_stop_on_cancel,
    'a draining daemon reads the owners': _drain_without_rounds,
    'peers are identified by incarnation': _compare_names_only,
    'excess usage is throttled': _no_throttle,
    'journals of dead daemons are removed': _keep_dead_journals,
}
