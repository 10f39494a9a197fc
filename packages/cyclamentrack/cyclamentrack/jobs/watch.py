"""Holding one worker: its lease, what it runs, and the ends that it lists."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from cyclamentrack.errors import WorkerUnreachableError
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.model import TaskName, WorkerState
from cyclamentrack.jobs.pacing import ServingReading, next_pace
from cyclamentrack.jobs.polling import first_share, look_wait_s
from cyclamentrack.jobs.ports import PollOrder, PollReport, RunReport
from cyclamentrack.jobs.registry import Phase, Placement, StepRun
from cyclamentrack.jobs.worker_health import (
    SLOWDOWN_FACTOR,
    Progress,
    Slowdown,
    classify_progress,
    measure_slowdown,
    quarantine_worker,
    restart_ends_sooner,
    restart_pays_off,
    several_jobs_slowed,
)

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import SliceOwner

_log = logging.getLogger(__name__)

# Ends that follow within this time share one look, since each is priced.
_ENDS_GAP_S = 0.02
# Workers answer within some milliseconds of an end or of the wait.
_HOLD_ANSWER_S = 0.35
_LONGEST_ANSWER_S = 0.8
_SILENT_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.2
# Looks that go unanswered may be carried out late; from so many on they don't
# extend the lease, or it would never be certain to have ended.
_UNANSWERED_LOOKS = 2
# While ends can't be kept, looks return at once; they are spaced so.
_UNKEPT_PAUSE_S = 0.3
# The journal may take so long before the next look is due all the same.
_KEEP_WAIT_S = 0.5
# A run that is to end sooner than its worker may leave is let be.
_DRAIN_MARGIN_S = 0.4


class WorkerWatch:
    """One worker under this owner's claim."""

    def __init__(
        self,
        *,
        owner: SliceOwner,
        worker: Worker,
        greeting: trio.CapacityLimiter,
    ) -> None:
        """Hold nothing before ``run``."""
        self._owner = owner
        self._worker = worker
        self._greeting = greeting
        self._draining_since: float | None = None
        self._unanswered = 0
        self._wait_share = first_share(worker.entry.id)

    async def run(self) -> None:
        """Hold the worker until it is gone for certain."""
        async with self._greeting:
            sent_at = trio.current_time()
            report = await self._look(sent_at)
        await self._take(report, sent_at)
        while not self._worker.retired:
            sent_at = trio.current_time()
            report = await self._look(sent_at)
            await self._take(report, sent_at)

    async def _look(self, sent_at: float) -> PollReport | None:
        try:
            return await self._hold(sent_at)
        except WorkerUnreachableError:
            return None

    async def _take(self, report: PollReport | None, sent_at: float) -> None:
        if report is None:
            await self._take_silence()
        else:
            await self._take_in(report, sent_at)

    async def _hold(self, sent_at: float) -> PollReport:
        owner = self._owner
        worker = self._worker
        lease = worker.lease_until_ms(
            now=sent_at, lease_s=owner.timings.worker_lease_s
        )
        if self._unanswered >= _UNANSWERED_LOOKS:
            lease = None
        if lease is not None:
            worker.lease_sent_at = sent_at
        silent = self._unanswered > 0
        return await owner.orders.poll(
            worker=worker.entry,
            order=PollOrder(
                token=owner.claim.token,
                acknowledged=worker.acknowledged,
                lease_until_ms=lease,
                wait_s=self._wait_s(sent_at),
                answer_s=_LONGEST_ANSWER_S if silent else _HOLD_ANSWER_S,
            ),
        )

    def _wait_s(self, now: float) -> float:
        if not self._worker.contacted:
            return 0.0
        fleet = self._owner.fleet
        wait_s = look_wait_s(
            workers=fleet.listed, troubled=fleet.in_trouble(now)
        )
        share = self._wait_share
        self._wait_share = 1.0
        return wait_s * share

    async def _take_silence(self) -> None:
        worker = self._worker
        now = trio.current_time()
        if not self._unanswered:
            self._owner.fleet.note_unanswered(now)
        self._unanswered += 1
        if worker.lapsed(now=now, lease_s=self._owner.timings.worker_lease_s):
            self._lose_all('its lease has lapsed')
            worker.clock_ms = None
            if not worker.listed:
                worker.retired = True
                _log.info('worker retired worker=%s', worker.entry.id)
        again = self._unanswered > 1
        await trio.sleep(_LONGEST_PAUSE_S if again else _SILENT_PAUSE_S)

    async def _take_in(self, report: PollReport, sent_at: float) -> None:
        worker = self._worker
        now = trio.current_time()
        if report.incarnation != worker.incarnation:
            self._take_new_life(report)
        worker.record_clock(clock_ms=report.clock_ms, now=now)
        self._unanswered = 0
        self._take_runs(report, sent_at)
        newest = worker.acknowledged
        for end in report.ended:
            if end.number > worker.acknowledged:
                self._owner.run_ended(worker, end)
                newest = max(newest, end.number)
        if not worker.contacted:
            worker.contacted = True
            self._owner.wake()
        self._pace()
        self._judge_progress(now)
        self._evacuate()
        if newest > worker.acknowledged:
            await self._acknowledge(newest)
            await trio.sleep(_ENDS_GAP_S)

    async def _acknowledge(self, newest: int) -> None:
        """Acknowledge ends once what they changed is kept."""
        incarnation = self._worker.incarnation
        with trio.move_on_after(_KEEP_WAIT_S):
            await self._owner.journal.flushed()
            if self._worker.incarnation == incarnation:
                self._worker.acknowledged = newest
            return
        await trio.sleep(_UNKEPT_PAUSE_S)

    def _take_new_life(self, report: PollReport) -> None:
        """Drop what an earlier life of the worker ran."""
        worker = self._worker
        worker.incarnation = report.incarnation
        worker.acknowledged = 0
        for placement in self._placements():
            if placement.incarnation != report.incarnation:
                self._owner.run_lost(placement, why='its worker began anew')
        worker.failures = 0

    def _take_runs(self, report: PollReport, sent_at: float) -> None:
        seen: set[tuple[TaskName, int]] = set()
        self._worker.unknown_runs = 0
        for run in report.running:
            seen.add((run.task, run.run))
            self._take_run(run)
        seen.update((end.task, end.run) for end in report.ended)
        for placement in self._placements():
            if (placement.task, placement.run) in seen:
                continue
            if self._is_missing(placement, sent_at):
                self._owner.run_lost(placement, why='its worker lacks it')

    def _is_missing(self, placement: Placement, sent_at: float) -> bool:
        """Tell whether a run that isn't listed can't come any more.

        A first look under a new token refuses what the former owner may
        still have under way.
        """
        if not self._worker.contacted:
            return True
        if placement.stopping:
            return 0 < placement.stop_acknowledged_at < sent_at
        return (
            placement.phase is Phase.RUNNING
            and placement.confirmed_at < sent_at
        )

    def _take_run(self, run: RunReport) -> None:
        task = self._owner.registry.task(run.task)
        placement = task.placement if task else None
        ours = (
            placement is not None
            and placement.run == run.run
            and placement.worker == self._worker.entry.id
        )
        if task is None or placement is None or not ours:
            self._worker.unknown_runs += 1
            self._owner.nursery.start_soon(self._stop_stray, run)
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
            self._owner.registry.save(run.task, run.checkpoint)

    async def _stop_stray(self, run: RunReport) -> None:
        owner = self._owner
        _log.info(
            'stray run task=%s run=%d worker=%s',
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
            _log.info('stop of a stray run unanswered task=%s', run.task)

    def _placements(self) -> list[Placement]:
        found: list[Placement] = []
        for name, _ in list(self._worker.charges):
            task = self._owner.registry.task(name)
            placement = task.placement if task else None
            if placement and placement.worker == self._worker.entry.id:
                found.append(placement)
        return found

    def _lose_all(self, why: str) -> None:
        for placement in self._placements():
            self._owner.run_lost(placement, why=why)
        self._worker.release_all()

    def _judge_progress(self, now: float) -> None:
        """Find out from the runs whether the worker is sick."""
        lags: list[Slowdown] = []
        for placement in self._placements():
            step = self._owner.registry.step_of(placement.task)
            if step is None or placement.stopping:
                continue
            if placement.phase is Phase.RUNNING:
                self._judge_run(placement, step, now)
                found = measure_slowdown(
                    placement,
                    step.step,
                    now,
                    typical_s=self._owner.typical_s(step),
                )
                if found is not None:
                    lags.append(found)
        self._judge_lags(lags, now)

    def _judge_lags(self, lags: list[Slowdown], now: float) -> None:
        """Leave a worker alone on which all runs lag, and move these."""
        if self._worker.probing:
            self._judge_trial(lags, now)
        if not several_jobs_slowed(lags):
            return
        quarantine_worker(self._worker, now, why='slow')
        for found in lags:
            step = self._owner.registry.step_of(found.placement.task)
            if step is not None and restart_ends_sooner(found):
                self._move(found.placement, step, 'slow worker')

    def _judge_trial(self, lags: list[Slowdown], now: float) -> None:
        """Take a worker back whose run on trial keeps step."""
        for found in lags:
            placement = found.placement
            if (placement.task, placement.run) != self._worker.probe_run:
                continue
            if found.factor < SLOWDOWN_FACTOR:
                self._worker.note_success()
                self._owner.wake()
            else:
                quarantine_worker(self._worker, now, why='slow')

    def _judge_run(
        self, placement: Placement, step: StepRun, now: float
    ) -> None:
        progress = classify_progress(
            placement, step.step, now, typical_s=self._owner.typical_s(step)
        )
        if progress is Progress.FINE:
            return
        quarantine_worker(self._worker, now, why=progress.value)
        still = progress is Progress.STALLED
        if still or restart_pays_off(placement, step.step, now):
            self._move(placement, step, progress.value)

    def _move(self, placement: Placement, step: StepRun, why: str) -> None:
        """Stop a run, with its gang, so that it goes on elsewhere."""
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
            task.failed_on.add(placement.worker)
        members = step.placed if step.step.gang else [placement]
        for member in members:
            self._owner.stop_run(member)

    def _pace(self) -> None:
        """Slow filling runs beside serving ones that near their target."""
        readings: list[ServingReading] = []
        fillers: list[Placement] = []
        for placement in self._placements():
            step = self._owner.registry.step_of(placement.task)
            if step is None or placement.phase is not Phase.RUNNING:
                continue
            if step.step.fills:
                fillers.append(placement)
            elif step.step.serving_target_ms > 0:
                readings.append(_reading(placement, step))
        self._set_pace(fillers, readings)

    def _set_pace(
        self, fillers: list[Placement], readings: list[ServingReading]
    ) -> None:
        for placement in fillers:
            wanted = next_pace(placement.pace, readings)
            if wanted != placement.pace:
                placement.pace = wanted
                self._owner.nursery.start_soon(self._send_pace, placement)

    async def _send_pace(self, placement: Placement) -> None:
        owner = self._owner
        try:
            await owner.orders.pace(
                worker=self._worker.entry,
                task=placement.task,
                run=placement.run,
                percent=placement.pace,
                token=owner.claim.token,
            )
        except WorkerUnreachableError:
            _log.info('pace unanswered task=%s', placement.task)

    def _evacuate(self) -> None:
        """Move from a worker that leaves what can't end there in time."""
        worker = self._worker
        if worker.entry.state is not WorkerState.DRAINING:
            self._draining_since = None
            return
        now = trio.current_time()
        if self._draining_since is None:
            self._draining_since = now
        left = (
            self._draining_since
            + self._owner.timings.drain_s
            - now
            - _DRAIN_MARGIN_S
        )
        for placement in self._placements():
            if placement.phase is Phase.RUNNING:
                self._move_if_late(placement, left)

    def _move_if_late(self, placement: Placement, left_s: float) -> None:
        step = self._owner.registry.step_of(placement.task)
        if step is None or placement.stopping:
            return
        share = 1.0 - placement.percent / 100
        rest = step.step.estimate_s * share
        if step.step.lasting or rest > left_s:
            self._move(placement, step, 'its worker leaves')


def _reading(placement: Placement, step: StepRun) -> ServingReading:
    return ServingReading(
        tail_ms=placement.reading, target_ms=step.step.serving_target_ms
    )
