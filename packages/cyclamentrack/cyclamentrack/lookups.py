"""Lookups: short idempotent requests that are answered in one exchange.

A lookup takes a slot and little capacity, and is not stored anywhere.
"""

from itertools import count

import trio

from cyclamentrack.errors import (
    ErrorKind,
    Problem,
    Ran,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import AttemptId, Epoch, PartitionId, lookup_id
from cyclamentrack.messages import AttemptRequest, LookupDone, Site
from cyclamentrack.placement import place
from cyclamentrack.ports import Lookup
from cyclamentrack.work import Kind, Work


class LookupRunner:
    """Runs lookups on the workers owned here."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Run on the workers of a fleet."""
        self._fleet = fleet
        self._numbers = count(1)
        self._running: dict[PartitionId, int] = {}
        self.unanswered = 0

    def is_idle(self, partition: PartitionId) -> bool:
        """Return whether no lookup runs on a partition's workers."""
        return not self._running.get(partition)

    async def run_lookup(self, work: Work, timeout_s: float) -> LookupDone:
        """Run a lookup on the worker with the most free slots.

        The slot of a lookup that got no answer stays taken until the worker
        confirms that it doesn't run.
        """
        key = lookup_id(work=work.id, number=next(self._numbers))
        need = AttemptRequest(
            attempt=key,
            kind=Kind.LOOKUP,
            pool=work.pool,
            resources=work.resources,
            run_s=work.run_s,
        )
        choices = place(self._fleet.ledger, [need])
        if not choices:
            return LookupDone(problem=no_slot_problem(work))
        site = choices[0].site
        partition = self._fleet.partition(site.rack)
        self._count(partition, 1)
        try:
            answer = await self._ask(site, key, work, timeout_s)
        except (WorkerUnreachableError, WorkerRefusedError):
            self._give_up(key, site)
            return LookupDone(problem=_unanswered_problem(work))
        except trio.Cancelled:
            self._give_up(key, site)
            raise
        finally:
            self._count(partition, -1)
        self._fleet.release_allocation(key)
        return LookupDone(answer=answer)

    async def _ask(
        self, site: Site, key: AttemptId, work: Work, timeout_s: float
    ) -> str:
        upstream = self._fleet.upstream(site.worker)
        if upstream is None:
            raise WorkerUnreachableError(worker=site.worker)
        need = Lookup(
            epoch=Epoch(0),
            token=0,
            id=key,
            resources=work.resources,
            payload=work.payload,
        )
        return await upstream.lookup(key=key, need=need, timeout_s=timeout_s)

    def _give_up(self, key: AttemptId, site: Site) -> None:
        self.unanswered += 1
        self._fleet.stop_lookup(key, site.worker)

    def _count(self, partition: PartitionId, change: int) -> None:
        self._running[partition] = self._running.get(partition, 0) + change


def no_slot_problem(work: Work) -> Problem:
    """Return the problem for a lookup when no slot is free."""
    return Problem(
        kind=ErrorKind.OVERLOADED,
        detail=f'pool {work.pool} has no free slot for the lookup',
        remedy='send it again after retry_after_s seconds',
        ran=Ran.NO,
        retry_after_s=1,
    )


def _unanswered_problem(work: Work) -> Problem:
    return Problem(
        kind=ErrorKind.UNSETTLED,
        detail=f'the worker did not answer lookup {work.id}',
        remedy='send it again; a lookup is idempotent',
        ran=Ran.UNKNOWN,
    )
