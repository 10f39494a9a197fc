"""How long works wait from their accept to their first placement."""

import trio

from cyclamentrack.ids import WorkId
from cyclamentrack.metrics import Metrics
from cyclamentrack.work import Kind, Work


class QueueWaits:
    """Stamps accepts and records waits."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Record into the given metrics."""
        self._metrics = metrics
        self._since: dict[WorkId, float] = {}

    def begin(self, work: Work) -> None:
        """Stamp a work as it arrives."""
        self._since[work.id] = trio.current_time()

    def end(self, work: Work) -> None:
        """Record the wait of a work that was placed; only once."""
        since = self._since.pop(work.id, None)
        if since is not None:
            self._metrics.wait(work.kind, trio.current_time() - since)

    def end_lookup(self, since: float) -> None:
        """Record the wait of a lookup that got its slot."""
        self._metrics.wait(Kind.LOOKUP, trio.current_time() - since)

    def drop(self, work: WorkId) -> None:
        """Forget a work that left without being placed here."""
        self._since.pop(work, None)
