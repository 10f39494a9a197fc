"""For which steps room is kept, and which permits are asked for, when.

The permit service is slow and a permit ends soon. So permits are asked for on
workers that have room, on those whose room is kept for the moment at which it
is expected to be free, and ahead for the steps that are next.
"""

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.gangs import GangPlan
from cyclamentrack.jobs.layout import suits, with_room
from cyclamentrack.jobs.order import Ready
from cyclamentrack.jobs.permits import PermitCache, StepPermits
from cyclamentrack.jobs.registry import JobRun, StepRun
from cyclamentrack.jobs.rounds import PermitRequest, RoundState

_NEVER = float('inf')
# Steps whose permits are renewed before there is room for them.
_PREPARED = 2
# Permits are renewed so long before a gang's room is expected to be free,
# beyond the time that the decision takes.
_PERMIT_LEAD_S = 0.35


class PermitPlanner:
    """Plans and wishes of the steps that a round could not place."""

    def __init__(self, *, permits: PermitCache) -> None:
        """Ask on the grounds of the permits that are known."""
        self._permits = permits

    def plan(
        self,
        ready: Ready,
        state: RoundState,
        former: frozenset[WorkerId],
    ) -> GangPlan | None:
        """Keep room for tasks that wait, and renew their permits in time.

        Returns the plan if room is kept for it; ``former`` are the workers
        on which it was kept in the round before.
        """
        step = ready.step
        left = [task for task in ready.waiting if task.name not in state.given]
        known = self._permits.of(step.name)
        permitted = bool(known.good) or ready.entry.queue.permits is None
        asks = known.may_ask(state.now) and state.may_wish
        if not left or not (permitted or asks):
            return None
        useful = permitted and ready.hopeful(state.now)
        kept = set(state.kept)
        if state.neglected(step):
            eligible = state.eligible(step, known)
            kept.difference_update(one.entry.id for one in eligible)
        candidates = [
            worker
            for worker in state.plannable(step, keeps=useful or not permitted)
            if not _barred(known, worker, state)
            and (not known.good or worker.entry.id in known.good)
            and worker.entry.id not in kept
            and suits(step.step, worker)
        ]
        plan = state.forecast.plan(
            step.step, candidates, count=len(left), former=former
        )
        if asks:
            self._renew_for_plan(ready, plan, candidates, state)
        return plan if useful and state.keep(plan) else None

    def wish(self, ready: Ready, state: RoundState) -> None:
        """Ask for permits on workers that have room for what is left."""
        entry = ready.entry
        step = ready.step
        if entry.queue.permits is None or not state.may_wish:
            return
        left = [
            task
            for task in state.tasks_in_turn(ready)
            if task.name not in state.given
        ]
        if not left:
            return
        room_left = state.neglected(step) or state.demand.admit(step, len(left))
        known = self._permits.of(step.name)
        if not known.may_ask(state.now):
            return
        if state.starts_left <= 0 and not known.none_fresh(state.now):
            return
        wanted = state.eligible(step, known)
        if not wanted:
            self._prepare(entry, step, state)
        elif room_left:
            state.outcome.permit_requests.append(
                PermitRequest(
                    entry=entry,
                    step=step,
                    workers=_distinct(
                        [
                            *wanted,
                            *self._unknown(step, state),
                        ]
                    ),
                ),
            )

    def _renew_for_plan(
        self,
        ready: Ready,
        plan: GangPlan,
        candidates: list[Worker],
        state: RoundState,
    ) -> None:
        """Ask for permits that will hold when the plan's moments come."""
        step = ready.step
        policy = ready.entry.queue.permits
        if policy is None:
            return
        known = self._permits.of(step.name)
        soon = state.now + policy.decide_s + _PERMIT_LEAD_S
        due = [
            worker
            for worker in candidates
            if plan.starts.get(worker.entry.id, _NEVER) <= soon
            and not known.fresh(
                worker.entry.id, now=state.now, incarnation=worker.incarnation
            )
        ]
        roomy = [
            worker
            for worker in _with_room(step, state)
            if not _barred(known, worker, state)
            and worker.entry.id not in known.good
            and state.open_to(step, worker)
        ]
        placeable = bool(known.good and plan.starts)
        if placeable and not (due or roomy):
            return
        unknown = self._unknown(step, state)
        if due or unknown:
            state.outcome.permit_requests.append(
                PermitRequest(
                    entry=ready.entry,
                    step=step,
                    workers=_distinct([*due, *roomy, *unknown]),
                ),
            )

    def _unknown(self, step: StepRun, state: RoundState) -> list[Worker]:
        """Return workers of which it isn't known whether they may run it.

        Naming one more costs little beside the call itself, so the first
        call names all, whether they have room now or not.
        """
        known = self._permits.of(step.name)
        need = charge(step.step)
        return [
            worker
            for worker in state.within_reach(step)
            if not _barred(known, worker, state)
            and worker.entry.id not in known.good
            and suits(step.step, worker)
            and need.fits(worker.entry.capacity)
        ]

    def _prepare(self, entry: JobRun, step: StepRun, state: RoundState) -> None:
        """Renew permits of the next steps before a worker has room for them.

        Otherwise each room that becomes free waits for a decision first.
        """
        known = self._permits.of(step.name)
        if not known.good or state.prepared >= _PREPARED:
            return
        stale = [
            worker
            for worker in state.usable
            if worker.entry.id in known.good
            and not known.fresh(
                worker.entry.id, now=state.now, incarnation=worker.incarnation
            )
        ]
        if stale:
            state.prepared += 1
            state.outcome.permit_requests.append(
                PermitRequest(entry=entry, step=step, workers=stale, ahead=True)
            )


def _with_room(step: StepRun, state: RoundState) -> list[Worker]:
    found = state.capacity_index.with_room(step.step)
    if state.neglected(step):
        found.extend(with_room(step.step, state.suspects))
    return found


def _barred(known: StepPermits, worker: Worker, state: RoundState) -> bool:
    return known.barred(
        worker.entry.id, now=state.now, incarnation=worker.incarnation
    )


def _distinct(workers: list[Worker]) -> list[Worker]:
    return list({worker.entry.id: worker for worker in workers}.values())
