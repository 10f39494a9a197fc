"""Worker health: finds workers that fail what succeeds on other workers.

A worker is quarantined after several failures without a success in between,
if most of the failed workloads have succeeded on other workers. A workload
that fails everywhere is not held against its workers.
"""

import msgspec
import trio

from cyclamentrack.ids import WorkerId
from cyclamentrack.work import Outcome

# Failures in a row before a worker is quarantined.
_MIN_FAILURES = 5
# Least share of its failed workloads that have succeeded elsewhere.
_MIN_SHARE_ELSEWHERE = 0.8
# Time after which a quarantined worker gets work again.
_PROBE_AFTER_S = 30.0


class _Failures(msgspec.Struct, kw_only=True):
    """Failures of a worker since its last success."""

    count: int = 0
    workloads: set[str] = msgspec.field(default_factory=set)


class Health:
    """Counts failures of workers and quarantines the unhealthy ones."""

    def __init__(self) -> None:
        """Start with no ends recorded."""
        self._workers: dict[WorkerId, _Failures] = {}
        self._succeeded: dict[str, set[WorkerId]] = {}
        self._quarantined: dict[WorkerId, float] = {}

    @property
    def quarantined(self) -> list[WorkerId]:
        """The workers that are quarantined, also those due for a probe."""
        return list(self._quarantined)

    def is_quarantined(self, worker: WorkerId) -> bool:
        """Return whether a worker gets no work now.

        It gets work again when ``_PROBE_AFTER_S`` have passed. A success then
        ends the quarantine; a failure begins a new one.
        """
        until = self._quarantined.get(worker)
        if until is None:
            return False
        return trio.current_time() < until

    def record_end(
        self, worker: WorkerId, workload: str, outcome: Outcome
    ) -> None:
        """Record one end of a workload's task on a worker."""
        if outcome is Outcome.SUCCEEDED:
            self._succeeded.setdefault(workload, set()).add(worker)
            self._workers.pop(worker, None)
            self._quarantined.pop(worker, None)
            return
        if outcome is not Outcome.FAILED:
            return
        failures = self._workers.setdefault(worker, _Failures())
        failures.count += 1
        failures.workloads.add(workload)
        enough = failures.count >= _MIN_FAILURES
        if enough and self._is_blamed(worker, failures):
            self._quarantined[worker] = trio.current_time() + _PROBE_AFTER_S

    def _is_blamed(self, worker: WorkerId, failures: _Failures) -> bool:
        """Return whether most failed workloads succeeded elsewhere."""
        elsewhere = sum(
            1
            for workload in failures.workloads
            if self._succeeded.get(workload, set()) - {worker}
        )
        return elsewhere >= _MIN_SHARE_ELSEWHERE * len(failures.workloads)
