"""Accepts, shows, cancels and completes works on the daemon that owns them."""

import logging
from collections.abc import Callable, Iterator

import msgspec
import trio

from cyclamentrack.admission import Admission
from cyclamentrack.audit import Audit, AuditKind
from cyclamentrack.dispatch import Dispatcher
from cyclamentrack.errors import ErrorKind, Problem, Ran
from cyclamentrack.events import Cancelled, Ended
from cyclamentrack.ids import AttemptId, PartitionId, WorkId, split_attempt
from cyclamentrack.membership import Membership
from cyclamentrack.messages import AttemptEnd, Site
from cyclamentrack.metrics import Metrics
from cyclamentrack.queue_waits import QueueWaits
from cyclamentrack.registry import WorkRecord
from cyclamentrack.resolution import AttemptResolver
from cyclamentrack.usage import Usage
from cyclamentrack.work import Answer, Kind, Outcome, Work
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

_DEADLINE_CHECK_S = 0.5


class _Deadline(msgspec.Struct, frozen=True, kw_only=True):
    record: WorkRecord
    at: float


class Coordinator:
    """Manages the works of the partitions that this daemon owns."""

    def __init__(
        self,
        *,
        works: Works,
        dispatcher: Dispatcher,
        resolver: AttemptResolver,
        admission: Admission,
        membership: Membership,
        usage: Usage,
        metrics: Metrics,
        queue_waits: QueueWaits,
        audit: Audit,
    ) -> None:
        """Use the given stages; nothing runs before ``run``."""
        self._works = works
        self._dispatcher = dispatcher
        self._resolver = resolver
        self._admission = admission
        self._membership = membership
        self._usage = usage
        self._metrics = metrics
        self._queue_waits = queue_waits
        self._audit = audit
        self._deadlines: dict[WorkId, _Deadline] = {}

    async def run(self) -> None:
        """Cancel works that did not start before their deadline."""
        while True:
            await trio.sleep(_DEADLINE_CHECK_S)
            now = trio.current_time()
            late = [
                entry for entry in self._deadlines.values() if entry.at <= now
            ]
            for entry in late:
                self._expire(entry.record)

    def recover(self, partition: PartitionId) -> None:
        """Resume the works of a partition that was just acquired."""
        for record in self._works.registry(partition).records():
            if record.final:
                continue
            self._usage.restore(record)
            self._track_deadline(record)
            for attempt, task in record.placed():
                if task.site is not None:
                    self._resolver.resolve(
                        attempt,
                        task.site,
                        stop=_should_stop(record),
                    )
            self._dispatcher.reconsider(record)

    def resolve_attempts_on(
        self,
        partitions: set[PartitionId],
        rack_partition: Callable[[str], PartitionId],
    ) -> None:
        """Resolve attempts on workers whose partitions changed owner."""
        for record, attempt, site in self._placed_attempts():
            if rack_partition(site.rack) in partitions:
                self._resolver.resolve(attempt, site, stop=_should_stop(record))

    def release(self, partition: PartitionId) -> None:
        """Stop tracking the works of a partition."""
        for record in self._works.registry(partition).records():
            self._usage.drop(record)
            self._deadlines.pop(record.work.id, None)
            self._queue_waits.drop(record.work.id)

    # Callers

    async def submit(
        self, works: list[Work], deadline_s: float
    ) -> list[Answer]:
        """Accept works and answer each one once its accept is durable.

        An accept that isn't durable within ``deadline_s`` seconds is
        withdrawn. If it was already sent to the table service, the answer
        says that it is unknown whether the work runs.
        """
        accepted_positions: dict[WorkId, int] = {}
        problems: dict[WorkId, Problem] = {}
        for work in works:
            problem = self._try_accept(work, accepted_positions)
            if problem is not None:
                problems[work.id] = problem
        until = trio.current_time() + deadline_s
        return [
            await self._await_accept(
                work, problems.get(work.id), accepted_positions, until
            )
            for work in works
        ]

    async def show(self, work: WorkId, wait_s: float) -> Answer:
        """Return a work's state, waiting ``wait_s`` seconds for its end."""
        with trio.move_on_after(wait_s):
            while not self._is_final(work):
                await self._works.changed(work)
        record = self._works.find(work)
        if record is None:
            return Answer(id=work, problem=self._not_found(work))
        return await self._durable_view(record)

    async def cancel(self, works: list[WorkId], reason: str) -> list[Answer]:
        """Cancel works: drop their waiting tasks and stop the running ones."""
        for work in works:
            record = self._works.find(work)
            if record is not None and not record.final:
                self._cancel(record, reason)
        return [await self.show(work, 0) for work in works]

    # Completed attempts

    def apply_ends(self, settlements: list[AttemptEnd]) -> list[AttemptId]:
        """Journal ended attempts; return those whose works are owned here."""
        owned: list[AttemptId] = []
        for entry in settlements:
            work, index, number = split_attempt(entry.attempt)
            if not self._works.owns(work):
                continue
            owned.append(entry.attempt)
            record = self._works.log(
                Ended(
                    work=work,
                    task=index,
                    attempt=number,
                    outcome=entry.outcome,
                    answer=entry.answer,
                ),
            )
            self._usage.release(entry.attempt)
            self._dispatcher.preemption.drop(entry.attempt)
            if record is not None:
                self._continue_after_end(record, entry)
        return owned

    async def record_ends(
        self, settlements: list[AttemptEnd]
    ) -> list[AttemptId]:
        """Journal ended attempts and return them once they are durable."""
        owned = self.apply_ends(settlements)
        for attempt in owned:
            record = self._works.find(split_attempt(attempt)[0])
            if record is not None:
                await self._works.wait_durable(record)
        return [
            attempt
            for attempt in owned
            if self._works.owns(split_attempt(attempt)[0])
        ]

    def _continue_after_end(
        self, record: WorkRecord, entry: AttemptEnd
    ) -> None:
        """Finish the work, stop its gang, or queue it again."""
        if record.final:
            self._finish(record)
            return
        if record.work.kind is Kind.GANG and _should_stop(record):
            self._stop_placed(record)
        self._dispatcher.reconsider(record)

    def _finish(self, record: WorkRecord) -> None:
        work = record.work.id
        self._deadlines.pop(work, None)
        self._queue_waits.drop(work)
        self._dispatcher.reconsider(record)
        self._metrics.count(f'works_{record.stage.name.lower()}')
        self._audit.record(
            AuditKind.WORK,
            work,
            record.stage.value,
            detail=record.reason,
        )

    # Submission

    def _try_accept(
        self, work: Work, accepted_positions: dict[WorkId, int]
    ) -> Problem | None:
        """Accept one work, or return the problem that prevents it."""
        known = self._works.find(work.id)
        if known is not None:
            return None if known.work == work else _id_reused(work)
        problem = self._admission.refuse(work)
        if problem is not None:
            self._metrics.count(f'refused_{problem.kind.name.lower()}')
            self._audit.record(
                AuditKind.REFUSAL,
                work.id,
                problem.kind.value,
                by=work.team,
                detail=problem.detail,
            )
            return self._with_valid_ran(problem)
        record = self._works.accept(work)
        if record is None:
            return _not_owner(work.id)
        accepted_positions[work.id] = record.position
        self._queue_waits.begin(work)
        self._track_deadline(record)
        self._dispatcher.reconsider(record)
        return None

    def _with_valid_ran(self, problem: Problem) -> Problem:
        """Report "not run" only while no successor can have run the work."""
        if self._membership.valid or problem.ran is not Ran.NO:
            return problem
        return msgspec.structs.replace(problem, ran=Ran.UNKNOWN)

    async def _await_accept(
        self,
        work: Work,
        problem: Problem | None,
        accepted_positions: dict[WorkId, int],
        until: float,
    ) -> Answer:
        if problem is not None:
            return Answer(id=work.id, problem=problem)
        record = self._works.find(work.id)
        if record is None:
            return Answer(id=work.id, problem=_not_owner(work.id))
        with trio.move_on_at(until):
            answer = await self._durable_view(record)
            if work.id in accepted_positions:
                self._note_accept(work)
            return answer
        return Answer(
            id=work.id,
            problem=self._answer_timed_out(record, accepted_positions),
        )

    def _note_accept(self, work: Work) -> None:
        self._metrics.count('accepted')
        self._audit.record(AuditKind.WORK, work.id, 'accepted', by=work.team)

    def _answer_timed_out(
        self, record: WorkRecord, accepted_positions: dict[WorkId, int]
    ) -> Problem:
        """Return the problem for an accept that was not confirmed in time."""
        work = record.work.id
        position = accepted_positions.get(work)
        if position is not None and self._works.withdraw(record, position):
            self._deadlines.pop(work, None)
            self._dispatcher.withdraw(work)
            return self._with_valid_ran(_store_down(work, Ran.NO))
        return _store_down(work, Ran.UNKNOWN)

    async def _durable_view(self, record: WorkRecord) -> Answer:
        """Return a view once every event that it shows is durable."""
        work = record.work.id
        while True:
            view = record.view()
            position = record.position
            await self._works.wait_durable_position(position)
            if self._works.find(work) is not record:
                return Answer(id=work, problem=_not_owner(work))
            if record.position == position:
                return Answer(id=work, view=view)

    # Cancellation and deadlines

    def _cancel(self, record: WorkRecord, reason: str) -> None:
        self._works.log(Cancelled(work=record.work.id, reason=reason))
        self._audit.record(
            AuditKind.WORK,
            record.work.id,
            'cancel',
            detail=reason,
        )
        self._stop_placed(record)
        if record.final:
            self._finish(record)
        else:
            self._dispatcher.reconsider(record)

    def _expire(self, record: WorkRecord) -> None:
        """Cancel a work that did not start before its deadline."""
        self._deadlines.pop(record.work.id, None)
        if record.final or record.started or not self._membership.valid:
            return
        if any(True for _ in record.placed()):
            return
        self._cancel(record, 'it did not start before its deadline')

    def _stop_placed(self, record: WorkRecord) -> None:
        for attempt, task in record.placed():
            if task.site is not None:
                self._resolver.resolve(attempt, task.site, stop=True)

    def _track_deadline(self, record: WorkRecord) -> None:
        """Track a work's deadline, which restarts from now after a takeover."""
        deadline_s = record.work.deadline_s
        if deadline_s is not None and not record.started:
            self._deadlines[record.work.id] = _Deadline(
                record=record,
                at=trio.current_time() + deadline_s,
            )

    def _placed_attempts(
        self,
    ) -> Iterator[tuple[WorkRecord, AttemptId, Site]]:
        for registry in self._works.registries():
            for record in registry.records():
                for attempt, task in record.placed():
                    if task.site is not None:
                        yield record, attempt, task.site

    def _is_final(self, work: WorkId) -> bool:
        record = self._works.find(work)
        return record is None or record.final

    def _not_found(self, work: WorkId) -> Problem:
        if not self._works.owns(work):
            return _not_owner(work)
        return Problem(
            kind=ErrorKind.NOT_FOUND,
            detail=f'there is no work {work}',
            remedy='check the id; works that ended long ago are removed',
            ran=Ran.UNKNOWN,
        )


def _should_stop(record: WorkRecord) -> bool:
    """Return whether the running tasks of a work should be stopped."""
    if record.cancelled:
        return True
    if record.work.kind is not Kind.GANG:
        return False
    return any(
        task.outcome not in {None, Outcome.SUCCEEDED} for task in record.tasks
    )


def _id_reused(work: Work) -> Problem:
    return Problem(
        kind=ErrorKind.ID_REUSED,
        detail=f'id {work.id} already belongs to a work with other content',
        remedy='choose a new id for new work',
        ran=Ran.NO,
    )


def _not_owner(work: WorkId) -> Problem:
    return Problem(
        kind=ErrorKind.NO_OWNER,
        detail=f'ownership of work {work} moved to another daemon',
        remedy='send it again with the same id; it is never run twice',
        ran=Ran.UNKNOWN,
        retry_after_s=1,
    )


def _store_down(work: WorkId, ran: Ran) -> Problem:
    return Problem(
        kind=ErrorKind.STORE_DOWN,
        detail=f'work {work} could not be recorded in time',
        remedy='send it again with the same id; it is never run twice',
        ran=ran,
        retry_after_s=1,
    )
