"""Decides for which steps capacity is kept and which permits are requested.

The permit service is slow and a permit expires soon. So permits are requested
on workers that have free capacity, on workers whose capacity is kept for an
expected start, shortly before that start, and ahead for the next steps.
"""

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.gangs import StartPlan
from cyclamentrack.jobs.layout import with_free_capacity
from cyclamentrack.jobs.model import PermitPolicy
from cyclamentrack.jobs.order import ReadyStep
from cyclamentrack.jobs.permits import (
    MAX_NAMED,
    PermitCache,
    StepPermits,
)
from cyclamentrack.jobs.registry import JobRun, StepRun
from cyclamentrack.jobs.rounds import PermitRequest, RoundState

_NEVER = float('inf')
# Steps per round whose permits are renewed before there is free capacity.
_MAX_AHEAD_RENEWALS = 2
# Permits for a planned start are renewed this long before it, in addition to
# the time that the decision takes.
_PERMIT_LEAD_S = 0.35


class PermitPlanner:
    """Plans starts and requests permits for steps that a round didn't place."""

    def __init__(self, *, permits: PermitCache) -> None:
        """Use the permits known so far to decide which to request."""
        self._permits = permits

    def plan(
        self,
        ready: ReadyStep,
        state: RoundState,
        previous: frozenset[WorkerId],
    ) -> StartPlan | None:
        """Keep capacity for waiting tasks and renew their permits in time.

        Return the plan if capacity is kept for it. ``previous`` are the workers
        on which it was kept in the previous round.
        """
        step = ready.step
        left = [
            task for task in ready.waiting if task.name not in state.assigned
        ][: state.within_cap(ready)]
        known = self._permits.of(step.name)
        may_run = bool(known.permitted) or ready.entry.queue.permits is None
        may_request = known.may_call(state.now) and state.may_request
        if not left or not (may_run or may_request):
            return None
        useful = may_run and ready.worthwhile(state.now)
        kept_workers = set(state.kept_until)
        if state.neglected(step):
            eligible = state.eligible(step, known)
            kept_workers.difference_update(one.entry.id for one in eligible)
        candidates = state.suitable(
            step,
            (
                worker
                for worker in state.plannable(
                    step, known, keeps=useful or not may_run
                )
                if (not known.permitted or worker.entry.id in known.permitted)
                and worker.entry.id not in kept_workers
            ),
            known,
        )
        plan = state.forecast.plan(
            step.step,
            candidates,
            count=len(left),
            tasks_on=state.tasks_on(step),
            previous=previous,
        )
        if may_request:
            self._renew_for_plan(ready, plan, candidates, state)
        return plan if useful and state.keep_capacity(plan) else None

    def request_for(self, ready: ReadyStep, state: RoundState) -> None:
        """Request permits on workers with free capacity for tasks left over."""
        entry = ready.entry
        step = ready.step
        if entry.queue.permits is None or not state.may_request:
            return
        left = [
            task
            for task in state.placeable_tasks(ready)
            if task.name not in state.assigned
        ]
        if not left:
            return
        capacity_left = state.neglected(step) or state.demand.admit(
            step, len(left)
        )
        known = self._permits.of(step.name)
        if not known.may_call(state.now):
            return
        if state.starts_left <= 0 and not known.none_fresh(state.now):
            return
        wanted = state.eligible(step, known)
        if not wanted:
            self._renew_ahead(entry, step, state)
        elif capacity_left:
            state.outcome.permit_requests.append(
                PermitRequest(
                    entry=entry,
                    step=step,
                    workers=_distinct(
                        [
                            *wanted,
                            *self._undecided(step, state),
                        ]
                    ),
                ),
            )

    def _renew_for_plan(
        self,
        ready: ReadyStep,
        plan: StartPlan,
        candidates: list[Worker],
        state: RoundState,
    ) -> None:
        """Request permits that will be valid at the plan's start times."""
        step = ready.step
        policy = ready.entry.queue.permits
        if policy is None:
            return
        known = self._permits.of(step.name)
        due = _due_for_plan(policy, known, plan, candidates, step, state)
        fitting = state.suitable(
            step,
            (
                worker
                for worker in _with_free_capacity(step, state)
                if worker.entry.id not in known.permitted
                and state.available_to(step, worker)
            ),
            known,
        )
        placeable = bool(known.permitted and plan.starts)
        if placeable and not (due or fitting):
            return
        undecided = self._undecided(step, state)
        if due or undecided:
            state.outcome.permit_requests.append(
                PermitRequest(
                    entry=ready.entry,
                    step=step,
                    workers=_distinct([*due, *fitting, *undecided]),
                ),
            )

    def _undecided(self, step: StepRun, state: RoundState) -> list[Worker]:
        """Return workers for which no permit decision is known.

        Naming one more worker costs little compared with the call itself, so
        the first call names all, whether they have free capacity or not.
        """
        known = self._permits.of(step.name)
        need = charge(step.step)
        return state.suitable(
            step,
            (
                worker
                for worker in state.assignable(step)
                if worker.entry.id not in known.permitted
                and need.fits(worker.entry.capacity)
            ),
            known,
        )

    def _renew_ahead(
        self, entry: JobRun, step: StepRun, state: RoundState
    ) -> None:
        """Renew permits of the next steps before a worker has free capacity.

        Otherwise capacity that becomes free is unused until the decision.
        """
        known = self._permits.of(step.name)
        if not known.permitted or state.renewals_ahead >= _MAX_AHEAD_RENEWALS:
            return
        stale = state.suitable(
            step,
            (
                worker
                for worker in state.usable
                if worker.entry.id in known.permitted
                and not known.fresh_permit(
                    worker.entry.id,
                    now=state.now,
                    incarnation=worker.incarnation,
                )
            ),
            known,
        )
        if stale:
            state.renewals_ahead += 1
            state.outcome.permit_requests.append(
                PermitRequest(entry=entry, step=step, workers=stale, ahead=True)
            )


def _due_for_plan(
    policy: PermitPolicy,
    known: StepPermits,
    plan: StartPlan,
    candidates: list[Worker],
    step: StepRun,
    state: RoundState,
) -> list[Worker]:
    """Return the plan's workers that need a permit for their start soon.

    A gang's permits are renewed as a set, once some of them would expire
    before the answer or the planned start. If only those were renewed, others
    would expire meanwhile, and the gang would never start.
    """
    call_s = policy.decide_s
    if step.step.gang:
        call_s += policy.each_s * min(len(plan.starts), MAX_NAMED)
    soon = state.now + call_s + _PERMIT_LEAD_S
    planned = [
        worker
        for worker in candidates
        if plan.starts.get(worker.entry.id, _NEVER) <= soon
    ]
    needed_at = soon if step.step.gang else state.now
    stale = [
        worker
        for worker in planned
        if not known.fresh_permit(
            worker.entry.id, now=needed_at, incarnation=worker.incarnation
        )
    ]
    return planned if stale and step.step.gang else stale


def _with_free_capacity(step: StepRun, state: RoundState) -> list[Worker]:
    found = state.capacity_index.with_free_capacity(step.step)
    if state.neglected(step):
        found.extend(with_free_capacity(step.step, state.quarantined))
    return found


def _distinct(workers: list[Worker]) -> list[Worker]:
    return list({worker.entry.id: worker for worker in workers}.values())
