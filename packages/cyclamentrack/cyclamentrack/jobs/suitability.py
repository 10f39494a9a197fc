"""Says which workers a step may use, whatever capacity they have free.

Placement, the planning of starts and permit requests all take their workers
from here. A plan or a permit for a worker on which the step can't be placed is
renewed again and again, while the step's permits for other workers expire.
"""

from collections import Counter
from collections.abc import Iterable, Set

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.layout import is_compatible
from cyclamentrack.jobs.permits import StepPermits
from cyclamentrack.jobs.registry import JobRun, StepRun


class Suitability:
    """What one step demands of a worker, as of one time of a round."""

    def __init__(
        self,
        *,
        entry: JobRun,
        step: StepRun,
        known: StepPermits,
        tasks_on: Counter[WorkerId],
        overfull: Set[WorkerId],
        now: float,
    ) -> None:
        """Judge workers for a step of which they have ``tasks_on`` already.

        ``overfull`` are workers whose runs use more than their capacity.
        """
        self._step = step.step
        self._known = known
        self._now = now
        self._selective = bool(step.step.requires or step.step.fills)
        self._last_attempt = _on_last_attempt(entry, step)
        limit = step.step.max_per_worker
        self._full = overfull | {
            worker for worker, count in tasks_on.items() if 0 < limit <= count
        }

    def among(self, workers: Iterable[Worker]) -> list[Worker]:
        """Return those of some workers that may run one more of the tasks.

        They aren't at the step's limit, their labels and runs allow it, and
        they weren't refused. A worker that has shrunk below its runs gets none,
        since the start would be withdrawn. The last attempt of a failed task
        isn't spent on a worker that was quarantined and hasn't been seen to
        work since.
        """
        return [
            worker
            for worker in workers
            if worker.entry.id not in self._full
            and not (self._last_attempt and worker.probing)
            and (not self._selective or is_compatible(self._step, worker))
            and not self._known.is_refused(
                worker.entry.id,
                now=self._now,
                incarnation=worker.incarnation,
            )
        ]


def _on_last_attempt(entry: JobRun, step: StepRun) -> bool:
    if step.step.lasting:
        return False
    failures = max(task.failures for task in step.tasks)
    return failures > 0 and failures >= entry.queue.max_attempts - 1
