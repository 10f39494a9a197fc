"""What really ran, counted where it runs and not by the scheduler."""

import time
from collections import Counter

from cyclamentrack.ids import AttemptId, WorkerId, WorkId, split_attempt


class Recorder:
    """Counts starts, runs in two places and requests beyond capacity.

    ``first_starts`` are on the machine's monotonic clock, in seconds.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self._running: dict[str, set[tuple[WorkerId, AttemptId]]] = {}
        self.starts: Counter[str] = Counter()
        self.first_starts: dict[str, float] = {}
        self.completions: Counter[str] = Counter()
        self.overcommits = 0
        self.doubled: list[str] = []
        self.lookups = 0

    def started(self, worker: WorkerId, attempt: AttemptId) -> None:
        """Note that an attempt began to run."""
        task = task_of(attempt)
        running = self._running.setdefault(task, set())
        if running:
            self.doubled.append(task)
        running.add((worker, attempt))
        self.starts[task] += 1
        self.first_starts.setdefault(task, time.monotonic())

    def ended(
        self, worker: WorkerId, attempt: AttemptId, *, completed: bool
    ) -> None:
        """Note that an attempt runs no more."""
        task = task_of(attempt)
        self._running.get(task, set()).discard((worker, attempt))
        if completed:
            self.completions[task] += 1

    def starts_of(self, work: WorkId) -> int:
        """Return how many attempts of a work's tasks ever started."""
        prefix = f'{work}#'
        return sum(
            count
            for task, count in self.starts.items()
            if task.startswith(prefix)
        )


def task_of(attempt: AttemptId) -> str:
    """Return the task that an attempt is one try of."""
    work, index, _ = split_attempt(attempt)
    return f'{work}#{index}'
