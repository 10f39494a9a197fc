"""Retry budget: limits retries to a share of the first attempts."""

from cyclamentrack import defaults
from cyclamentrack.registry import WorkRecord


class RetryBudget:
    """A token bucket: first attempts earn tokens and retries cost one each.

    It holds a hundred times ``initial_tokens`` at most.
    """

    def __init__(
        self,
        *,
        ratio: float = defaults.RETRY_BUDGET_RATIO,
        initial_tokens: int = defaults.RETRY_BUDGET_MIN,
    ) -> None:
        """Start with ``initial_tokens``; a first attempt earns ``ratio``."""
        self._tokens_per_first_attempt = ratio
        self._max_tokens = float(initial_tokens * 100)
        self._tokens = float(initial_tokens)

    def allows(self, record: WorkRecord, waiting: list[int]) -> bool:
        """Return whether the waiting tasks may be attempted now."""
        retries = sum(1 for index in waiting if record.tasks[index].failures)
        return not retries or self._tokens >= 1

    def record_placed(self, record: WorkRecord, placed: int) -> None:
        """Count placed attempts of a work.

        All of them count as retries if any task of the work has failed.
        """
        if any(task.failures for task in record.tasks):
            self._tokens = max(self._tokens - placed, 0)
            return
        self._tokens = min(
            self._tokens + placed * self._tokens_per_first_attempt,
            self._max_tokens,
        )
