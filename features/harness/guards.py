"""Guards of the promises, and how to take each one out of the real code.

A script that passes with its guard must fail without it: that shows that the
checks can fail.
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

Patch = Callable[[], contextlib.AbstractContextManager[Any]]


@contextlib.contextmanager
def _no_conditional_commit() -> Generator[None]:
    def row_exists_condition(membership: Membership) -> Absent:
        del membership
        return Absent(key='no such row')

    with mock.patch.object(
        Membership, 'row_exists_condition', row_exists_condition
    ):
        yield


@contextlib.contextmanager
def _no_seal() -> Generator[None]:
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
def _start_before_intent() -> Generator[None]:
    async def settle(works: Works, position: int) -> None:
        del works, position

    with mock.patch.object(Works, 'wait_durable_position', settle):
        yield


@contextlib.contextmanager
def _no_lease_margin() -> Generator[None]:
    with (
        mock.patch.object(defaults, 'WORKER_LEASE_MARGIN_S', -10.0),
        mock.patch.object(fleet, '_LOST_AFTER_S', 0.0),
    ):
        yield


@contextlib.contextmanager
def _free_room() -> Generator[None]:
    def charge(ledger: Ledger, row: Any, held: Any, sign: int) -> None:
        del ledger, row, held, sign

    with mock.patch.object(Ledger, '_charge', charge):
        yield


@contextlib.contextmanager
def _false_refusal() -> Generator[None]:
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
def _rerun_lost() -> Generator[None]:
    def may_run_again(work: Work, task: Any) -> bool:
        del work
        return task.outcome is not Outcome.SUCCEEDED

    with mock.patch.object(registry, '_may_run_again', may_run_again):
        yield


@contextlib.contextmanager
def _forget_early() -> Generator[None]:
    def ends(keeper: fleet.Fleet) -> list[Any]:
        found = list(keeper._ends.values())
        keeper.forget([entry.attempt for entry in found])
        return []

    with mock.patch.object(fleet.Fleet, 'ends', ends):
        yield


@contextlib.contextmanager
def _stay_open() -> Generator[None]:
    def ignore(upstream: Upstream, leaving: bool) -> None:
        del upstream, leaving

    never = property(lambda upstream: False, ignore)
    with mock.patch.object(Upstream, 'leaving', never, create=True):
        yield


@contextlib.contextmanager
def _place_some() -> Generator[None]:
    def missing(needs: list[Any], grants: list[Any]) -> list[Any]:
        del needs, grants
        return []

    with mock.patch.object(dispatch, '_missing', missing):
        yield


@contextlib.contextmanager
def _no_stop() -> Generator[None]:
    def stop_placed(coordinator: Coordinator, record: Any) -> None:
        del coordinator, record

    with mock.patch.object(Coordinator, '_stop_placed', stop_placed):
        yield


@contextlib.contextmanager
def _blind_drain() -> Generator[None]:
    async def run(ownership: Ownership) -> None:
        while not ownership._draining:
            await ownership._round()
            await trio.sleep(defaults.CLAIM_INTERVAL_S)

    with mock.patch.object(Ownership, 'run', run):
        yield


@contextlib.contextmanager
def _peers_by_name() -> Generator[None]:
    def is_me(membership: Membership, member: Any) -> bool:
        return member.daemon == membership.me.daemon

    with mock.patch.object(Membership, 'is_me', is_me):
        yield


@contextlib.contextmanager
def _no_throttle() -> Generator[None]:
    def throttle(upstream: Upstream, attempt: str) -> None:
        del upstream, attempt

    with mock.patch.object(Upstream, 'throttle', throttle):
        yield


@contextlib.contextmanager
def _keep_dead_rows() -> Generator[None]:
    async def remove(node: Node) -> None:
        del node
        await trio.lowlevel.checkpoint()

    with mock.patch.object(Node, '_remove_dead_rows', remove):
        yield


GUARDS: dict[str, Patch] = {
    'commits depend on the own row': _no_conditional_commit,
    'a seal refuses what is older': _no_seal,
    'the intent is durable before the start': _start_before_intent,
    'a silent worker is waited for': _no_lease_margin,
    'holds are charged': _free_room,
    'a refused accept is taken back': _false_refusal,
    'lost work of unknown outcome stays so': _rerun_lost,
    'an end is kept until it is on record': _forget_early,
    'a leaving worker is closed': _stay_open,
    'a gang is placed whole': _place_some,
    'a stop follows a cancel': _no_stop,
    'a draining daemon follows the owners': _blind_drain,
    'peers are told apart by incarnation': _peers_by_name,
    'over-users are throttled': _no_throttle,
    'journals of the dead are removed': _keep_dead_rows,
}
