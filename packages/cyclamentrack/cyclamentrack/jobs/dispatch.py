"""Which task goes to which worker next.

Order answers the load in which more is ready than fits: urgent queues first,
then whoever has room kept, then the job that must start soonest.
"""

from collections.abc import Callable, Iterator

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.book import JobBook, JobRun, StepRun
from cyclamentrack.jobs.fleet import Fleet, Worker, charge
from cyclamentrack.jobs.gangs import needs_plan
from cyclamentrack.jobs.layout import lay_out_each, lay_out_gang
from cyclamentrack.jobs.model import StepName
from cyclamentrack.jobs.order import Turn, prospect_of, turn
from cyclamentrack.jobs.permits import PermitBook
from cyclamentrack.jobs.rounds import Assignment, Round, RoundState
from cyclamentrack.jobs.wishes import Wishes

# A worker that hasn't answered for so long gets nothing new.
_SILENCE_S = 2.6


class Dispatcher:
    """Decides rounds of placements for one slice."""

    def __init__(
        self,
        *,
        book: JobBook,
        fleet: Fleet,
        permits: PermitBook,
        urgent_queues: Callable[[], bool],
    ) -> None:
        """Decide over the book's open steps and the fleet's rooms."""
        self._urgent_queues = urgent_queues
        self._holding: dict[StepName, frozenset[WorkerId]] = {}
        self._book = book
        self._fleet = fleet
        self._permits = permits
        self._wishes = Wishes(permits=permits)

    def decide(self, now: float) -> Round:
        """Give ready tasks to workers, and charge these for them."""
        present = [
            worker
            for worker in self._fleet.workers.values()
            if worker.present(now=now, silence_s=_SILENCE_S)
        ]
        usable = [one for one in present if now >= one.suspect_until]
        state = RoundState(
            now=now,
            book=self._book,
            usable=usable,
            suspects=[one for one in present if now < one.suspect_until],
            urgent_queues=self._urgent_queues(),
        )
        ready = self._in_order(now)
        state.contest(self._claims(ready, state))
        former = self._holding
        self._holding = {}
        for entry, step in ready:
            self._place_step(entry, step, state)
            if not needs_plan(step.step, usable):
                self._wishes.wish(entry, step, state)
                continue
            last = former.get(step.name, frozenset())
            plan = self._wishes.plan(entry, step, state, last)
            if plan is not None:
                self._holding[step.name] = frozenset(plan.starts)
        return state.outcome

    def _in_order(self, now: float) -> list[tuple[JobRun, StepRun]]:
        ready = [
            (self._book.jobs[step.name.job], step)
            for step in self._book.open_steps.values()
            if step.idle
        ]
        ready.sort(key=lambda pair: self._turn(*pair, now))
        return ready

    def _claims(
        self, ready: list[tuple[JobRun, StepRun]], state: RoundState
    ) -> Iterator[set[WorkerId]]:
        """Return the workers that each large step or gang depends on."""
        for entry, step in ready:
            good = self._permits.of(step.name).good
            if not good or not needs_plan(step.step, state.usable):
                continue
            if prospect_of(entry, step, state.now):
                yield set(good)

    def _turn(
        self, entry: JobRun, step: StepRun, now: float
    ) -> tuple[bool, bool, Turn]:
        """Return a step's turn: what room is kept for is next to urgent work.

        Room that was kept in vain is wasted, so whoever has it keeps it.
        """
        own = turn(entry, step, now)
        return own.after_urgent, step.name not in self._holding, own

    def _place_step(
        self, entry: JobRun, step: StepRun, state: RoundState
    ) -> None:
        eligible = state.eligible(step, self._permits.of(step.name))
        if not eligible:
            return
        permit_of = self._permit_lookup(entry, step, state.now)
        allowed = [
            worker for worker in eligible if permit_of(worker) is not None
        ]
        if step.step.gang:
            chosen = lay_out_gang(step, allowed, state.contested)
        else:
            tasks = state.tasks_in_turn(entry, step)
            chosen = lay_out_each(step, tasks, allowed, state.contested)
        for task, worker in chosen:
            state.headroom.take(charge(step.step).milli_cores)
            worker.take(task=task.name, run=task.run + 1, step=step.step)
            state.given.add(task.name)
            state.outcome.assignments.append(
                Assignment(
                    step=step,
                    task=task,
                    worker=worker,
                    permit=permit_of(worker) or '',
                ),
            )

    def _permit_lookup(
        self, entry: JobRun, step: StepRun, now: float
    ) -> Callable[[Worker], str | None]:
        if entry.queue.permits is None:
            return lambda worker: ''
        known = self._permits.of(step.name)

        def lookup(worker: Worker) -> str | None:
            permit = known.fresh(worker.entry.id, now=now, life=worker.life)
            if permit:
                return permit
            return None

        return lookup
