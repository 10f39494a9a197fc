"""The connection to one worker: fencing, lease, commands and reports.

One task per worker sends commands and renews the lease. A second one waits
for ends while attempts run there. Each exchange carries an increasing number
and the worker's own time stamp, so that a delayed message has no effect.
"""

import enum
import logging
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.errors import WorkerRefusedError, WorkerUnreachableError
from cyclamentrack.ids import AttemptId, BootId, DaemonId, Epoch
from cyclamentrack.ports import (
    AttemptReport,
    FenceRequest,
    Instance,
    InstanceState,
    Lookup,
    StartCommand,
    Sync,
    SyncAnswer,
    Usage,
    Watch,
    Workers,
)
from cyclamentrack.store import Backoff

_log = logging.getLogger(__name__)


class UpstreamState(enum.Enum):
    """The owner's knowledge of a worker.

    ``UNFENCED``: this owner hasn't fenced it yet, or must do so again; all
    its capacity counts as used. ``UNREACHABLE``: it was fenced and doesn't
    answer. ``LOST``: its lease has certainly expired, so nothing runs there.
    """

    UNFENCED = 'unsealed'
    READY = 'ready'
    UNREACHABLE = 'silent'
    LOST = 'lost'


class UpstreamEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Callbacks to the owner of a worker.

    ``fenced`` gets the worker's full report after fencing, ``reported`` gets
    the reports of each exchange, and ``used`` gets the measured usage of
    attempts. ``state_changed`` is called after each change of state.
    """

    fenced: Callable[['Upstream', list[AttemptReport]], None]
    reported: Callable[['Upstream', list[AttemptReport]], None]
    used: Callable[['Upstream', list[Usage]], None]
    state_changed: Callable[['Upstream'], None]


class Upstream:
    """The owner's connection to one worker."""

    def __init__(
        self,
        *,
        workers: Workers,
        instance: Instance,
        epoch: Epoch,
        owner: DaemonId,
        events: UpstreamEvents,
        lost_after_s: float,
        may_renew: Callable[[], bool],
    ) -> None:
        """Start unfenced; without an answer the state becomes lost.

        That is after ``lost_after_s``, counted from now. Nothing is sent
        while ``may_renew`` returns false: the successor of a daemon that has
        long been without a lease relies on that daemon not to renew leases of
        workers.
        """
        self._may_renew = may_renew
        self._workers = workers
        self._epoch = epoch
        self._owner = owner
        self._events = events
        self._number = 0
        self._token = 0.0
        self._cursor = 0
        self._lease_expires_at = trio.current_time() + lost_after_s
        self._starts: dict[AttemptId, StartCommand] = {}
        self._stops: dict[AttemptId, None] = {}
        self._forgets: dict[AttemptId, None] = {}
        self._throttles: dict[AttemptId, None] = {}
        self._wake = trio.Event()
        self._busy = trio.Event()
        self._running = 0
        self._scope = trio.CancelScope()
        self._backoff = Backoff()
        self.instance = instance
        self.state = UpstreamState.UNFENCED
        self.boot = BootId('')
        self.leaving = instance.state is InstanceState.LEAVING

    @property
    def open(self) -> bool:
        """Whether new work may be placed on the worker."""
        return self.state is UpstreamState.READY and not self.leaving

    @property
    def epoch(self) -> Epoch:
        """The epoch that this daemon's messages to the worker carry."""
        return self._epoch

    def start(self, command: StartCommand) -> None:
        """Start an attempt; the command is sent at once."""
        self._starts[command.attempt] = command
        self._wake.set()

    def stop(self, attempt: AttemptId) -> None:
        """Stop an attempt, or bar it from starting; sent at once."""
        self._starts.pop(attempt, None)
        self._stops[attempt] = None
        self._wake.set()

    def forget(self, attempt: AttemptId) -> None:
        """Let the worker drop a recorded end; sent with the next exchange."""
        self._forgets[attempt] = None

    def throttle(self, attempt: AttemptId) -> None:
        """Throttle an attempt to its granted resources; sent at once."""
        self._throttles[attempt] = None
        self._wake.set()

    def update_running(self, count: int) -> None:
        """Set the number of running attempts; their ends are watched."""
        self._running = count
        if count:
            self._busy.set()
        elif self._busy.is_set():
            self._busy = trio.Event()

    async def lookup(self, *, key: str, need: Lookup, timeout_s: float) -> str:
        """Run a lookup and return its answer.

        Raises ``WorkerUnreachableError`` without an answer in ``timeout_s``.
        """
        stamped = msgspec.structs.replace(
            need,
            id=key,
            epoch=self._epoch,
            token=self._token,
        )
        with trio.move_on_after(timeout_s):
            return await self._workers.lookup(
                instance=self.instance,
                lookup=stamped,
            )
        raise WorkerUnreachableError(worker=self.instance.id)

    async def run(self) -> None:
        """Exchange messages with the worker until closed."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._command_forever)
                nursery.start_soon(self._watch_forever)

    def close(self) -> None:
        """Close the connection; a successor fences the worker."""
        self._scope.cancel()

    async def _command_forever(self) -> None:
        while True:
            if self.state is UpstreamState.READY:
                with trio.move_on_after(defaults.WORKER_HEARTBEAT_S):
                    await self._wake.wait()
            if self._may_renew():
                await self._exchange()
            else:
                await trio.sleep(defaults.WORKER_HEARTBEAT_S)

    async def _exchange(self) -> None:
        self._wake = trio.Event()
        is_fenced = self.state is UpstreamState.READY
        try:
            with trio.fail_after(defaults.WORKER_CALL_TIMEOUT_S):
                if is_fenced:
                    await self._sync()
                else:
                    await self._fence()
        except (WorkerUnreachableError, trio.TooSlowError):
            self._handle_unreachable()
            await self._backoff.sleep()
        except WorkerRefusedError as refused:
            _log.info('%s', refused)
            self._set_state(UpstreamState.UNFENCED)
            await trio.sleep(defaults.WORKER_HEARTBEAT_S)

    async def _fence(self) -> None:
        self._number += 1
        answer = await self._workers.fence(
            instance=self.instance,
            fence=FenceRequest(
                epoch=self._epoch,
                owner=self._owner,
                number=self._number,
            ),
        )
        self.boot = answer.boot
        self._cursor = answer.cursor
        self._record_answer(answer)
        self._backoff.reset()
        self.state = UpstreamState.READY
        self._events.fenced(self, answer.reports)
        self._events.state_changed(self)

    async def _sync(self) -> None:
        batch = defaults.WORKER_SYNC_BATCH
        self._number += 1
        starts = list(self._starts.values())[:batch]
        stops = list(self._stops)[:batch]
        forgets = list(self._forgets)[:batch]
        throttles = list(self._throttles)[:batch]
        answer = await self._workers.sync(
            instance=self.instance,
            sync=Sync(
                epoch=self._epoch,
                owner=self._owner,
                number=self._number,
                token=self._token,
                starts=starts,
                stops=stops,
                forgets=forgets,
                throttles=throttles,
            ),
        )
        for command in starts:
            self._starts.pop(command.attempt, None)
        _discard(self._stops, stops)
        _discard(self._forgets, forgets)
        _discard(self._throttles, throttles)
        self._handle_sync(answer)
        if self._starts or self._stops:
            self._wake.set()

    async def _watch_forever(self) -> None:
        """Fetch ends as they happen, while any attempt runs."""
        while True:
            await self._busy.wait()
            if self.state is not UpstreamState.READY:
                await trio.sleep(defaults.WORKER_HEARTBEAT_S)
                continue
            try:
                await self._watch()
            except (
                WorkerUnreachableError,
                WorkerRefusedError,
                trio.TooSlowError,
            ):
                await trio.sleep(defaults.TABLE_RETRY_MIN_S)

    async def _watch(self) -> None:
        timeout_s = defaults.WORKER_WATCH_S + defaults.WORKER_CALL_TIMEOUT_S
        with trio.fail_after(timeout_s):
            answer = await self._workers.watch(
                instance=self.instance,
                watch=Watch(
                    epoch=self._epoch,
                    cursor=self._cursor,
                    wait_s=defaults.WORKER_WATCH_S,
                ),
            )
        if self.state is UpstreamState.READY and answer.boot == self.boot:
            self._cursor = answer.cursor
            self._events.reported(self, answer.reports)

    def _handle_sync(self, answer: SyncAnswer) -> None:
        if answer.boot != self.boot:
            self._set_state(UpstreamState.UNFENCED)
            return
        self._record_answer(answer)
        self._events.reported(self, answer.reports)
        if answer.usages:
            self._events.used(self, answer.usages)

    def _record_answer(self, answer: SyncAnswer) -> None:
        self._token = answer.token
        self._lease_expires_at = (
            trio.current_time()
            + defaults.WORKER_LEASE_S
            + defaults.WORKER_LEASE_MARGIN_S
        )
        if answer.leaving and not self.leaving:
            self.leaving = True
            self._events.state_changed(self)

    def _handle_unreachable(self) -> None:
        if trio.current_time() >= self._lease_expires_at:
            self._set_state(UpstreamState.LOST)
        elif self.state is UpstreamState.READY:
            self._set_state(UpstreamState.UNREACHABLE)

    def _set_state(self, state: UpstreamState) -> None:
        if state is self.state:
            return
        _log.info('worker %s is %s', self.instance.id, state.value)
        if state is not UpstreamState.READY:
            self._starts.clear()
        self.state = state
        self._events.state_changed(self)


def _discard(commands: dict[AttemptId, None], sent: list[AttemptId]) -> None:
    for attempt in sent:
        commands.pop(attempt, None)
