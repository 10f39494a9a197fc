"""Model of ownership, fencing and dispatch of one task, as a state machine.

Two daemons and two workers share one task. A daemon may pause at any point
(no transition is forced), crash, and take over from the other at any moment,
since safety must not depend on when the expiry of a lease is noticed. The
network may deliver commits and starts late or never, and a commit's reply may
be lost. The first worker may become unreachable; later its lease expires,
which ends its task.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

_DAEMONS = (0, 1)
_WORKERS = (0, 1)
_LAST_EPOCH = 3
_LAST_ATTEMPT = 3


class Guard(enum.Enum):
    """Guards of the protocol; a variant of the model lacks one of them."""

    CONDITIONAL_COMMIT = "a commit requires the daemon's own ownership row"
    FENCE = 'a worker refuses starts of older epochs'
    INTENT_FIRST = 'the intent is recorded before the start is sent'
    LEASE_WAIT = 'an unreachable worker is given up after its lease expired'


class Step(enum.IntEnum):
    """Where a daemon is in its handling of the task."""

    NOT_OWNER = 0
    RECOVERED = 1
    COMMITTING = 2
    COMMITTED = 3
    STARTED = 4
    ENDED = 5


class Record(enum.IntEnum):
    """The journal's state of the task's latest attempt."""

    ACCEPTED = 0
    INTENT = 1
    ENDED = 2
    CANCELLED = 3


class Commit(NamedTuple):
    """A commit in transit to the table service."""

    epoch: int
    attempt: int
    worker: int


class Start(NamedTuple):
    """A start in transit to a worker."""

    epoch: int
    worker: int
    attempt: int


class Daemon(NamedTuple):
    """One daemon: its step, its epoch and the attempt it handles."""

    step: Step = Step.NOT_OWNER
    epoch: int = 0
    attempt: int = 0
    worker: int = 0
    alive: bool = True


class Worker(NamedTuple):
    """One worker: the epoch it obeys, and whether the task runs there.

    ``lapsed`` means that its lease has expired.
    """

    epoch: int = 0
    running: bool = False
    lapsed: bool = False
    reachable: bool = True


class State(NamedTuple):
    """The state of the whole system.

    ``worker_given_up`` is set when the task is placed again although its
    former attempt may have run; ``reported_not_run`` when the caller is told
    that the task didn't run.
    """

    daemons: tuple[Daemon, ...] = (Daemon(), Daemon())
    workers: tuple[Worker, ...] = (Worker(), Worker())
    epoch: int = 0
    record: Record = Record.ACCEPTED
    attempt: int = 0
    placed_on: int = 0
    commits: frozenset[Commit] = frozenset()
    starts: frozenset[Start] = frozenset()
    start_count: int = 0
    attempts_run: frozenset[int] = frozenset()
    worker_given_up: bool = False
    reported_not_run: bool = False


Transitions = Iterator[tuple[str, State]]


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The protocol's transitions for one kind of task.

    Guards in ``without`` are left out.
    """

    idempotent: bool
    without: frozenset[Guard] = frozenset()

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all transitions from a state, each with its name."""
        found: list[tuple[str, State]] = []
        for daemon_index in _DAEMONS:
            found.extend(self._daemon_transitions(state, daemon_index))
        found.extend(self._network_transitions(state))
        found.extend(_worker_transitions(state))
        return found

    def _enforces(self, guard: Guard) -> bool:
        return guard not in self.without

    # Daemons

    def _daemon_transitions(
        self, state: State, daemon_index: int
    ) -> Transitions:
        daemon = state.daemons[daemon_index]
        if not daemon.alive and daemon.step is Step.NOT_OWNER:
            return
        match daemon.step:
            case Step.NOT_OWNER:
                yield from _take_over(state, daemon_index)
            case Step.RECOVERED:
                yield from self._recovered_transitions(state, daemon_index)
            case Step.COMMITTING:
                yield from self._committing_transitions(state, daemon_index)
            case Step.COMMITTED:
                yield (
                    f'{daemon_index} sends the start',
                    _send_start(state, daemon_index),
                )
            case Step.STARTED:
                yield from _record_end(state, daemon_index)
        if daemon.step is not Step.NOT_OWNER:
            yield (
                f'{daemon_index} crashes',
                _with_daemon(state, daemon_index, Daemon(alive=False)),
            )

    def _recovered_transitions(
        self, state: State, daemon_index: int
    ) -> Transitions:
        """Place or cancel an accepted task, or resolve a recorded intent."""
        daemon = state.daemons[daemon_index]
        if state.record is Record.ACCEPTED:
            for worker in _WORKERS:
                yield from self._place(state, daemon_index, worker)
            if self._may_commit(state, daemon.epoch):
                yield f'{daemon_index} cancels', _cancel(state)
        if state.record is Record.INTENT:
            yield from self._resolve(state, daemon_index, daemon)

    def _resolve(
        self, state: State, daemon_index: int, daemon: Daemon
    ) -> Transitions:
        """Resolve the intent of a former owner.

        Fences a reachable worker and asks it; waits for the lease of an
        unreachable one.
        """
        index = state.placed_on
        worker = state.workers[index]
        if worker.reachable:
            fenced = self._fence(state, index, daemon.epoch)
            if worker.running:
                adopted = daemon._replace(step=Step.STARTED, worker=index)
                yield (
                    f'{daemon_index} adopts',
                    _with_daemon(fenced, daemon_index, adopted),
                )
            elif state.attempt not in state.attempts_run:
                yield (
                    f'{daemon_index} learns that it never started',
                    self._make_placeable(fenced, daemon),
                )
            return
        if worker.lapsed or not self._enforces(Guard.LEASE_WAIT):
            if self.idempotent:
                placeable = self._make_placeable(state, daemon)
                yield (
                    f'{daemon_index} gives up the worker',
                    placeable._replace(worker_given_up=True),
                )
            elif self._may_commit(state, daemon.epoch):
                ended = state._replace(record=Record.ENDED)
                yield f'{daemon_index} records an unknown outcome', ended

    def _make_placeable(self, state: State, daemon: Daemon) -> State:
        """Let the task be placed again under the next attempt number."""
        if not self._may_commit(state, daemon.epoch):
            return state
        return state._replace(record=Record.ACCEPTED)

    def _place(
        self, state: State, daemon_index: int, worker: int
    ) -> Transitions:
        daemon = state.daemons[daemon_index]
        number = state.attempt + 1
        if number > _LAST_ATTEMPT or not state.workers[worker].reachable:
            return
        fenced = self._fence(state, worker, daemon.epoch)
        if fenced.workers[worker].epoch > daemon.epoch:
            return
        commit = Commit(daemon.epoch, number, worker)
        chosen = daemon._replace(
            step=Step.COMMITTING, attempt=number, worker=worker
        )
        sent = _with_daemon(fenced, daemon_index, chosen)
        yield (
            f'{daemon_index} sends the intent',
            sent._replace(commits=sent.commits | {commit}),
        )

    def _committing_transitions(
        self, state: State, daemon_index: int
    ) -> Transitions:
        """Read whether the commit took effect, or start without the guard."""
        daemon = state.daemons[daemon_index]
        on_record = (
            state.record is Record.INTENT
            and state.attempt == daemon.attempt
            and state.placed_on == daemon.worker
        )
        if on_record:
            known = _with_daemon(
                state, daemon_index, daemon._replace(step=Step.COMMITTED)
            )
            yield f'{daemon_index} knows the commit', known
        if not self._enforces(Guard.INTENT_FIRST):
            yield (
                f'{daemon_index} starts early',
                _send_start(state, daemon_index),
            )

    def _may_commit(self, state: State, epoch: int) -> bool:
        if not self._enforces(Guard.CONDITIONAL_COMMIT):
            return True
        return epoch == state.epoch

    # Network

    def _network_transitions(self, state: State) -> Transitions:
        for commit in state.commits:
            remaining = state._replace(commits=state.commits - {commit})
            yield 'a commit is lost', remaining
            if self._takes_effect(state, commit):
                yield (
                    'a commit takes effect',
                    remaining._replace(
                        record=Record.INTENT,
                        attempt=commit.attempt,
                        placed_on=commit.worker,
                    ),
                )
        for start in state.starts:
            remaining = state._replace(starts=state.starts - {start})
            yield 'a start is lost', remaining
            if self._is_obeyed(state, start):
                yield 'a start arrives', _start_run(remaining, start)

    def _takes_effect(self, state: State, commit: Commit) -> bool:
        if state.record is not Record.ACCEPTED:
            return not self._enforces(Guard.CONDITIONAL_COMMIT)
        return self._may_commit(state, commit.epoch)

    def _is_obeyed(self, state: State, start: Start) -> bool:
        worker = state.workers[start.worker]
        if worker.lapsed:
            return False
        return start.epoch == worker.epoch or not self._enforces(Guard.FENCE)

    def _fence(self, state: State, index: int, epoch: int) -> State:
        worker = state.workers[index]
        newest = max(worker.epoch, epoch)
        return _with_worker(state, index, worker._replace(epoch=newest))


def violations(state: State, *, idempotent: bool) -> list[str]:
    """Return the promises that a state breaks."""
    broken: list[str] = []
    if sum(worker.running for worker in state.workers) > 1:
        broken.append('two places')
    if state.start_count > 1 and not idempotent:
        broken.append('run twice')
    if state.reported_not_run and state.start_count:
        broken.append('told not run')
    return broken


def _take_over(state: State, daemon_index: int) -> Transitions:
    """Take over the partition under a new epoch, which fences the other."""
    if state.epoch >= _LAST_EPOCH:
        return
    epoch = state.epoch + 1
    mine = state.daemons[daemon_index]._replace(
        step=Step.RECOVERED, epoch=epoch
    )
    yield (
        f'{daemon_index} takes over',
        _with_daemon(state, daemon_index, mine)._replace(epoch=epoch),
    )


def _cancel(state: State) -> State:
    """Cancel the task.

    The caller is told that it didn't run, unless a worker was given up.
    """
    return state._replace(
        record=Record.CANCELLED, reported_not_run=not state.worker_given_up
    )


def _send_start(state: State, daemon_index: int) -> State:
    daemon = state.daemons[daemon_index]
    start = Start(daemon.epoch, daemon.worker, daemon.attempt)
    sent = _with_daemon(state, daemon_index, daemon._replace(step=Step.STARTED))
    return sent._replace(starts=sent.starts | {start})


def _record_end(state: State, daemon_index: int) -> Transitions:
    """Record the end of the attempt that ran."""
    daemon = state.daemons[daemon_index]
    worker = state.workers[daemon.worker]
    ended = not worker.running and state.attempt in state.attempts_run
    current = state.epoch == daemon.epoch and state.record is Record.INTENT
    if ended and current and worker.reachable and not worker.lapsed:
        over = _with_daemon(
            state, daemon_index, daemon._replace(step=Step.ENDED)
        )
        yield (
            f'{daemon_index} records the end',
            over._replace(record=Record.ENDED),
        )


def _worker_transitions(state: State) -> Transitions:
    for index, worker in enumerate(state.workers):
        if worker.running:
            ended = worker._replace(running=False)
            yield 'the task ends', _with_worker(state, index, ended)
    first = state.workers[0]
    if first.reachable:
        cut = first._replace(reachable=False)
        yield 'a worker is cut off', _with_worker(state, 0, cut)
    elif not first.lapsed:
        lapsed = first._replace(lapsed=True, running=False)
        yield 'a lease expires', _with_worker(state, 0, lapsed)


def _start_run(state: State, start: Start) -> State:
    worker = state.workers[start.worker]
    running = _with_worker(state, start.worker, worker._replace(running=True))
    return running._replace(
        start_count=state.start_count + 1,
        attempts_run=state.attempts_run | {start.attempt},
    )


def _with_daemon(state: State, daemon_index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[daemon_index] = daemon
    return state._replace(daemons=tuple(daemons))


def _with_worker(state: State, index: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[index] = worker
    return state._replace(workers=tuple(workers))
