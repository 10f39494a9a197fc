"""A stand-in for one worker, with its capacity, lease, slots and tasks."""

import enum
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.errors import WorkerRefusedError, WorkerUnreachableError
from cyclamentrack.ids import AttemptId, BootId, Epoch
from cyclamentrack.ports import (
    AttemptPhase,
    AttemptReport,
    FenceRequest,
    Instance,
    Lookup,
    StartCommand,
    Sync,
    SyncAnswer,
    Usage,
    Watch,
)
from cyclamentrack.resources import NO_RESOURCES, Resources
from cyclamentrack.work import Outcome
from cyclamentrack_standins.recorder import Recorder, task_of

# A watch waits this long after an end, to report several ends at once.
_WATCH_BATCH_S = 0.01
_USAGE_DELAY_S = 5.0
_LOOKUP_RUN_S = 0.004


class WorkerMode(enum.Enum):
    """How a worker behaves.

    ``FAILS_ALL`` lets every task fail shortly after its start; ``SILENT``
    makes every call raise ``WorkerUnreachableError``.
    """

    HEALTHY = 'healthy'
    FAILS_ALL = 'fails-all'
    SILENT = 'silent'


class _Attempt(msgspec.Struct, kw_only=True, eq=False):
    command: StartCommand
    phase: AttemptPhase
    scope: trio.CancelScope
    outcome: Outcome = Outcome.SUCCEEDED
    answer: str = ''
    sequence: int = 0
    started_at: float = 0
    throttled: bool = False


