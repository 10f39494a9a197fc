"""Keeps the voters of a slice in its journal equal to its workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from cyclamentrack.codec import encode
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.records import Voter, voters_key

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import SliceOwner

# Workers come and go in groups, and each change rewrites the whole record.
_CHECK_S = 1.0
# A record of this many voters is well within the store's limit for a row.
MAX_VOTERS = 500


class VoterRecorder:
    """Records the workers that an owner has reached as its slice's voters."""

    def __init__(self, *, owner: SliceOwner) -> None:
        """Create the task; it writes nothing until ``run``."""
        self._owner = owner

    async def run(self) -> None:
        """Record changes of the workers until cancelled."""
        owner = self._owner
        while True:
            await trio.sleep(_CHECK_S)
            voters = self._reached_workers()
            if owner.quorum.begin_change(voters):
                owner.journal.put(voters_key(owner.claim.pool), encode(voters))
                await owner.journal.flushed()
                owner.quorum.end_change()

    def _reached_workers(self) -> dict[WorkerId, Voter]:
        """Return the workers that serve as voters, the first by their ids."""
        reached = [
            worker
            for worker in self._owner.fleet.workers.values()
            if worker.contacted and not worker.retired
        ]
        reached.sort(key=lambda worker: worker.entry.id)
        return {
            worker.entry.id: Voter(worker.incarnation, worker.entry.instance)
            for worker in reached[:MAX_VOTERS]
        }
