"""Assigns ready tasks to workers.

If more is ready than fits, jobs that are worth something come first; among
them urgent queues, then steps for which capacity is kept, then the order of
``SchedulingKey``.
"""

from collections.abc import Callable, Iterator

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.account_caps import AccountCaps
from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.crashes import has_worked
from cyclamentrack.jobs.fair_share import (
    AccountWeight,
    account_shares,
    no_weight,
)
from cyclamentrack.jobs.fleet import Fleet, Worker
from cyclamentrack.jobs.layout import (
    place_each,
    place_gang,
    place_isolated,
)
from cyclamentrack.jobs.model import StepName
from cyclamentrack.jobs.order import ReadyStep, SchedulingKey, ready_step
from cyclamentrack.jobs.permit_requests import PermitPlanner
from cyclamentrack.jobs.permits import PermitCache
from cyclamentrack.jobs.registry import JobRegistry, StepRun, TaskRun
from cyclamentrack.jobs.rounds import Round, RoundState
from cyclamentrack.jobs.wait_log import WaitLog

# A worker that hasn't answered for this long gets no new tasks.
_UNREACHABLE_AFTER_S = 2.6
# A round considers this many steps in their order, and as many of the others
# in turn. It blocks the event loop, and a caller's jobs may have thousands.
_STEPS_PER_ROUND = 1000


