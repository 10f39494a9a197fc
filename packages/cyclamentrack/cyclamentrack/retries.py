"""Retry budget: retries may add only a share to the load of first tries."""

from cyclamentrack import defaults
from cyclamentrack.registry import WorkRecord


class RetryBudget:
    """Counts first tries and the retries that they allow."""

    def __init__(
        self,
        *,
        ratio: float = defaults.RETRY_BUDGET_RATIO,
        least: int = defaults.RETRY_BUDGET_MIN,
    ) -> None:
        """Start with ``least`` retries in hand, and never hold fewer."""
        self._ratio = ratio
        self._most = float(least * 100)
        self._tokens = float(least)

    def allows(self, record: WorkRecord, waiting: list[int]) -> bool:
        """Tell whether the waiting tasks may be tried now."""
        retries = sum(1 for index in waiting if record.tasks[index].failures)
        return not retries or self._tokens >= 1

    def note(self, record: WorkRecord, placed: int) -> None:
        """Count placed attempts: first tries earn tokens, retries cost."""
        if any(task.failures for task in record.tasks):
            self._tokens = max(self._tokens - placed, 0)
            return
        self._tokens = min(self._tokens + placed * self._ratio, self._most)
