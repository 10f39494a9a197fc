"""Keeps an unexpected error of one worker's client from ending the owner.

All workers of a slice share the owner's nursery, so an error that nobody
expects would otherwise end the slice on one node after the other.
"""

import logging

from cyclamentrack.errors import CyclamentrackError, WorkerUnreachableError
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import TaskName, Token, WorkerEntry
from cyclamentrack.jobs.ports import (
    PollOrder,
    PollReport,
    StartAnswer,
    StartOrder,
    WorkerOrders,
)

_log = logging.getLogger(__name__)


class GuardedOrders:
    """Orders to workers; an unexpected error counts as no answer.

    The errors that ``WorkerOrders`` documents are passed on.
    """

    def __init__(self, *, orders: WorkerOrders) -> None:
        """Send orders through another client."""
        self._orders = orders
        self._failed: set[WorkerId] = set()

    async def start(
        self, *, worker: WorkerEntry, order: StartOrder
    ) -> StartAnswer:
        """Order the start of a run."""
        try:
            return await self._orders.start(worker=worker, order=order)
        except CyclamentrackError:
            raise
        except Exception:
            self._log_failure(worker)
            return StartAnswer.NO_ANSWER

    async def stop(
        self, *, worker: WorkerEntry, task: TaskName, run: int, token: Token
    ) -> None:
        """Stop a run."""
        try:
            await self._orders.stop(
                worker=worker, task=task, run=run, token=token
            )
        except CyclamentrackError:
            raise
        except Exception as error:
            self._log_failure(worker)
            raise WorkerUnreachableError(worker=worker.id) from error

    async def poll(
        self, *, worker: WorkerEntry, order: PollOrder
    ) -> PollReport:
        """Extend the lease of all runs and return the runs and ends listed."""
        try:
            return await self._orders.poll(worker=worker, order=order)
        except CyclamentrackError:
            raise
        except Exception as error:
            self._log_failure(worker)
            raise WorkerUnreachableError(worker=worker.id) from error

    async def pace(
        self,
        *,
        worker: WorkerEntry,
        task: TaskName,
        run: int,
        percent: int,
        token: Token,
    ) -> None:
        """Limit a run to a percentage of its full speed."""
        try:
            await self._orders.pace(
                worker=worker, task=task, run=run, percent=percent, token=token
            )
        except CyclamentrackError:
            raise
        except Exception as error:
            self._log_failure(worker)
            raise WorkerUnreachableError(worker=worker.id) from error

    def _log_failure(self, worker: WorkerEntry) -> None:
        """Log the first error of each worker; polls repeat it."""
        if worker.id not in self._failed:
            self._failed.add(worker.id)
            _log.exception(
                'order failed worker=%s address=%s', worker.id, worker.address
            )
