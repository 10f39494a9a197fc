"""Ownership, fencing and dispatch of one task, as an explicit state machine.

Two daemons and two workers share one task. Daemons may be paused at any point
(nothing forces them to move), crash, and take over from each other at any
moment, since safety must not depend on when a lease is noticed to lapse.
Commits and starts travel through a network that may deliver them late or
never, and a commit's reply may be lost. The first worker may be out of reach
for its new owner; its lease then lapses some time later and ends its task.
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

    CONDITIONAL_COMMIT = 'a commit depends on the own row'
    SEAL = 'a worker refuses starts of older epochs'
    INTENT_FIRST = 'the intent is on record before the start is sent'
    LEASE_WAIT = 'a worker out of reach is waited for until its lease lapses'


class Step(enum.IntEnum):
    """Where a daemon is in its handling of the task."""

    OUT = 0
    RECOVERED = 1
    COMMITTING = 2
    COMMITTED = 3
    STARTED = 4
    ENDED = 5


class Record(enum.IntEnum):
    """What the journal says of the task's latest attempt."""

    ACCEPTED = 0
    INTENT = 1
    OVER = 2
    CANCELLED = 3


class Commit(NamedTuple):
    """A commit on its way to the table service."""

    epoch: int
    attempt: int
    worker: int


class Start(NamedTuple):
    """A start on its way to a worker."""

    epoch: int
    worker: int
    attempt: int


class Daemon(NamedTuple):
    """One daemon: its step, its epoch and the attempt it works on."""

    step: Step = Step.OUT
    epoch: int = 0
    attempt: int = 0
    worker: int = 0
    alive: bool = True


class Worker(NamedTuple):
    """One worker: the epoch it obeys, and whether the task runs there."""

    epoch: int = 0
    running: bool = False
    lapsed: bool = False
    reachable: bool = True


class State(NamedTuple):
    """The whole system."""

    daemons: tuple[Daemon, ...] = (Daemon(), Daemon())
    workers: tuple[Worker, ...] = (Worker(), Worker())
    epoch: int = 0
    record: Record = Record.ACCEPTED
    attempt: int = 0
    placed_on: int = 0
    commits: frozenset[Commit] = frozenset()
    starts: frozenset[Start] = frozenset()
    runs: int = 0
    ran: frozenset[int] = frozenset()
    lost: bool = False
    told_not_run: bool = False


