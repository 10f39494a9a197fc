"""Counts what the workers really ran, independently of the scheduler."""

import time
from collections import Counter

from cyclamentrack.ids import AttemptId, WorkerId, WorkId, split_attempt


class Recorder:
    """Counts starts, completions, lookups and violations of the protocol.

    ``overcommits`` counts requests beyond a worker's capacity, ``doubled``
    lists tasks that were started while another attempt was running.
    ``first_starts`` holds the first start of each task, in seconds of the
    machine's monotonic clock.
    """

    def __init__(self) -> None:
        """Create a recorder with all counters at zero."""
        self._running: dict[str, set[tuple[WorkerId, AttemptId]]] = {}
        self.starts: Counter[str] = Counter()
        self.first_starts: dict[str, float] = {}
        self.completions: Counter[str] = Counter()
        self.overcommits = 0
        self.doubled: list[str] = []
        self.lookups = 0

    def started(self, worker: WorkerId, attempt: AttemptId) -> None:
        """Record that an attempt started to run."""
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
        """Record that an attempt ended."""
        task = task_of(attempt)
        self._running.get(task, set()).discard((worker, attempt))
        if completed:
            self.completions[task] += 1

    def starts_of(self, work: WorkId) -> int:
        """Return how many attempts of a work's tasks have started."""
        prefix = f'{work}#'
        return sum(
            count
            for task, count in self.starts.items()
            if task.startswith(prefix)
        )


def task_of(attempt: AttemptId) -> str:
    """Return the task of an attempt, as ``work#index``."""
    work, index, _ = split_attempt(attempt)
    return f'{work}#{index}'
