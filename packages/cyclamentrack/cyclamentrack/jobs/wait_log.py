"""Logs what keeps steps waiting although their jobs should have started.

A line counts the workers that are left after each condition of a start, so
that it shows the condition that none of them meets.
"""

import logging
from collections.abc import Iterable, Sequence

from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.order import ReadyStep
from cyclamentrack.jobs.permits import PermitCache, StepPermits
from cyclamentrack.jobs.rounds import RoundState

_log = logging.getLogger(__name__)

_INTERVAL_S = 1.0
_MAX_STEPS = 5
_MAX_NAMES = 3


class WaitLog:
    """Writes lines about the first few waiting steps, once a second."""

    def __init__(self, *, permits: PermitCache) -> None:
        """Show the permits known so far."""
        self._permits = permits
        self._next_at = 0.0

    def write(
        self, ready_steps: Sequence[ReadyStep], state: RoundState
    ) -> None:
        """Log the neglected steps that a round has left waiting."""
        if state.now < self._next_at:
            return
        self._next_at = state.now + _INTERVAL_S
        waiting = [
            ready
            for ready in ready_steps
            if state.neglected(ready.step)
            and any(one.name not in state.assigned for one in ready.waiting)
        ]
        for ready in waiting[:_MAX_STEPS]:
            self._log_step(ready, state)

    def _log_step(self, ready: ReadyStep, state: RoundState) -> None:
        step = ready.step
        known = self._permits.of(step.name)
        free = state.capacity_index.with_free_capacity(step.step)
        _log.info(
            'step waits step=%s tasks=%d free=%d suitable=%d eligible=%d '
            'permitted=%d fresh=%d pending=%d requested=%s',
            step.name,
            len(ready.waiting),
            len(free),
            len(state.suitable(step, free, known)),
            len(state.eligible(step, known)),
            len(known.permitted),
            _count_fresh(known, state),
            known.calls_pending,
            _names(
                worker
                for request in state.outcome.permit_requests
                if request.step is step
                for worker in request.workers
            ),
        )


def _count_fresh(known: StepPermits, state: RoundState) -> int:
    return sum(
        bool(
            known.fresh_permit(
                worker.entry.id, now=state.now, incarnation=worker.incarnation
            )
        )
        for worker in [*state.usable, *state.quarantined]
    )


def _names(workers: Iterable[Worker]) -> str:
    """Return the first names and how many there are in all."""
    names = [worker.entry.id for worker in workers]
    shown = ','.join(names[:_MAX_NAMES]) or 'none'
    return f'{shown}({len(names)})'
