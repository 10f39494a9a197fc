"""Starts and stops runs; orders are repeated until the outcome is certain."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from cyclamentrack.errors import WorkerUnreachableError
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.journal import OwnershipLostError
from cyclamentrack.jobs.ports import StartAnswer, StartOrder
from cyclamentrack.jobs.registry import Phase, Placement
from cyclamentrack.jobs.worker_health import quarantine_worker

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import SliceOwner

_log = logging.getLogger(__name__)

# Workers answer within some milliseconds. An unanswered order is repeated while
# its permit is still valid, with a longer timeout each time.
_FIRST_TIMEOUT_S = 0.25
_MAX_TIMEOUT_S = 0.8
_RETRY_S = 0.05
# After this many unanswered attempts a stop order bars the run from starting,
# and the task is placed on another worker.
_MAX_ATTEMPTS = 3
_STOP_RETRY_S = 0.4
_MILLISECONDS = 1000
# An attempt that isn't sent tells nothing about an earlier one.
_UNCERTAIN_ANSWERS = (StartAnswer.NO_ANSWER, StartAnswer.NOT_SENT)


class Launcher:
    """Sends the start orders of placements to their workers."""

    def __init__(self, *, owner: SliceOwner, nursery: trio.Nursery) -> None:
        """Send orders for one owner; each start runs in ``nursery``."""
        self._owner = owner
        self._nursery = nursery

    async def launch(self, placed: list[Placement]) -> None:
        """Start runs once their records are stored."""
        await self._owner.journal.flushed()
        for placement in placed:
            self._nursery.start_soon(self._start, placement)

    async def _start(self, placement: Placement) -> None:
        """Order a start until the worker answers.

        Every attempt carries the lease of the first one. It is therefore
        certain by when a worker that doesn't answer has ended the run.
        """
        owner = self._owner
        attempts = 0
        answer_s = _FIRST_TIMEOUT_S
        while _is_current(owner, placement) and not placement.stopping:
            worker = owner.fleet.workers[placement.worker]
            obstacle = worker.start_obstacle or self._cap_obstacle(placement)
            if obstacle:
                self._withdraw(placement, why=obstacle)
                return
            answer = await self._send_start(worker, placement, answer_s)
            if answer is StartAnswer.NOT_SENT and not attempts:
                self._apply_not_sent(worker, placement)
                return
            if answer not in _UNCERTAIN_ANSWERS:
                self._apply_answer(
                    worker, placement, answer, earlier_unanswered=attempts > 0
                )
                return
            owner.fleet.note_unanswered(trio.current_time())
            placement.unanswered += 1
            owner.metrics.count('starts_unanswered')
            attempts += 1
            if attempts == _MAX_ATTEMPTS:
                owner.stop_run(placement)
                self._stop_gang(placement)
                return
            await trio.sleep(_RETRY_S)
            answer_s = min(2 * answer_s, _MAX_TIMEOUT_S)
        if placement.stopping and not attempts:
            owner.handle_lost_run(placement, why='stopped before its start')

    def _cap_obstacle(self, placement: Placement) -> str:
        """Why the cap of a run's account keeps it from starting."""
        registry = self._owner.registry
        step = registry.step_of(placement.task)
        if step is None:
            return ''
        return self._owner.caps.start_obstacle(
            registry.jobs[placement.task.job].job,
            step.step,
            since=placement.since,
        )

    def _withdraw(self, placement: Placement, *, why: str) -> None:
        """Place a task again instead of ordering its start on this worker."""
        self._owner.metrics.count('starts_withdrawn')
        if placement.sent:
            self._owner.stop_run(placement)
        else:
            self._owner.handle_lost_run(placement, why=why)
        self._stop_gang(placement)

    def _apply_not_sent(self, worker: Worker, placement: Placement) -> None:
        """Make the task idle at once; no worker can have its run."""
        worker.disconnected = True
        self._owner.metrics.count('starts_not_sent')
        self._owner.handle_lost_run(
            placement, why='its start could not be sent'
        )
        self._stop_gang(placement)

    async def _send_start(
        self, worker: Worker, placement: Placement, answer_s: float
    ) -> StartAnswer:
        owner = self._owner
        task = owner.registry.task(placement.task)
        if task is None or worker.incarnation != placement.incarnation:
            return StartAnswer.OTHER_INCARNATION
        if placement.lease_until_ms is None:
            now = trio.current_time()
            worker.lease_sent_at = now
            placement.lease_until_ms = worker.lease_until_ms(
                now=now,
                lease_s=owner.timings.worker_lease_s,
                overdue_s=owner.quorum.overdue_s,
            )
        placement.sent = True
        job = owner.registry.jobs[placement.task.job].job
        return await owner.orders.start(
            worker=worker.entry,
            order=StartOrder(
                task=placement.task,
                run=placement.run,
                payload=job.payload,
                token=owner.claim.token,
                lease_until_ms=placement.lease_until_ms or 0,
                answer_s=answer_s,
                checkpoint=task.checkpoint,
                permit=placement.permit,
            ),
        )

    def _apply_answer(
        self,
        worker: Worker,
        placement: Placement,
        answer: StartAnswer,
        *,
        earlier_unanswered: bool,
    ) -> None:
        if answer is StartAnswer.FENCED:
            raise OwnershipLostError(part=self._owner.claim.pool)
        now = trio.current_time()
        self._owner.note_start_answer(placement, answer)
        if answer is StartAnswer.STARTED:
            placement.phase = Phase.RUNNING
            placement.confirmed_at = now
            placement.progressed_at = now
            self._owner.metrics.count('starts_confirmed')
            self._owner.metrics.observe('start', now - placement.since)
            _log.info(
                'run started task=%s run=%d worker=%s after_ms=%d',
                placement.task,
                placement.run,
                placement.worker,
                int((now - placement.since) * _MILLISECONDS),
            )
            return
        self._owner.metrics.count('starts_refused')
        _log.warning(
            'start refused task=%s run=%d worker=%s reason=%s free=%s',
            placement.task,
            placement.run,
            placement.worker,
            answer.value,
            worker.free,
        )
        if answer is StartAnswer.BUSY:
            quarantine_worker(worker, now, why='busy')
        if earlier_unanswered:
            self._owner.stop_run(placement)
        else:
            self._owner.handle_lost_run(
                placement, why=f'refused: {answer.value}'
            )
        self._stop_gang(placement)

    def _stop_gang(self, placement: Placement) -> None:
        """Stop a gang's other members, which can't work without this one."""
        step = self._owner.registry.step_of(placement.task)
        if step is not None and step.step.gang:
            for other in step.placed:
                self._owner.stop_run(other)


async def stop_until_ended(owner: SliceOwner, placement: Placement) -> None:
    """Order a stop until the run has ended or is known to be lost."""
    while _is_current(owner, placement):
        worker = owner.fleet.workers.get(placement.worker)
        if worker is not None and worker.incarnation == placement.incarnation:
            try:
                await owner.orders.stop(
                    worker=worker.entry,
                    task=placement.task,
                    run=placement.run,
                    token=owner.claim.token,
                )
            except WorkerUnreachableError:
                _log.info(
                    'stop unanswered task=%s run=%d worker=%s',
                    placement.task,
                    placement.run,
                    placement.worker,
                )
            else:
                if not placement.stop_acknowledged_at:
                    placement.stop_acknowledged_at = trio.current_time()
        await trio.sleep(_STOP_RETRY_S)


def _is_current(owner: SliceOwner, placement: Placement) -> bool:
    task = owner.registry.task(placement.task)
    return task is not None and task.placement is placement