Moves = Iterator[tuple[str, State]]


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The protocol for one kind of task, less the guards that are out."""

    idempotent: bool
    without: frozenset[Guard] = frozenset()

    def moves(self, state: State) -> list[tuple[str, State]]:
        """Return every move that can follow a state."""
        found: list[tuple[str, State]] = []
        for who in _DAEMONS:
            found.extend(self._daemon_moves(state, who))
        found.extend(self._network_moves(state))
        found.extend(_worker_moves(state))
        return found

    def _has(self, guard: Guard) -> bool:
        return guard not in self.without

    # Daemons

    def _daemon_moves(self, state: State, who: int) -> Moves:
        me = state.daemons[who]
        if not me.alive and me.step is Step.OUT:
            return
        match me.step:
            case Step.OUT:
                yield from _take_over(state, who)
            case Step.RECOVERED:
                yield from self._after_recovery(state, who)
            case Step.COMMITTING:
                yield from self._while_committing(state, who)
            case Step.COMMITTED:
                yield f'{who} sends the start', _send_start(state, who)
            case Step.STARTED:
                yield from _learn_end(state, who)
        if me.step is not Step.OUT:
            yield f'{who} crashes', _with(state, who, Daemon(alive=False))

    def _after_recovery(self, state: State, who: int) -> Moves:
        """Place a fresh task, or settle the intent that was found."""
        me = state.daemons[who]
        if state.record is Record.ACCEPTED:
            for worker in _WORKERS:
                yield from self._place(state, who, worker)
            if self._may_commit(state, me.epoch):
                yield f'{who} cancels', _cancel(state)
        if state.record is Record.INTENT:
            yield from self._settle(state, who, me)

    def _settle(self, state: State, who: int, me: Daemon) -> Moves:
        """Seal the worker of a former intent, or wait for its lease."""
        index = state.placed_on
        worker = state.workers[index]
        if worker.reachable:
            sealed = self._sealed(state, index, me.epoch)
            if worker.running:
                adopted = me._replace(step=Step.STARTED, worker=index)
                yield f'{who} adopts', _with(sealed, who, adopted)
            elif state.attempt not in state.ran:
                yield f'{who} learns never', self._forget(sealed, me)
            return
        if worker.lapsed or not self._has(Guard.LEASE_WAIT):
            if self.idempotent:
                lost = self._forget(state, me)
                yield f'{who} gives up the worker', lost._replace(lost=True)
            elif self._may_commit(state, me.epoch):
                over = state._replace(record=Record.OVER)
                yield f'{who} records unknown', over

    def _forget(self, state: State, me: Daemon) -> State:
        """Let the task be placed again; the record keeps the number."""
        if not self._may_commit(state, me.epoch):
            return state
        return state._replace(record=Record.ACCEPTED)

    def _place(self, state: State, who: int, worker: int) -> Moves:
        me = state.daemons[who]
        number = state.attempt + 1
        if number > _LAST_ATTEMPT or not state.workers[worker].reachable:
            return
        sealed = self._sealed(state, worker, me.epoch)
        if sealed.workers[worker].epoch > me.epoch:
            return
        commit = Commit(me.epoch, number, worker)
        chosen = me._replace(
            step=Step.COMMITTING, attempt=number, worker=worker
        )
        sent = _with(sealed, who, chosen)
        yield (
            f'{who} sends the intent',
            sent._replace(commits=sent.commits | {commit}),
        )

    def _while_committing(self, state: State, who: int) -> Moves:
        """Read back whether the commit took effect, or start too early."""
        me = state.daemons[who]
        on_record = (
            state.record is Record.INTENT
            and state.attempt == me.attempt
            and state.placed_on == me.worker
        )
        if on_record:
            known = _with(state, who, me._replace(step=Step.COMMITTED))
            yield f'{who} knows the commit', known
        if not self._has(Guard.INTENT_FIRST):
            yield f'{who} starts early', _send_start(state, who)

    def _may_commit(self, state: State, epoch: int) -> bool:
        if not self._has(Guard.CONDITIONAL_COMMIT):
            return True
        return epoch == state.epoch

    # Network

    def _network_moves(self, state: State) -> Moves:
        for commit in state.commits:
            left = state._replace(commits=state.commits - {commit})
            yield 'a commit is lost', left
            if self._applies(state, commit):
                yield (
                    'a commit takes effect',
                    left._replace(
                        record=Record.INTENT,
                        attempt=commit.attempt,
                        placed_on=commit.worker,
                    ),
                )
        for start in state.starts:
            left = state._replace(starts=state.starts - {start})
            yield 'a start is lost', left
            if self._obeys(state, start):
                yield 'a start arrives', _run(left, start)

    def _applies(self, state: State, commit: Commit) -> bool:
        if state.record is not Record.ACCEPTED:
            return not self._has(Guard.CONDITIONAL_COMMIT)
        return self._may_commit(state, commit.epoch)

    def _obeys(self, state: State, start: Start) -> bool:
        worker = state.workers[start.worker]
        if worker.lapsed:
            return False
        return start.epoch == worker.epoch or not self._has(Guard.SEAL)

    def _sealed(self, state: State, index: int, epoch: int) -> State:
        worker = state.workers[index]
        newest = max(worker.epoch, epoch)
        return _with_worker(state, index, worker._replace(epoch=newest))


def violations(state: State, *, idempotent: bool) -> list[str]:
    """Return the promises that a state breaks."""
    broken: list[str] = []
    if sum(worker.running for worker in state.workers) > 1:
        broken.append('two places')
    if state.runs > 1 and not idempotent:
        broken.append('run twice')
    if state.told_not_run and state.runs:
        broken.append('told not run')
    return broken


def _take_over(state: State, who: int) -> Moves:
    """Fence the other daemon, claim the partition and read its record."""
    if state.epoch >= _LAST_EPOCH:
        return
    epoch = state.epoch + 1
    mine = state.daemons[who]._replace(step=Step.RECOVERED, epoch=epoch)
    yield f'{who} takes over', _with(state, who, mine)._replace(epoch=epoch)


def _cancel(state: State) -> State:
    """Call the task off; it is told as not run unless one was lost."""
    return state._replace(record=Record.CANCELLED, told_not_run=not state.lost)


def _send_start(state: State, who: int) -> State:
    me = state.daemons[who]
    start = Start(me.epoch, me.worker, me.attempt)
    sent = _with(state, who, me._replace(step=Step.STARTED))
    return sent._replace(starts=sent.starts | {start})


def _learn_end(state: State, who: int) -> Moves:
    """Record the end of the attempt that ran."""
    me = state.daemons[who]
    worker = state.workers[me.worker]
    ended = not worker.running and state.attempt in state.ran
    current = state.epoch == me.epoch and state.record is Record.INTENT
    if ended and current and worker.reachable and not worker.lapsed:
        over = _with(state, who, me._replace(step=Step.ENDED))
        yield f'{who} records the end', over._replace(record=Record.OVER)


def _worker_moves(state: State) -> Moves:
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
        yield 'a lease lapses', _with_worker(state, 0, lapsed)


def _run(state: State, start: Start) -> State:
    worker = state.workers[start.worker]
    running = _with_worker(state, start.worker, worker._replace(running=True))
    return running._replace(
        runs=state.runs + 1, ran=state.ran | {start.attempt}
    )


def _with(state: State, who: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[who] = daemon
    return state._replace(daemons=tuple(daemons))


def _with_worker(state: State, index: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[index] = worker
    return state._replace(workers=tuple(workers))
