"""Preemption: what was lent is taken back for work below its floor.

Idle floors are lent to tasks that can be stopped and run again. When work of
an urgency that is below its floor finds no room, borrowers on one worker are
stopped, as few as make room.
"""

from collections.abc import Callable, Iterable

import msgspec
import trio

from cyclamentrack.fairness import Fairness, is_stoppable
from cyclamentrack.ids import AttemptId, PoolName, TeamName, WorkerId
from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest, Site
from cyclamentrack.resources import Resources
from cyclamentrack.work import Work

_SCAN = 512
_STOPS_PER_ROUND = 16
_PAUSE_S = 0.1


class Borrower(msgspec.Struct, frozen=True, kw_only=True):
    """A running attempt that may be stopped, and where it runs."""

    attempt: AttemptId
    work: Work
    site: Site


class Preemption:
    """Keeps the attempts that can be stopped, and picks those to stop."""

    def __init__(
        self,
        *,
        ledger: Ledger,
        fairness: Fairness,
        stop: Callable[[AttemptId, Site], None],
    ) -> None:
        """Stop attempts through ``stop``."""
        self._ledger = ledger
        self._fairness = fairness
        self._stop = stop
        self._borrowers: dict[AttemptId, Borrower] = {}
        self._stopping: set[AttemptId] = set()
        self._next_at = float('-inf')

    def note(self, attempt: AttemptId, work: Work, site: Site) -> None:
        """Remember an attempt that was placed, if it can be stopped."""
        if is_stoppable(work):
            self._borrowers[attempt] = Borrower(
                attempt=attempt, work=work, site=site
            )

    def drop(self, attempt: AttemptId) -> None:
        """Forget an attempt that has ended."""
        self._borrowers.pop(attempt, None)
        self._stopping.discard(attempt)

    def make_room(self, work: Work, tasks: int) -> int:
        """Stop borrowers so that tasks of a work find room; return how many.

        Nothing is stopped again before what was stopped has had time to end.
        """
        return self._make_room(work.pool, work.resources, tasks, team=work.team)

    def make_room_for(self, need: AttemptRequest, tasks: int) -> int:
        """Stop borrowers for a peer's need; return how many."""
        return self._make_room(need.pool, need.resources, tasks, team=None)

    def _make_room(
        self,
        pool: PoolName,
        resources: Resources,
        tasks: int,
        *,
        team: TeamName | None,
    ) -> int:
        now = trio.current_time()
        if now < self._next_at:
            return 0
        self._next_at = now + _PAUSE_S
        stopped = 0
        by_worker = self._by_worker(pool, team)
        while by_worker and tasks > 0 and stopped < _STOPS_PER_ROUND:
            worker, borrowers = by_worker.popitem()
            victims = self._victims(worker, borrowers, resources)
            for victim in victims:
                self._stopping.add(victim.attempt)
                self._stop(victim.attempt, victim.site)
            stopped += len(victims)
            tasks -= 1 if victims else 0
        return stopped

    def _by_worker(
        self, pool: PoolName, team: TeamName | None
    ) -> dict[WorkerId, list[Borrower]]:
        found: dict[WorkerId, list[Borrower]] = {}
        recent = list(self._borrowers.values())[-_SCAN:]
        for borrower in recent:
            if borrower.attempt in self._stopping:
                continue
            if borrower.work.pool != pool:
                continue
            if borrower.work.team == team:
                continue
            if self._fairness.may_stop(borrower.work):
                found.setdefault(borrower.site.worker, []).append(borrower)
        return found

    def _victims(
        self,
        worker: WorkerId,
        borrowers: Iterable[Borrower],
        need: Resources,
    ) -> list[Borrower]:
        """Return the newest borrowers whose room is enough with the rest."""
        row = self._ledger.row(worker)
        if row is None or not self._ledger.is_open(worker):
            return []
        room = Resources(
            milli_cores=max(row.cores, 0),
            memory_mib=max(row.memory, 0),
            accelerators=max(row.accelerators, 0),
        )
        victims: list[Borrower] = []
        for borrower in borrowers:
            if need.fits(room):
                break
            room = room.plus(borrower.work.resources)
            victims.append(borrower)
        return victims if need.fits(room) else []
