"""Indexes the queues of one version of the configuration.

Operators keep adding routes, thousands by now. Each request of a caller, each
job and each scheduling round looks queues up, so no look-up may search them
all. The index is built once for a version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cyclamentrack.ids import PoolName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cyclamentrack.jobs.model import Queue, QueueName


class QueueIndex:
    """The queues by name and by route, and what is known of their pools."""

    def __init__(self, queues: Iterable[Queue]) -> None:
        """Index some queues; of two with the same key the first one counts."""
        self.urgent_pools: set[PoolName] = set()
        self.shortest_permit_s: dict[PoolName, float] = {}
        self._by_name: dict[QueueName, Queue] = {}
        self._by_prefix: dict[str, dict[str, Queue]] = {}
        for queue in queues:
            self._add(queue)
        self._lengths = {
            host: sorted({len(prefix) for prefix in found}, reverse=True)
            for host, found in self._by_prefix.items()
        }

    def named(self, name: QueueName) -> Queue | None:
        """Return the queue of this name, ``None`` if there is none."""
        return self._by_name.get(name)

    def route(self, *, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix of the path."""
        found = self._by_prefix.get(host, {})
        for length in self._lengths.get(host, ()):
            queue = found.get(path[:length])
            if queue is not None:
                return queue
        return None

    def _add(self, queue: Queue) -> None:
        self._by_name.setdefault(queue.name, queue)
        by_prefix = self._by_prefix.setdefault(queue.host, {})
        by_prefix.setdefault(queue.path_prefix, queue)
        if queue.priority == 0:
            self.urgent_pools.add(queue.pool)
        if queue.permits is not None:
            known = self.shortest_permit_s.get(queue.pool)
            decide_s = queue.permits.decide_s
            if known is None or decide_s < known:
                self.shortest_permit_s[queue.pool] = decide_s
