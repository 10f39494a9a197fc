"""Preemption: stops attempts to free capacity for work below its share.

Preemptible tasks, which can be stopped and run again, may use the idle part
of other urgencies' floors. When work below its share doesn't fit, some of
these attempts on one worker are stopped, only as many as are needed.
"""

from collections.abc import Callable, Iterable

import msgspec
import trio

from cyclamentrack.fairness import Fairness, is_preemptible
from cyclamentrack.ids import AttemptId, PoolName, TeamName, WorkerId
from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest, Site
from cyclamentrack.resources import Resources
from cyclamentrack.work import Work

# Only the newest attempts are considered, which bounds the cost of a call.
_MAX_CANDIDATES = 512
_MAX_STOPS_PER_CALL = 16
# Shortest time between two preemptions: stopped attempts need time to end.
_MIN_INTERVAL_S = 0.1


class PreemptibleAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """A placed attempt that may be stopped, and its worker."""

    attempt: AttemptId
    work: Work
    site: Site


class Preemption:
    """Tracks preemptible attempts and selects the ones to stop."""

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
        self._preemptible: dict[AttemptId, PreemptibleAttempt] = {}
        self._stopping: set[AttemptId] = set()
        self._next_allowed_at = float('-inf')

    def add(self, attempt: AttemptId, work: Work, site: Site) -> None:
        """Track an attempt that was placed, if it is preemptible."""
        if is_preemptible(work):
            self._preemptible[attempt] = PreemptibleAttempt(
                attempt=attempt, work=work, site=site
            )

    def drop(self, attempt: AttemptId) -> None:
        """Stop tracking an attempt that has ended."""
        self._preemptible.pop(attempt, None)
        self._stopping.discard(attempt)

    def preempt_for_work(self, work: Work, tasks: int) -> int:
        """Stop attempts so that tasks of a work fit; return how many.

        Attempts of the work's own team are spared. Nothing is stopped within
        ``_MIN_INTERVAL_S`` of the last call that looked for victims, so that
        stopped attempts have time to end.
        """
        return self._preempt(work.pool, work.resources, tasks, team=work.team)

    def preempt_for_peer(self, need: AttemptRequest, tasks: int) -> int:
        """Stop attempts so that a peer's tasks fit; return how many."""
        return self._preempt(need.pool, need.resources, tasks, team=None)

    def _preempt(
        self,
        pool: PoolName,
        resources: Resources,
        tasks: int,
        *,
        team: TeamName | None,
    ) -> int:
        now = trio.current_time()
        if now < self._next_allowed_at:
            return 0
        self._next_allowed_at = now + _MIN_INTERVAL_S
        stopped = 0
        by_worker = self._by_worker(pool, team)
        while by_worker and tasks > 0 and stopped < _MAX_STOPS_PER_CALL:
            worker, candidates = by_worker.popitem()
            victims = self._victims(worker, candidates, resources)
            for victim in victims:
                self._stopping.add(victim.attempt)
                self._stop(victim.attempt, victim.site)
            stopped += len(victims)
            tasks -= 1 if victims else 0
        return stopped

    def _by_worker(
        self, pool: PoolName, team: TeamName | None
    ) -> dict[WorkerId, list[PreemptibleAttempt]]:
        found: dict[WorkerId, list[PreemptibleAttempt]] = {}
        recent = list(self._preemptible.values())[-_MAX_CANDIDATES:]
        for candidate in recent:
            if candidate.attempt in self._stopping:
                continue
            if candidate.work.pool != pool:
                continue
            if candidate.work.team == team:
                continue
            if self._fairness.may_preempt(candidate.work):
                found.setdefault(candidate.site.worker, []).append(candidate)
        return found

    def _victims(
        self,
        worker: WorkerId,
        candidates: Iterable[PreemptibleAttempt],
        need: Resources,
    ) -> list[PreemptibleAttempt]:
        """Return the attempts to stop so that the need fits on a worker.

        Return none when the need wouldn't fit even if all were stopped.
        """
        row = self._ledger.row(worker)
        if row is None or not self._ledger.is_open(worker):
            return []
        free = Resources(
            milli_cores=max(row.cores, 0),
            memory_mib=max(row.memory, 0),
            accelerators=max(row.accelerators, 0),
        )
        victims: list[PreemptibleAttempt] = []
        for candidate in candidates:
            if need.fits(free):
                break
            free = free.plus(candidate.work.resources)
            victims.append(candidate)
        return victims if need.fits(free) else []
