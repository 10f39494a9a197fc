"""Planted bugs, one per promise: the oracle must find each of them.

Each plant takes one guard out of the real code while a fuzzing run goes on.
"""

import contextlib
import sys
from collections.abc import Callable, Generator
from typing import Any
from unittest import mock

import msgspec
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from cyclamentrack import book, defaults, dispatch, fleet
from cyclamentrack.ledger import Ledger
from cyclamentrack.membership import Membership
from cyclamentrack.ports import Absent
from cyclamentrack.work import Outcome, Work
from cyclamentrack.works import Works
from cyclamentrack_standins.worker import StandinWorker
from features.harness.machine import CellMachine

_EXAMPLES = 300
_STEPS = 30
_SEED = 7

Patch = Callable[[], contextlib.AbstractContextManager[Any]]


class Plant(msgspec.Struct, frozen=True, kw_only=True):
    """One bug and the promise that it breaks."""

    name: str
    promise: str
    patch: Patch


@contextlib.contextmanager
def _no_conditional_commit() -> Generator[None]:
    def alive(membership: Membership) -> Absent:
        del membership
        return Absent(key='no such row')

    with mock.patch.object(Membership, 'alive', alive):
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

    with mock.patch.object(Works, 'settle_position', settle):
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
    def charge(ledger: Ledger, row: Any, need: Any, slots: int) -> None:
        del ledger, row, need, slots

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

    with mock.patch.object(book, '_may_run_again', may_run_again):
        yield


@contextlib.contextmanager
def _forget_early() -> Generator[None]:
    def ends(keeper: fleet.Fleet) -> list[Any]:
        found = list(keeper._ends.values())
        keeper.forget([entry.attempt for entry in found])
        return []

    with mock.patch.object(fleet.Fleet, 'ends', ends):
        yield


PLANTS = (
    Plant(
        name='commits do not depend on the own row',
        promise='accepted work never vanishes',
        patch=_no_conditional_commit,
    ),
    Plant(
        name='workers take commands of any epoch',
        promise='a task never runs in two places at once',
        patch=_no_seal,
    ),
    Plant(
        name='starts are sent before the intent is durable',
        promise='non-idempotent work runs at most once',
        patch=_start_before_intent,
    ),
    Plant(
        name='a silent worker counts as lost at once',
        promise='a task never runs in two places at once',
        patch=_no_lease_margin,
    ),
    Plant(
        name='holds are not charged',
        promise='no worker is given more than it has',
        patch=_free_room,
    ),
    Plant(
        name='a refused accept stays on record',
        promise='told not run means not run',
        patch=_false_refusal,
    ),
    Plant(
        name='lost non-idempotent work runs again',
        promise='non-idempotent work runs at most once',
        patch=_rerun_lost,
    ),
    Plant(
        name='ends are dropped before they are on record',
        promise='accepted work never vanishes',
        patch=_forget_early,
    ),
)


def is_found(plant: Plant) -> bool:
    """Tell whether fuzzing with a planted bug fails, as it must."""
    machine = seed(_SEED)(CellMachine)
    limits = settings(
        max_examples=_EXAMPLES,
        stateful_step_count=_STEPS,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
        report_multiple_bugs=False,
    )
    with plant.patch():
        try:
            run_state_machine_as_test(machine, settings=limits)
        except AssertionError as found:
            sys.stdout.write(f'  found: {plant.name}: {str(found)[:80]}\n')
            return True
    sys.stdout.write(f'  NOT FOUND: {plant.name}\n')
    return False


