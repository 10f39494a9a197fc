"""The works that this daemon owns: registries, journal, waiting callers."""

import trio

from cyclamentrack.events import Accepted, Event, work_of
from cyclamentrack.ids import PartitionId, WorkId
from cyclamentrack.journal import Journal
from cyclamentrack.registry import WorkRecord, WorkRegistry
from cyclamentrack.work import Work, partition_of


class Works:
    """Registries of the owned partitions; every event is journalled."""

    def __init__(self, *, journal: Journal, partitions: int) -> None:
        """Start with no registries."""
        self._journal = journal
        self._partitions = partitions
        self._registries: dict[PartitionId, WorkRegistry] = {}
        self._changes: dict[WorkId, trio.Event] = {}

    def add_registry(self, registry: WorkRegistry) -> None:
        """Add the recovered registry of an acquired partition."""
        self._registries[registry.partition] = registry

    def remove_registry(self, partition: PartitionId) -> WorkRegistry | None:
        """Remove a registry and wake the callers that wait for its works."""
        registry = self._registries.pop(partition, None)
        for work in list(self._changes):
            if self.partition(work) == partition:
                self._wake(work)
        return registry

    def partition(self, work: WorkId) -> PartitionId:
        """Return the partition of a work."""
        return partition_of(work, self._partitions)

    def owns(self, work: WorkId) -> bool:
        """Return whether the registry of a work is here."""
        return self.partition(work) in self._registries

    def registry(self, partition: PartitionId) -> WorkRegistry:
        """Return the registry of an owned partition."""
        return self._registries[partition]

    def registries(self) -> list[WorkRegistry]:
        """Return all registries."""
        return list(self._registries.values())

    def find(self, work: WorkId) -> WorkRecord | None:
        """Return the record of a work owned here, or ``None``."""
        registry = self._registries.get(self.partition(work))
        return None if registry is None else registry.find(work)

    def log(self, event: Event) -> WorkRecord | None:
        """Apply and journal an event and return the changed record.

        Return ``None``, and journal nothing, when it changes nothing.
        """
        work = work_of(event)
        registry = self._registries.get(self.partition(work))
        record = None if registry is None else registry.apply(event)
        if record is None:
            return None
        record.position = self._journal.append(event)
        self._wake(work)
        return record

    def accept(self, work: Work) -> WorkRecord | None:
        """Accept a work; return ``None`` when its id is known already."""
        return self.log(Accepted(work=work))

    async def wait_durable(self, record: WorkRecord) -> None:
        """Wait until all events of a record are durable."""
        await self._journal.wait_durable(record.position)

    async def wait_durable_position(self, position: int) -> None:
        """Wait until the journal is durable up to a position."""
        await self._journal.wait_durable(position)

    def withdraw(self, record: WorkRecord, position: int) -> bool:
        """Withdraw an accept that wasn't sent to the table service yet.

        Return whether it was withdrawn. It isn't when the work has had later
        events or its row was sent already.
        """
        if record.position != position:
            return False
        if not self._journal.withdraw(position):
            return False
        registry = self._registries.get(self.partition(record.work.id))
        if registry is not None:
            registry.remove(record.work.id)
        return True

    async def changed(self, work: WorkId) -> None:
        """Wait for the next event of a work."""
        await self._changes.setdefault(work, trio.Event()).wait()

    def _wake(self, work: WorkId) -> None:
        waiting = self._changes.pop(work, None)
        if waiting is not None:
            waiting.set()
