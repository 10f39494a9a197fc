"""Worker health: which workers fail what succeeds elsewhere.

A worker is quarantined when nearly all that it starts fails while the same
workloads succeed on other workers. A workload that fails everywhere is not
blamed on its workers.
"""

import msgspec
import trio

from cyclamentrack.ids import WorkerId
from cyclamentrack.work import Outcome

_SUSPECT_FAILURES = 5
_FAILED_SHARE = 0.8
_PROBE_AFTER_S = 30.0


class _Tally(msgspec.Struct, kw_only=True):
    failures: int = 0
    works: set[str] = msgspec.field(default_factory=set)


class Health:
    """Failure tallies of workers and of the works they ran."""

    def __init__(self) -> None:
        """Start without suspicion."""
        self._workers: dict[WorkerId, _Tally] = {}
        self._succeeded: dict[str, set[WorkerId]] = {}
        self._quarantined: dict[WorkerId, float] = {}

    @property
    def quarantined(self) -> list[WorkerId]:
        """The workers that get no work but a probe now and then."""
        return list(self._quarantined)

    def is_quarantined(self, worker: WorkerId) -> bool:
        """Tell whether a worker is closed; its time for a probe opens it."""
        until = self._quarantined.get(worker)
        if until is None:
            return False
        return trio.current_time() < until

    def note(self, worker: WorkerId, workload: str, outcome: Outcome) -> None:
        """Count one end of a workload's task on a worker."""
        if outcome is Outcome.SUCCEEDED:
            self._succeeded.setdefault(workload, set()).add(worker)
            self._workers.pop(worker, None)
            self._quarantined.pop(worker, None)
            return
        if outcome is not Outcome.FAILED:
            return
        tally = self._workers.setdefault(worker, _Tally())
        tally.failures += 1
        tally.works.add(workload)
        suspect = tally.failures >= _SUSPECT_FAILURES
        if suspect and self._is_blamed(worker, tally):
            self._quarantined[worker] = trio.current_time() + _PROBE_AFTER_S

    def _is_blamed(self, worker: WorkerId, tally: _Tally) -> bool:
        """Tell whether most of what failed here succeeded elsewhere."""
        elsewhere = sum(
            1
            for workload in tally.works
            if self._succeeded.get(workload, set()) - {worker}
        )
        return elsewhere >= _FAILED_SHARE * len(tally.works)
