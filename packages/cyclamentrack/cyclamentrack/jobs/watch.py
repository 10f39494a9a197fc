"""Polls one worker: extends its lease and processes its runs and run ends."""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

import trio

from cyclamentrack.errors import WorkerUnreachableError
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.crashes import CrashedRun, clear, had_just_begun
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.model import TaskName, WorkerState
from cyclamentrack.jobs.pacing import ServingReading, next_pace
from cyclamentrack.jobs.polling import first_poll_share, poll_wait_s
from cyclamentrack.jobs.ports import PollOrder, PollReport, RunReport
from cyclamentrack.jobs.registry import (
    Phase,
    Placement,
    StepRun,
    placements,
)
from cyclamentrack.jobs.worker_health import (
    SLOWDOWN_FACTOR,
    Progress,
    Slowdown,
    classify_progress,
    end_long_probe,
    measure_slowdown,
    quarantine_worker,
    restart_ends_sooner,
    restart_pays_off,
    several_jobs_slowed,
)

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import SliceOwner

_log = logging.getLogger(__name__)

# Ends that follow within this time are collected in one poll, since every poll
# has a cost.
_END_COLLECTION_S = 0.02
# Workers answer some milliseconds after a run ends or the wait is over.
_POLL_ANSWER_S = 0.35
_MAX_POLL_ANSWER_S = 0.8
_FIRST_RETRY_S = 0.05
_RETRY_S = 0.2
# An unanswered poll may reach the worker late. After this many in a row, polls
# don't extend the lease, or it would never be certain that the lease has ended.
_MAX_UNANSWERED_POLLS = 2
# While ends can't be acknowledged, polls return at once; this is the pause
# between them.
_UNACKNOWLEDGED_PAUSE_S = 0.3
# The next poll is sent after this time even if the journal has not stored the
# ends.
_MAX_COMMIT_WAIT_S = 0.5
# A run stays on a draining worker if it should end at least this long before
# the worker may leave.
_DRAIN_MARGIN_S = 0.4


