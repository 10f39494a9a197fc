"""Measures how long works wait from arrival to their first placement."""

import trio

from cyclamentrack.ids import WorkId
from cyclamentrack.metrics import Metrics
from cyclamentrack.work import Kind, Work


class QueueWaits:
    """Records the arrival of works and reports their waits as metrics."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Report waits to the given metrics."""
        self._metrics = metrics
        self._since: dict[WorkId, float] = {}

    def begin(self, work: Work) -> None:
        """Record the arrival of a work."""
        self._since[work.id] = trio.current_time()

    def end(self, work: Work) -> None:
        """Report the wait of a placed work; a second time does nothing."""
        since = self._since.pop(work.id, None)
        if since is not None:
            self._metrics.wait(work.kind, trio.current_time() - since)

    def end_lookup(self, since: float) -> None:
        """Report the wait of a lookup that arrived at ``since``."""
        self._metrics.wait(Kind.LOOKUP, trio.current_time() - since)

    def drop(self, work: WorkId) -> None:
        """Drop a work that won't be placed here."""
        self._since.pop(work, None)
