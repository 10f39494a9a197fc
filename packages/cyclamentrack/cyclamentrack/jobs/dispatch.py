"""Which task goes to which worker next.

Order answers the load in which more is ready than fits: urgent queues first,
then whoever has room kept, then the job that must start soonest.
"""

from collections.abc import Callable, Iterator

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Fleet, Worker
from cyclamentrack.jobs.layout import lay_out_each, lay_out_gang
from cyclamentrack.jobs.model import StepName
from cyclamentrack.jobs.order import Ready, Turn, ready
from cyclamentrack.jobs.permit_requests import PermitPlanner
from cyclamentrack.jobs.permits import PermitCache
from cyclamentrack.jobs.registry import JobRegistry
from cyclamentrack.jobs.rounds import Round, RoundState

# A worker that hasn't answered for so long gets nothing new.
_SILENCE_S = 2.6


class Dispatcher:
    """Decides rounds of placements for one slice."""

    def __init__(
        self,
        *,
        registry: JobRegistry,
        fleet: Fleet,
        permits: PermitCache,
        urgent_queues: Callable[[], bool],
    ) -> None:
        """Decide over the book's open steps and the fleet's rooms."""
        self._urgent_queues = urgent_queues
        self._holding: dict[StepName, frozenset[WorkerId]] = {}
        self._registry = registry
        self._fleet = fleet
        self._permits = permits
        self._permit_planner = PermitPlanner(permits=permits)

    def decide(self, now: float, *, most_starts: int) -> Round:
        """Give ready tasks to workers, and charge these for them.

        No more than ``most_starts`` tasks, or one gang beyond them, are given.
        """
        present = [
            worker
            for worker in self._fleet.workers.values()
            if worker.present(now=now, silence_s=_SILENCE_S)
        ]
        usable = [one for one in present if now >= one.quarantined_until]
        state = RoundState(
            now=now,
            registry=self._registry,
            usable=usable,
            suspects=[one for one in present if now < one.quarantined_until],
            urgent_queues=self._urgent_queues(),
            most_starts=most_starts,
            free_permit_routes=self._permits.free_permit_routes(),
        )
        queued = self._in_order(now)
        state.contest(self._claims(queued, state))
        former = self._holding
        self._holding = {}
        for one in queued:
            self._place_step(one, state)
            if not state.needs_plan(one.step.step):
                self._permit_planner.wish(one, state)
                continue
            name = one.step.name
            last = former.get(name, frozenset())
            plan = self._permit_planner.plan(one, state, last)
            if plan is not None:
                self._holding[name] = frozenset(plan.starts)
        return state.outcome

    def _in_order(self, now: float) -> list[Ready]:
        found = (
            ready(self._registry.jobs[step.name.job], step)
            for step in self._registry.open_steps.values()
        )
        return sorted(
            (one for one in found if one is not None),
            key=lambda one: self._turn(one, now),
        )

    def _claims(
        self, queued: list[Ready], state: RoundState
    ) -> Iterator[set[WorkerId]]:
        """Return the workers that each large step or gang depends on."""
        for one in queued:
            good = self._permits.of(one.step.name).good
            if not good or not state.needs_plan(one.step.step):
                continue
            if one.hopeful(state.now):
                yield set(good)

    def _turn(self, one: Ready, now: float) -> tuple[bool, bool, Turn]:
        """Return a step's turn: what room is kept for is next to urgent work.

        Room that was kept in vain is wasted, so whoever has it keeps it.
        """
        own = one.turn(now)
        return own.after_urgent, one.step.name not in self._holding, own

    def _place_step(self, one: Ready, state: RoundState) -> None:
        step = one.step
        if state.starts_left <= 0:
            return
        tasks = state.tasks_in_turn(one)
        if not tasks and not step.step.gang:
            return
        allowed = self._allowed(one, state)
        if not allowed:
            return
        if step.step.gang:
            chosen = lay_out_gang(step, allowed, state.contested)
        else:
            tasks = tasks[: state.starts_left]
            chosen = lay_out_each(step, tasks, allowed, state.contested)
        known = self._permits.of(step.name)
        for task, worker in chosen:
            permit = known.fresh(
                worker.entry.id, now=state.now, incarnation=worker.incarnation
            )
            state.give(step, task, worker, permit)

    def _allowed(self, one: Ready, state: RoundState) -> list[Worker]:
        """Return the workers with room that permits let run a step's tasks."""
        step = one.step
        known = self._permits.of(step.name)
        if one.entry.queue.permits is None:
            return state.eligible(step, known)
        if known.none_fresh(state.now):
            return []
        workers = self._fleet.workers
        fresh = [
            name
            for name in known.good
            if name in workers
            and known.fresh(
                name, now=state.now, incarnation=workers[name].incarnation
            )
        ]
        return state.eligible_among(step, fresh, known)