class StandinWorker:
    """Runs tasks by sleeping, and counts requests that break the protocol.

    Starts and lookups beyond its capacity are counted in the recorder,
    starts after it announced to leave in ``starts_after_leaving``.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        recorder: Recorder,
        nursery: trio.Nursery,
        real_run_s: Callable[[StartCommand], float] | None = None,
        real_use: Callable[[StartCommand], Resources] | None = None,
        usage_delay_s: float = _USAGE_DELAY_S,
        lease_s: float = defaults.WORKER_LEASE_S,
    ) -> None:
        """Create a worker that runs nothing.

        ``real_run_s`` returns how long a task takes, in seconds, and
        ``real_use`` the resources that it uses; both default to what the
        task declares. The usage of a task is reported only once it has run
        for ``usage_delay_s`` seconds.
        """
        self._real_use = real_use or _declared_use
        self._usage_delay_s = usage_delay_s
        self._checkpointed_s: dict[str, float] = {}
        self.instance = instance
        self.mode = WorkerMode.HEALTHY
        self.leaving = False
        self.starts_after_leaving = 0
        self._recorder = recorder
        self._nursery = nursery
        self._real_run_s = real_run_s or _declared_run_s
        self._lease_s = lease_s
        self._boot_count = 0
        self._reset()

    @property
    def used(self) -> Resources:
        """The resources that running tasks and lookups declare."""
        used = NO_RESOURCES
        for entry in self._attempts.values():
            if entry.phase is AttemptPhase.RUNNING:
                used = used.plus(entry.command.resources)
        for held in self._lookups.values():
            used = used.plus(held)
        return used

    @property
    def really_used(self) -> Resources:
        """The resources that running tasks really use."""
        used = NO_RESOURCES
        for entry in self._attempts.values():
            if entry.phase is AttemptPhase.RUNNING:
                used = used.plus(self._use(entry))
        return used

    def use_by(self, real_use: Callable[[StartCommand], Resources]) -> None:
        """Replace the function that returns what a task really uses."""
        self._real_use = real_use

    def reboot(self) -> None:
        """Restart under a new boot id.

        Stops all tasks, and forgets all attempts and the lease.
        """
        self._stop_all()
        self._reset()

    async def fence(self, fence: FenceRequest) -> SyncAnswer:
        """Refuse calls of older epochs from now on; report all attempts.

        Raises ``WorkerRefusedError`` for a request that isn't newer than
        the last one.
        """
        self._raise_if_silent()
        self._stop_if_lease_expired()
        if (fence.epoch, fence.number) <= (self._epoch, self._number):
            raise self._refusal(f'epoch {self._epoch} is in force')
        self._epoch = fence.epoch
        self._number = fence.number
        reports = [_report(entry) for entry in self._attempts.values()]
        return self._make_answer(reports)

    async def sync(self, sync: Sync) -> SyncAnswer:
        """Renew the lease and carry out the commands.

        Raises ``WorkerRefusedError`` for another epoch, an expired token or
        a number that isn't newer than the last one.
        """
        self._raise_if_silent()
        self._stop_if_lease_expired()
        self._check(sync.epoch, sync.token)
        if sync.number <= self._number:
            raise self._refusal(
                f'number {sync.number} is not newer than {self._number}',
            )
        self._number = sync.number
        self._lease_until = max(
            self._lease_until,
            sync.token + self._lease_s,
        )
        for attempt in sync.forgets:
            self._forget(attempt)
        reports = [self._start(command) for command in sync.starts]
        reports.extend(self._stop(attempt) for attempt in sync.stops)
        for attempt in sync.throttles:
            self._throttle(attempt)
        for attempt in sync.checkpoints:
            self._checkpoint(attempt)
        return msgspec.structs.replace(
            self._make_answer([one for one in reports if one is not None]),
            usages=self._usages(),
        )

    async def watch(self, watch: Watch) -> SyncAnswer:
        """Return the attempts that ended after the cursor.

        Waits up to ``wait_s`` seconds for the first one.
        """
        self._raise_if_silent()
        with trio.move_on_after(watch.wait_s):
            while self._sequence <= watch.cursor:
                await self._ended.wait()
            await trio.sleep(_WATCH_BATCH_S)
        self._raise_if_silent()
        if watch.epoch != self._epoch:
            raise self._refusal(f'epoch {self._epoch} is in force')
        return self._make_answer(
            [
                _report(entry)
                for entry in self._attempts.values()
                if entry.phase is AttemptPhase.ENDED
                and entry.sequence > watch.cursor
            ],
        )

    async def lookup(self, lookup: Lookup) -> str:
        """Run a lookup on a free slot and return its answer."""
        self._raise_if_silent()
        self._check(lookup.epoch, lookup.token)
        key = AttemptId(lookup.id)
        if key in self._barred:
            raise self._refusal(f'lookup {lookup.id} is barred')
        full = len(self._lookups) >= self.instance.slots
        if full or not self._has_capacity(lookup.resources):
            self._recorder.overcommits += 1
            raise self._refusal('no slot or not enough capacity is free')
        self._lookups[key] = lookup.resources
        try:
            await trio.sleep(_LOOKUP_RUN_S)
        finally:
            self._lookups.pop(key, None)
        self._raise_if_silent()
        self._recorder.lookups += 1
        return f'answer to {lookup.payload}'

    async def enforce_lease(self) -> None:
        """Stop all tasks whenever the lease has expired."""
        while True:
            await trio.sleep(self._lease_s / 10)
            self._stop_if_lease_expired()

    def _reset(self) -> None:
        self._boot_count += 1
        self._boot = BootId(f'{self.instance.id}-{self._boot_count}')
        self._epoch = Epoch(0)
        self._number = 0
        self._lease_until = float('-inf')
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._barred: set[AttemptId] = set()
        self._lookups: dict[AttemptId, Resources] = {}
        self._sequence = 0
        self._ended = trio.Event()

    def _raise_if_silent(self) -> None:
        if self.mode is WorkerMode.SILENT:
            raise WorkerUnreachableError(worker=self.instance.id)

    def _check(self, epoch: Epoch, token: float) -> None:
        """Refuse a call of another epoch or with an expired token."""
        if epoch != self._epoch:
            raise self._refusal(f'epoch {self._epoch} is in force')
        if trio.current_time() - token > self._lease_s:
            raise self._refusal('the token has expired')

    def _refusal(self, reason: str) -> WorkerRefusedError:
        return WorkerRefusedError(worker=self.instance.id, reason=reason)

    def _make_answer(self, reports: list[AttemptReport]) -> SyncAnswer:
        return SyncAnswer(
            boot=self._boot,
            token=trio.current_time(),
            cursor=self._sequence,
            reports=reports,
            leaving=self.leaving,
        )

    def _start(self, command: StartCommand) -> AttemptReport | None:
        known = self._attempts.get(command.attempt)
        if known is not None:
            return _report(known)
        if command.attempt in self._barred:
            return _report_never_started(command.attempt, AttemptPhase.BARRED)
        if self.leaving:
            self.starts_after_leaving += 1
            return _report_never_started(command.attempt, AttemptPhase.REFUSED)
        if not self._has_capacity(command.resources):
            self._recorder.overcommits += 1
            return _report_never_started(command.attempt, AttemptPhase.REFUSED)
        entry = _Attempt(
            command=command,
            phase=AttemptPhase.RUNNING,
            scope=trio.CancelScope(),
            started_at=trio.current_time(),
        )
        self._attempts[command.attempt] = entry
        self._recorder.started(self.instance.id, command.attempt)
        self._nursery.start_soon(self._execute, entry)
        return None

    async def _execute(self, entry: _Attempt) -> None:
        with entry.scope:
            if self.mode is WorkerMode.FAILS_ALL:
                await trio.sleep(_LOOKUP_RUN_S)
                self._end(entry, Outcome.FAILED, 'exit status 1')
                return
            checkpointed_s = self._checkpointed_s.pop(
                task_of(entry.command.attempt), 0
            )
            left_s = self._real_run_s(entry.command) - checkpointed_s
            await trio.sleep(max(left_s, 0))
            failed = entry.command.payload.startswith('fail')
            outcome = Outcome.FAILED if failed else Outcome.SUCCEEDED
            self._end(entry, outcome, f'done {entry.command.attempt}')

    def _stop(self, attempt: AttemptId) -> AttemptReport:
        known = self._attempts.get(attempt)
        if known is None:
            if attempt in self._lookups:
                return AttemptReport(
                    attempt=attempt,
                    phase=AttemptPhase.RUNNING,
                    resources=self._lookups[attempt],
                )
            self._barred.add(attempt)
            return _report_never_started(attempt, AttemptPhase.BARRED)
        if known.phase is AttemptPhase.RUNNING:
            self._end(known, Outcome.STOPPED, 'stopped')
        return _report(known)

    def _end(self, entry: _Attempt, outcome: Outcome, answer: str) -> None:
        if entry.phase is not AttemptPhase.RUNNING:
            return
        entry.phase = AttemptPhase.ENDED
        entry.outcome = outcome
        entry.answer = answer
        self._sequence += 1
        entry.sequence = self._sequence
        entry.scope.cancel()
        self._recorder.ended(
            self.instance.id,
            entry.command.attempt,
            completed=outcome is Outcome.SUCCEEDED,
        )
        self._ended.set()
        self._ended = trio.Event()

    def _throttle(self, attempt: AttemptId) -> None:
        known = self._attempts.get(attempt)
        if known is not None:
            known.throttled = True

    def _checkpoint(self, attempt: AttemptId) -> None:
        """Save how long an attempt has run; the task's next one runs less."""
        known = self._attempts.get(attempt)
        if known is not None and known.phase is AttemptPhase.RUNNING:
            run_s = trio.current_time() - known.started_at
            self._checkpointed_s[task_of(attempt)] = run_s

    def _usages(self) -> list[Usage]:
        """Return the usage of attempts that have run long enough."""
        latest_start = trio.current_time() - self._usage_delay_s
        return [
            Usage(attempt=attempt, used=self._use(entry))
            for attempt, entry in self._attempts.items()
            if entry.phase is AttemptPhase.RUNNING
            and entry.started_at <= latest_start
        ]

    def _use(self, entry: _Attempt) -> Resources:
        """Return what an attempt uses: its declaration once throttled."""
        if entry.throttled:
            return entry.command.resources
        return self._real_use(entry.command)

    def _forget(self, attempt: AttemptId) -> None:
        known = self._attempts.get(attempt)
        if known is not None and known.phase is AttemptPhase.ENDED:
            self._attempts.pop(attempt)

    def _stop_if_lease_expired(self) -> None:
        if trio.current_time() >= self._lease_until:
            self._stop_all()

    def _stop_all(self) -> None:
        for entry in self._attempts.values():
            self._end(entry, Outcome.STOPPED, 'the lease expired')

    def _has_capacity(self, need: Resources) -> bool:
        return self.used.plus(need).fits(self.instance.capacity)


def _declared_use(command: StartCommand) -> Resources:
    return command.resources


def _declared_run_s(command: StartCommand) -> float:
    return command.run_s


def _report(entry: _Attempt) -> AttemptReport:
    return AttemptReport(
        attempt=entry.command.attempt,
        phase=entry.phase,
        resources=entry.command.resources,
        outcome=entry.outcome,
        answer=entry.answer,
    )


def _report_never_started(
    attempt: AttemptId, phase: AttemptPhase
) -> AttemptReport:
    return AttemptReport(
        attempt=attempt,
        phase=phase,
        resources=NO_RESOURCES,
        outcome=Outcome.NEVER,
    )