class WorkerPoller:
    """Polls one worker under its owner's claim."""

    def __init__(
        self,
        *,
        owner: SliceOwner,
        worker: Worker,
        contact_limiter: trio.CapacityLimiter,
    ) -> None:
        """Create the poller; it sends nothing until ``run``.

        ``contact_limiter`` bounds how many workers get their first poll at the
        same time.
        """
        self._owner = owner
        self._worker = worker
        self._contact_limiter = contact_limiter
        self._draining_since: float | None = None
        self._unanswered = 0
        self._next_wait_share = first_poll_share(worker.entry.id)

    async def run(self) -> None:
        """Poll the worker until it is retired: unlisted and its lease ended."""
        async with self._contact_limiter:
            sent_at = trio.current_time()
            report = await self._poll(sent_at)
        await self._apply_answer(report, sent_at)
        while not self._worker.retired:
            sent_at = trio.current_time()
            report = await self._poll(sent_at)
            await self._apply_answer(report, sent_at)

    async def _poll(self, sent_at: float) -> PollReport | None:
        quorum = self._owner.quorum
        asked_at = quorum.now
        try:
            report = await self._send_poll(sent_at)
        except WorkerUnreachableError as error:
            self._worker.disconnected |= error.disconnected
            return None
        quorum.note_answer(
            self._worker.entry,
            incarnation=report.incarnation,
            asked_at=asked_at,
        )
        return report

    async def _apply_answer(
        self, report: PollReport | None, sent_at: float
    ) -> None:
        if report is None:
            await self._apply_timeout()
        else:
            await self._apply_report(report, sent_at)

    async def _send_poll(self, sent_at: float) -> PollReport:
        owner = self._owner
        worker = self._worker
        lease = worker.lease_until_ms(
            now=sent_at,
            lease_s=owner.timings.worker_lease_s,
            overdue_s=owner.quorum.overdue_s,
        )
        if self._unanswered >= _MAX_UNANSWERED_POLLS:
            lease = None
        if lease is not None:
            worker.lease_sent_at = sent_at
        retrying = self._unanswered > 0
        return await owner.orders.poll(
            worker=worker.entry,
            order=PollOrder(
                token=owner.claim.token,
                incarnation=worker.incarnation,
                acknowledged=worker.acknowledged,
                lease_until_ms=lease,
                wait_s=self._wait_s(sent_at),
                answer_s=_MAX_POLL_ANSWER_S if retrying else _POLL_ANSWER_S,
            ),
        )

    def _wait_s(self, now: float) -> float:
        if not self._worker.contacted:
            return 0.0
        fleet = self._owner.fleet
        wait_s = poll_wait_s(
            workers=fleet.listed, unanswered=fleet.recently_unanswered(now)
        )
        share = self._next_wait_share
        self._next_wait_share = 1.0
        return wait_s * share

    async def _apply_timeout(self) -> None:
        worker = self._worker
        now = trio.current_time()
        if not self._unanswered:
            self._owner.fleet.note_unanswered(now)
        self._unanswered += 1
        worker.silent = True
        if worker.disconnected and self._unanswered == 1:
            self._record_lost_connection()
        if self._leases_expired(now):
            self._drop_all_runs('its lease has expired')
            worker.clock_ms = None
            if not worker.listed:
                worker.retired = True
                _log.info('worker retired worker=%s', worker.entry.id)
        again = self._unanswered > 1
        await trio.sleep(_RETRY_S if again else _FIRST_RETRY_S)

    def _record_lost_connection(self) -> None:
        """Record under which starts the worker closed its connection.

        If this owner is lost before the worker is back, its successor can't
        know otherwise that the worker hasn't left as planned. A worker that
        only falls silent may be alive, so that nothing is recorded then.
        """
        worker = self._worker
        heard_at = worker.heard_at
        watched = self._owner.worker_list.followed_since(heard_at)
        if not watched or worker.leaving == worker.incarnation:
            return
        for placement in self._placements():
            recent = placement.sent and had_just_begun(placement, heard_at)
            if recent and not placement.connection_lost:
                self._mark_connection(placement, lost=True)

    def _withdraw_lost_connection(self) -> None:
        """Withdraw what was recorded; the worker still answers."""
        for placement in self._placements():
            if placement.connection_lost:
                self._mark_connection(placement, lost=False)

    def _mark_connection(self, placement: Placement, *, lost: bool) -> None:
        placement.connection_lost = lost
        task = self._owner.registry.task(placement.task)
        step = self._owner.registry.step_of(placement.task)
        if task is not None and step is not None:
            self._owner.record_tasks(step, [task])

    def _leases_expired(self, now: float) -> bool:
        """Return whether all leases, also a former owner's, have ended."""
        lease_s = self._owner.timings.worker_lease_s
        worker = self._worker
        former_at = -math.inf
        if not worker.heard_at:
            former_at = self._owner.quorum.extensions_end_at
        return worker.leases_expired(
            now=now, lease_s=lease_s, former_sent_at=former_at
        )

    async def _apply_report(self, report: PollReport, sent_at: float) -> None:
        worker = self._worker
        now = trio.current_time()
        if report.incarnation != worker.incarnation:
            self._apply_restart(report, sent_at)
        worker.take_lost_runs()
        self._withdraw_lost_connection()
        worker.record_clock(clock_ms=report.clock_ms, now=now)
        self._unanswered = 0
        self._apply_runs(report, sent_at)
        for end in report.ended:
            if end.number > worker.processed:
                self._owner.handle_run_end(worker, end)
                worker.processed = end.number
        if report.complete and not worker.contacted:
            worker.contacted = True
            self._retire_former_workers()
            self._owner.wake()
        self._pace()
        self._check_progress(now)
        self._evacuate()
        if worker.processed > worker.acknowledged:
            await self._acknowledge(worker.processed)
            await trio.sleep(_END_COLLECTION_S)

    async def _acknowledge(self, newest: int) -> None:
        """Acknowledge ends once their effects are stored."""
        incarnation = self._worker.incarnation
        with trio.move_on_after(_MAX_COMMIT_WAIT_S):
            await self._owner.journal.flushed()
            if self._worker.incarnation == incarnation:
                self._worker.acknowledged = newest
            return
        await trio.sleep(_UNACKNOWLEDGED_PAUSE_S)

    def _apply_restart(self, report: PollReport, sent_at: float) -> None:
        """Drop the runs that ended with the worker's earlier incarnation.

        Orders were still sent while its restart wasn't known. A run that the
        new incarnation may have started from them is kept, but it counts as
        crashed if the earlier one may have started it too.
        """
        worker = self._worker
        former = [
            placement
            for placement in self._placements()
            if placement.incarnation != report.incarnation
        ]
        lost = [
            placement
            for placement in former
            if self._ended_at_restart(placement, report, sent_at)
        ]
        worker.incarnation = report.incarnation
        worker.processed = 0
        worker.acknowledged = 0
        worker.failures = 0
        # Leases sent meanwhile were for the clock of the earlier incarnation.
        worker.lease_sent_at = max(worker.lease_sent_at, trio.current_time())
        uncertain = [
            placement
            for placement in former
            if placement not in lost and _may_have_crashed(placement, report)
        ]
        given_up = [
            placement
            for placement in worker.take_lost_runs()
            if placement.incarnation != report.incarnation
        ]
        self._handle_crash(
            worker,
            [*given_up, *lost],
            'its worker restarted',
            kept=uncertain,
        )
        if worker.contacted:
            _log.info(
                'worker restarted worker=%s incarnation=%d lost=%d kept=%d',
                worker.entry.id,
                report.incarnation,
                len(lost),
                len(former) - len(lost),
            )
        for placement in former:
            if placement not in lost:
                self._keep_after_restart(placement, report)

    def _ended_at_restart(
        self, placement: Placement, report: PollReport, sent_at: float
    ) -> bool:
        """Return whether a run is certain not to run after a restart."""
        if not report.complete or _lists(report, placement):
            return False
        if not self._worker.contacted:
            return True
        if placement.phase is Phase.STARTING:
            return not placement.sent
        return placement.confirmed_at < sent_at

    def _keep_after_restart(
        self, placement: Placement, report: PollReport
    ) -> None:
        """Move a run to the new incarnation; bar it unless it has started."""
        placement.incarnation = report.incarnation
        placement.lease_until_ms = None
        placement.stop_acknowledged_at = 0.0
        if placement.phase is Phase.RUNNING or _lists(report, placement):
            return
        if not self._worker.contacted:
            return
        step = self._owner.registry.step_of(placement.task)
        if step is not None:
            self._stop_run(placement, step)

    def _retire_former_workers(self) -> None:
        """Drop the runs of workers that this one's instance ran before."""
        instance = self._worker.entry.instance
        if not instance:
            return
        since = self._worker.incarnation
        lost: dict[WorkerId, list[Placement]] = {}
        for former in self._owner.fleet.workers.values():
            entry = former.entry
            if entry.instance != instance or entry.incarnation >= since:
                continue
            if not former.retired:
                _log.info(
                    'worker replaced worker=%s instance=%s by=%s',
                    entry.id,
                    instance,
                    self._worker.entry.id,
                )
            former.retired = True
            lost[entry.id] = former.take_lost_runs()
        for placement in placements(self._owner.registry):
            if placement.instance == instance and placement.incarnation < since:
                lost.setdefault(placement.worker, []).append(placement)
        for name, runs in lost.items():
            former = self._owner.fleet.workers.get(name)
            self._handle_crash(former, runs, 'its instance runs another worker')

    def _handle_crash(
        self,
        worker: Worker | None,
        runs: list[Placement],
        why: str,
        *,
        kept: Sequence[Placement] = (),
    ) -> None:
        """Drop the runs of a worker that is certain to have ended.

        Those that are ``kept`` may have ended with it. A worker that was
        leaving has not crashed, and ``None`` stands for one that this owner
        has not known.
        """
        crashed = [
            CrashedRun(
                task=task,
                placement=run,
                isolated=worker is not None
                and worker.isolated_run == (run.task, run.run),
            )
            for run in (*runs, *kept)
            if (task := self._owner.registry.task(run.task))
            and not task.done
            and (worker is None or worker.leaving != run.incarnation)
        ]
        for run in runs:
            self._owner.handle_lost_run(run, why=why)
        self._owner.handle_crash(
            crashed, heard_at=worker.last_heard_at if worker else None
        )

    def _apply_runs(self, report: PollReport, sent_at: float) -> None:
        seen: set[tuple[TaskName, int]] = set()
        self._worker.unknown_runs = 0
        for run in report.running:
            seen.add((run.task, run.run))
            self._apply_run(run)
        if not report.complete:
            return
        seen.update((end.task, end.run) for end in report.ended)
        for placement in self._placements():
            if (placement.task, placement.run) in seen:
                continue
            if self._is_missing(placement, sent_at):
                self._owner.handle_lost_run(
                    placement, why='its worker does not list it'
                )

    def _is_missing(self, placement: Placement, sent_at: float) -> bool:
        """Return whether an unlisted run is certain not to run or start.

        After the first poll with a new token, the worker refuses orders that
        the former owner may still have in transit.
        """
        if not self._worker.contacted:
            return True
        if placement.stopping:
            return 0 < placement.stop_acknowledged_at < sent_at
        return (
            placement.phase is Phase.RUNNING
            and placement.confirmed_at < sent_at
        )

    def _apply_run(self, run: RunReport) -> None:
        task = self._owner.registry.task(run.task)
        placement = task.placement if task else None
        ours = (
            placement is not None
            and placement.run == run.run
            and placement.worker == self._worker.entry.id
        )
        if task is None or placement is None or not ours:
            self._worker.unknown_runs += 1
            self._owner.nursery.start_soon(self._stop_unknown_run, run)
            return
        now = trio.current_time()
        if placement.phase is Phase.STARTING:
            placement.phase = Phase.RUNNING
            placement.confirmed_at = now
            placement.progressed_at = now
        if run.percent > placement.percent:
            placement.progressed_at = now
        placement.percent = run.percent
        placement.reading = run.reading
        if run.checkpoint:
            self._owner.registry.record_checkpoint(run.task, run.checkpoint)

    async def _stop_unknown_run(self, run: RunReport) -> None:
        owner = self._owner
        _log.info(
            'stopping unknown run task=%s run=%d worker=%s',
            run.task,
            run.run,
            self._worker.entry.id,
        )
        try:
            await owner.orders.stop(
                worker=self._worker.entry,
                task=run.task,
                run=run.run,
                token=owner.claim.token,
            )
        except WorkerUnreachableError:
            _log.info('stop of unknown run unanswered task=%s', run.task)

    def _placements(self) -> list[Placement]:
        found: list[Placement] = []
        for name, _ in list(self._worker.charges):
            task = self._owner.registry.task(name)
            placement = task.placement if task else None
            if placement and placement.worker == self._worker.entry.id:
                found.append(placement)
        return found

    def _drop_all_runs(self, why: str) -> None:
        for placement in self._placements():
            self._worker.lost_runs.append(placement)
            self._owner.handle_lost_run(placement, why=why)
        self._worker.release_all()

    def _check_progress(self, now: float) -> None:
        """Check from the progress of its runs whether the worker is healthy."""
        end_long_probe(self._worker, now)
        slowdowns: list[Slowdown] = []
        for placement in self._placements():
            step = self._owner.registry.step_of(placement.task)
            if step is None or placement.stopping:
                continue
            if placement.phase is Phase.RUNNING:
                self._clear_suspicion(placement, step, now)
                self._check_run(placement, step, now)
                found = measure_slowdown(
                    placement,
                    step.step,
                    now,
                    typical_s=self._owner.typical_s(step),
                )
                if found is not None:
                    slowdowns.append(found)
        self._check_slowdowns(slowdowns, now)

    def _check_slowdowns(self, slowdowns: list[Slowdown], now: float) -> None:
        """Quarantine a worker that slows several jobs, and move their runs."""
        if self._worker.probing:
            self._check_probe(slowdowns, now)
        if not several_jobs_slowed(slowdowns):
            return
        quarantine_worker(self._worker, now, why='slow')
        for found in slowdowns:
            step = self._owner.registry.step_of(found.placement.task)
            if step is not None and restart_ends_sooner(found):
                self._move_run(found.placement, step, 'slow worker')

    def _check_probe(self, slowdowns: list[Slowdown], now: float) -> None:
        """End the quarantine of a worker whose probe run isn't slowed down."""
        for found in slowdowns:
            placement = found.placement
            if (placement.task, placement.run) != self._worker.probe_run:
                continue
            if found.factor < SLOWDOWN_FACTOR:
                self._worker.note_success()
                self._owner.wake()
            else:
                quarantine_worker(self._worker, now, why='slow')

    def _clear_suspicion(
        self, placement: Placement, step: StepRun, now: float
    ) -> None:
        task = self._owner.registry.task(placement.task)
        if task is not None and clear(task, placement, now):
            self._owner.record_tasks(step, [task])

    def _check_run(
        self, placement: Placement, step: StepRun, now: float
    ) -> None:
        progress = classify_progress(
            placement, step.step, now, typical_s=self._owner.typical_s(step)
        )
        if progress is Progress.FINE:
            return
        quarantine_worker(self._worker, now, why=progress.value)
        stalled = progress is Progress.STALLED
        if stalled or restart_pays_off(placement, step.step, now):
            self._move_run(placement, step, progress.value)

    def _move_run(self, placement: Placement, step: StepRun, why: str) -> None:
        """Stop a run, with its gang, so that it continues on another worker."""
        _log.info(
            'moving task=%s run=%d worker=%s percent=%d why=%s',
            placement.task,
            placement.run,
            placement.worker,
            placement.percent,
            why,
        )
        task = self._owner.registry.task(placement.task)
        if task is not None:
            task.failed_on |= {placement.worker}
        self._stop_run(placement, step)

    def _stop_run(self, placement: Placement, step: StepRun) -> None:
        """Stop a run, with its gang."""
        members = step.placed if step.step.gang else [placement]
        for member in members:
            self._owner.stop_run(member)

    def _pace(self) -> None:
        """Slow best-effort runs while a serving task is close to its target."""
        readings: list[ServingReading] = []
        best_effort: list[Placement] = []
        for placement in self._placements():
            step = self._owner.registry.step_of(placement.task)
            if step is None or placement.phase is not Phase.RUNNING:
                continue
            if step.step.fills:
                best_effort.append(placement)
            elif step.step.serving_target_ms > 0:
                readings.append(_reading(placement, step))
        self._set_pace(best_effort, readings)

    def _set_pace(
        self, best_effort: list[Placement], readings: list[ServingReading]
    ) -> None:
        for placement in best_effort:
            wanted = next_pace(placement.pace, readings)
            if wanted == placement.pace:
                continue
            placement.pace = wanted
            if not placement.pacing:
                placement.pacing = True
                self._owner.nursery.start_soon(self._send_pace, placement)

    async def _send_pace(self, placement: Placement) -> None:
        """Order a run's newest pace until it is acknowledged or void.

        One order is sent at a time, so that an earlier pace isn't in transit
        beside a later one.
        """
        acknowledged: int | None = None
        while self._is_paced(placement) and placement.pace != acknowledged:
            percent = placement.pace
            if await self._order_pace(placement, percent):
                acknowledged = percent
            else:
                await trio.sleep(_RETRY_S)
        placement.pacing = False

    def _is_paced(self, placement: Placement) -> bool:
        task = self._owner.registry.task(placement.task)
        current = task is not None and task.placement is placement
        return current and not placement.stopping

    async def _order_pace(self, placement: Placement, percent: int) -> bool:
        """Order a run's pace once; return whether the worker answered."""
        owner = self._owner
        try:
            await owner.orders.pace(
                worker=self._worker.entry,
                task=placement.task,
                run=placement.run,
                percent=percent,
                token=owner.claim.token,
            )
        except WorkerUnreachableError:
            _log.info('pace unanswered task=%s', placement.task)
            return False
        return True

    def _evacuate(self) -> None:
        """Move runs that can't end in time from a draining worker."""
        worker = self._worker
        if worker.entry.state is not WorkerState.DRAINING:
            self._draining_since = None
            return
        now = trio.current_time()
        if self._draining_since is None:
            self._draining_since = now
        left_s = (
            self._draining_since
            + self._owner.timings.drain_s
            - now
            - _DRAIN_MARGIN_S
        )
        for placement in self._placements():
            if placement.phase is Phase.RUNNING:
                self._move_if_late(placement, left_s)

    def _move_if_late(self, placement: Placement, left_s: float) -> None:
        step = self._owner.registry.step_of(placement.task)
        if step is None or placement.stopping:
            return
        share = 1.0 - placement.percent / 100
        remaining_s = step.step.estimate_s * share
        if step.step.lasting or remaining_s > left_s:
            self._move_run(placement, step, 'its worker is draining')


def _may_have_crashed(placement: Placement, report: PollReport) -> bool:
    """Return whether a worker that restarted may have had an unanswered start.

    A run that the new incarnation lists from the only order to start it can't
    have begun in the earlier one.
    """
    if placement.phase is not Phase.STARTING or not placement.sent:
        return False
    return placement.unanswered > 0 or not _lists(report, placement)


def _lists(report: PollReport, placement: Placement) -> bool:
    """Return whether a worker lists a run or its end."""
    name = (placement.task, placement.run)
    return any(
        (one.task, one.run) == name for one in (*report.running, *report.ended)
    )


def _reading(placement: Placement, step: StepRun) -> ServingReading:
    return ServingReading(
        tail_ms=placement.reading, target_ms=step.step.serving_target_ms
    )
