"""When queues have left pools, as one node's configurations tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cyclamentrack.ids import PoolName
    from cyclamentrack.jobs.model import Configuration, QueueName

# Nodes apply a version of the configuration up to 4 s apart, and the store may
# apply a write seconds after it was sent. Later, a pool gets no more jobs of a
# queue that has left it.
_SETTLE_S = 15.0


class QueueMoves:
    """Remembers which queues have left which pools, and when.

    Times are in seconds of trio's clock. Moves from before ``began_at`` are
    unknown, so any queue may have left any pool until then.
    """

    def __init__(self, *, began_at: float) -> None:
        """Begin without moves."""
        self._began_at = began_at
        self._left: dict[QueueName, dict[PoolName, float]] = {}

    def note(
        self, before: Configuration, after: Configuration, *, now: float
    ) -> None:
        """Note the queues that another version moves or removes."""
        for queue in before.queues:
            present = after.queue(queue.name)
            if present is None or present.pool != queue.pool:
                self._left.setdefault(queue.name, {})[queue.pool] = now

    def settled_at(self, queue: QueueName, pool: PoolName) -> float:
        """Return when a pool that the queue isn't configured for got its last.

        A pool that has had none of the queue's jobs after this time gets none
        later.
        """
        left_at = self._left.get(queue, {}).get(pool, self._began_at)
        return left_at + _SETTLE_S