class Dispatcher:
    """Runs the scheduling rounds of one slice."""

    def __init__(
        self,
        *,
        registry: JobRegistry,
        fleet: Fleet,
        permits: PermitCache,
        urgent_queues: Callable[[], bool],
        caps: AccountCaps | None = None,
        account_weight: AccountWeight = no_weight,
    ) -> None:
        """Place the registry's open steps on the fleet's workers."""
        self._caps = caps
        self._account_weight = account_weight
        self._urgent_queues = urgent_queues
        self._kept_for: dict[StepName, frozenset[WorkerId]] = {}
        self._next_turn = 0
        self._registry = registry
        self._fleet = fleet
        self._permits = permits
        self._permit_planner = PermitPlanner(permits=permits)
        self._wait_log = WaitLog(permits=permits)

    def decide(self, now: float, *, max_starts: int) -> Round:
        """Assign ready tasks to workers and charge the workers for them.

        At most ``max_starts`` tasks are assigned, or one gang beyond that.
        """
        present = [
            worker
            for worker in self._fleet.workers.values()
            if worker.present(now=now, unreachable_after_s=_UNREACHABLE_AFTER_S)
        ]
        for worker in present:
            self._end_isolation(worker, now)
        usable = [
            worker for worker in present if now >= worker.quarantined_until
        ]
        caps = self._caps.begin_round() if self._caps else None
        state = RoundState(
            now=now,
            registry=self._registry,
            usable=usable,
            quarantined=[
                worker for worker in present if now < worker.quarantined_until
            ],
            urgent_queues=self._urgent_queues(),
            max_starts=max_starts,
            free_permit_routes=self._permits.free_permit_routes(),
            caps=caps,
        )
        ready_steps = self._take_turns(self._ready_steps(now))
        state.add_contention(self._dependencies(ready_steps, state))
        previous = self._kept_for
        self._kept_for = {}
        for ready in ready_steps:
            if not state.may_start(ready):
                continue
            self._place_step(ready, state)
            if not state.needs_plan(ready.step.step):
                self._permit_planner.request_for(ready, state)
                continue
            name = ready.step.name
            last = previous.get(name, frozenset())
            plan = self._permit_planner.plan(ready, state, last)
            if plan is not None:
                self._kept_for[name] = frozenset(plan.starts)
        if caps is not None:
            caps.end()
        self._wait_log.write(ready_steps, state)
        return state.outcome

    def _ready_steps(self, now: float) -> list[ReadyStep]:
        found = [
            ready
            for step in self._registry.open_steps.values()
            if (ready := ready_step(self._registry.jobs[step.name.job], step))
        ]
        shares = self._account_shares(found)
        return sorted(
            found, key=lambda ready: self._sort_key(ready, now, shares)
        )

    def _take_turns(self, ready_steps: list[ReadyStep]) -> list[ReadyStep]:
        """Return the steps that this round considers, in their order."""
        others = ready_steps[_STEPS_PER_ROUND:]
        begin = self._next_turn if self._next_turn < len(others) else 0
        self._next_turn = begin + _STEPS_PER_ROUND
        return [
            *ready_steps[:_STEPS_PER_ROUND],
            *others[begin : self._next_turn],
        ]

    def _account_shares(
        self, found: list[ReadyStep]
    ) -> dict[AccountName, float]:
        """Return the shares of accounts if any of them is beyond its rate."""
        if all(ready.entry.within_rate for ready in found):
            return {}
        return account_shares(
            registry=self._registry,
            workers=self._fleet.workers.values(),
            weight=self._account_weight,
        )

    def _dependencies(
        self, ready_steps: list[ReadyStep], state: RoundState
    ) -> Iterator[set[WorkerId]]:
        """Yield the workers that may run each large step or gang."""
        for ready in ready_steps:
            permitted = self._permits.of(ready.step.name).permitted
            if not permitted or not state.needs_plan(ready.step.step):
                continue
            if ready.worthwhile(state.now):
                yield set(permitted)

    def _sort_key(
        self,
        ready: ReadyStep,
        now: float,
        shares: dict[AccountName, float],
    ) -> tuple[bool, bool, bool, SchedulingKey]:
        """Return a sort key: urgent steps, then steps with kept capacity.

        Capacity that was kept and then not used is wasted, so a step that has
        some keeps it.
        """
        own = ready.scheduling_key(
            now, share=shares.get(ready.entry.job.account, 0.0)
        )
        kept = ready.step.name in self._kept_for
        return own.worthless, own.after_urgent, not kept, own

    def _place_step(self, ready: ReadyStep, state: RoundState) -> None:
        step = ready.step
        if state.starts_left <= 0:
            return
        tasks = self._placeable_tasks(ready, state)
        if not tasks and not step.step.gang:
            return
        allowed = self._allowed(ready, state)
        if not allowed:
            return
        if step.step.gang:
            chosen = place_gang(step, allowed, state.contention)
            self._assign(step, chosen, state)
            return
        tasks = tasks[: state.starts_left]
        suspected = [task for task in tasks if state.must_isolate(step, task)]
        if suspected:
            alone = suspected[: state.may_isolate(step)]
            chosen = place_isolated(step, alone, allowed)
            self._assign(step, chosen, state, isolated=True)
            tasks = [task for task in tasks if task not in suspected]
            allowed = self._allowed(ready, state)
        chosen = place_each(
            step,
            tasks,
            allowed,
            state.contention,
            tasks_on=state.tasks_on(step),
        )
        self._assign(step, chosen, state)

    def _placeable_tasks(
        self, ready: ReadyStep, state: RoundState
    ) -> list[TaskRun]:
        """Return the tasks to place now, one at a time after a refusal."""
        tasks = state.placeable_tasks(ready)
        if self._permits.of(ready.step.name).backoff.last_refused:
            return tasks[:1]
        return tasks

    def _assign(
        self,
        step: StepRun,
        chosen: list[tuple[TaskRun, Worker]],
        state: RoundState,
        *,
        isolated: bool = False,
    ) -> None:
        known = self._permits.of(step.name)
        for task, worker in chosen:
            permit = known.fresh_permit(
                worker.entry.id, now=state.now, incarnation=worker.incarnation
            )
            state.assign(step, task, worker, permit, isolated=isolated)

    def _end_isolation(self, worker: Worker, now: float) -> None:
        """Open a worker to other runs once its isolated run has worked."""
        if worker.isolated_run is None:
            return
        if worker.isolated_run in worker.charges:
            task = self._registry.task(worker.isolated_run[0])
            placement = task.placement if task else None
            if placement is not None and not has_worked(placement, now):
                return
        worker.isolated_run = None

    def _allowed(self, ready: ReadyStep, state: RoundState) -> list[Worker]:
        """Return the workers with free capacity and a permit for a step."""
        step = ready.step
        known = self._permits.of(step.name)
        if ready.entry.queue.permits is None:
            return state.eligible(step, known)
        if known.none_fresh(state.now):
            return []
        workers = self._fleet.workers
        fresh = [
            name
            for name in known.permitted
            if name in workers
            and known.fresh_permit(
                name, now=state.now, incarnation=workers[name].incarnation
            )
        ]
        return state.eligible_among(step, fresh, known)
