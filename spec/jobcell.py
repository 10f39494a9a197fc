"""Claims, the journal's chain, starts and ends of one task of the job cell.

Two nodes claim a slice from each other at any moment; nothing forces a former
owner to notice. Commits and starts travel through a network that delivers
them late, never, or after newer ones; a commit's reply may be lost, so its
sender looks at the head row. Workers end runs by themselves, keep ends until
these are acknowledged, and one may be out of reach until its lease lapses.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

_NODES = (0, 1)
_WORKERS = (0, 1)
_LAST_TOKEN = 2
_LAST_RUN = 2
PROMISES = ('two places', 'started after its end was noted')


class Guard(enum.Enum):
    """Guards of the protocol; a variant of the model lacks one of them."""

    CHAIN = 'a commit names the head row that it replaces'
    FENCE = 'a worker refuses orders of older claims'
    RECORD_FIRST = 'a run is on record before its start is sent'
    ACK_LAST = 'an end is kept before it is acknowledged'
    LEASE_WAIT = 'a worker out of reach is waited for until its lease lapses'


class Record(NamedTuple):
    """What is kept of the task."""

    run: int = 0
    worker: int = -1
    done: bool = False


class Head(NamedTuple):
    """The head row: the claim that wrote it and the commit's number."""

    token: int = 0
    number: int = 0


class Commit(NamedTuple):
    """A commit on its way, with the head that it expects."""

    head: Head
    record: Record


class Start(NamedTuple):
    """A start on its way to a worker."""

    token: int
    worker: int
    run: int


class Phase(enum.IntEnum):
    """What a node is doing as an owner."""

    OUT = 0
    READY = 1
    COMMITTING = 2
    STARTING = 3
    ENDING = 4


class Node(NamedTuple):
    """One node: its claim, what it believes, and whom it has looked at."""

    phase: Phase = Phase.OUT
    head: Head = Head()
    record: Record = Record()
    greeted: frozenset[int] = frozenset()


class Worker(NamedTuple):
    """One worker: the token that it obeys, its run, and its ended run."""

    token: int = 0
    run: int = 0
    ended: int = 0
    done: bool = False
    acknowledged: bool = False
    reachable: bool = True
    lapsed: bool = False


class State(NamedTuple):
    """The whole system."""

    nodes: tuple[Node, ...] = (Node(), Node())
    workers: tuple[Worker, ...] = (Worker(), Worker())
    head: Head = Head()
    record: Record = Record()
    claims: int = 0
    commits: frozenset[Commit] = frozenset()
    starts: frozenset[Start] = frozenset()
    noted: bool = False
    broken: bool = False


Moves = Iterator[tuple[str, State]]


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The protocol, less the guards that are out."""

    without: frozenset[Guard] = frozenset()

    def moves(self, state: State) -> list[tuple[str, State]]:
        """Return every move that can follow a state."""
        found: list[tuple[str, State]] = []
        for who in _NODES:
            found.extend(self._node_moves(state, who))
        found.extend(self._network_moves(state))
        found.extend(_worker_moves(state))
        return found

    def _has(self, guard: Guard) -> bool:
        return guard not in self.without

    def _node_moves(self, state: State, who: int) -> Moves:
        me = state.nodes[who]
        if state.claims < _LAST_TOKEN:
            yield f'{who} claims', _claim(state, who)
        match me.phase:
            case Phase.READY:
                yield from self._while_ready(state, who)
            case Phase.COMMITTING | Phase.ENDING:
                yield from self._while_committing(state, who)
            case Phase.STARTING:
                start = Start(me.head.token, me.record.worker, me.record.run)
                sent = state._replace(starts=state.starts | {start})
                ready = me._replace(phase=Phase.READY)
                yield f'{who} starts', _with_node(sent, who, ready)

    def _while_ready(self, state: State, who: int) -> Moves:
        me = state.nodes[who]
        for number in _WORKERS:
            if state.workers[number].reachable:
                yield from self._look(state, who, number)
            elif self._may_give_up(state, who, number):
                idle = me._replace(record=me.record._replace(worker=-1))
                yield f'{who} gives up', _with_node(state, who, idle)
        if me.record.worker < 0 and not me.record.done:
            for chosen in me.greeted:
                yield from self._place(state, who, chosen)

    def _may_give_up(self, state: State, who: int, number: int) -> bool:
        record = state.nodes[who].record
        placed = record.worker == number and not record.done
        certain = state.workers[number].lapsed
        return placed and (certain or not self._has(Guard.LEASE_WAIT))

    def _look(self, state: State, who: int, number: int) -> Moves:
        """Look at a worker under the own token, and take in what it lists."""
        me = state.nodes[who]
        worker = state.workers[number]
        if worker.token > me.head.token and self._has(Guard.FENCE):
            yield f'{who} is fenced', _with_node(state, who, Node())
            return
        token = max(worker.token, me.head.token)
        seen = _with_worker(state, number, worker._replace(token=token))
        me = me._replace(greeted=me.greeted | {number})
        if worker.done and not worker.acknowledged and not me.record.done:
            yield f'{who} sees the end', self._end(seen, who, me, number)
            return
        first = number not in state.nodes[who].greeted
        here = me.record.worker == number and not me.record.done
        if first and here and worker.run != me.record.run:
            me = me._replace(record=me.record._replace(worker=-1))
        yield f'{who} looks at {number}', _with_node(seen, who, me)

    def _end(self, state: State, who: int, me: Node, number: int) -> State:
        record = Record(run=me.record.run, worker=number, done=True)
        commit = Commit(me.head, record)
        state = state._replace(commits=state.commits | {commit})
        if not self._has(Guard.ACK_LAST):
            state = _acknowledge(state, number)
        return _with_node(
            state, who, me._replace(phase=Phase.ENDING, record=record)
        )

    def _place(self, state: State, who: int, number: int) -> Moves:
        me = state.nodes[who]
        run = me.record.run + 1
        if run > _LAST_RUN:
            return
        record = Record(run=run, worker=number)
        commit = Commit(me.head, record)
        placed = state._replace(commits=state.commits | {commit})
        me = me._replace(phase=Phase.COMMITTING, record=record)
        yield f'{who} places on {number}', _with_node(placed, who, me)
        if not self._has(Guard.RECORD_FIRST):
            start = Start(me.head.token, number, run)
            early = placed._replace(starts=placed.starts | {start})
            yield f'{who} starts early', _with_node(early, who, me)

    def _while_committing(self, state: State, who: int) -> Moves:
        """Read the head row back until it tells what came of the commit."""
        me = state.nodes[who]
        following = Head(me.head.token, me.head.number + 1)
        if state.head.token > me.head.token and self._has(Guard.CHAIN):
            yield f'{who} lost the slice', _with_node(state, who, Node())
        elif state.head == following or not self._has(Guard.CHAIN):
            if me.phase is Phase.ENDING:
                kept = me._replace(phase=Phase.READY, head=following)
                after = _with_node(state, who, kept)
                number = me.record.worker
                if state.workers[number].token <= me.head.token:
                    after = _acknowledge(after, number)
                yield f'{who} kept the end', after
            else:
                kept = me._replace(phase=Phase.STARTING, head=following)
                yield f'{who} kept the run', _with_node(state, who, kept)

    def _network_moves(self, state: State) -> Moves:
        for commit in state.commits:
            rest = state._replace(commits=state.commits - {commit})
            yield 'a commit is lost', rest
            if commit.head == state.head or not self._has(Guard.CHAIN):
                head = Head(commit.head.token, commit.head.number + 1)
                yield (
                    'a commit is done',
                    rest._replace(head=head, record=commit.record),
                )
        for start in state.starts:
            rest = state._replace(starts=state.starts - {start})
            yield 'a start is lost', rest
            yield 'a start arrives', self._arrive(rest, start)

    def _arrive(self, state: State, start: Start) -> State:
        worker = state.workers[start.worker]
        older = start.token < worker.token and self._has(Guard.FENCE)
        refused = older or worker.lapsed or start.run <= worker.ended
        if refused or worker.run:
            return state
        token = max(worker.token, start.token)
        running = worker._replace(token=token, run=start.run)
        broken = state.broken or state.noted
        return _with_worker(
            state._replace(broken=broken), start.worker, running
        )


def _worker_moves(state: State) -> Moves:
    for number in _WORKERS:
        worker = state.workers[number]
        if worker.run:
            ended = worker._replace(run=0, ended=worker.run, done=True)
            yield f'{number} ends', _with_worker(state, number, ended)
        if number == 0 and worker.reachable:
            away = worker._replace(reachable=False)
            yield '0 is cut off', _with_worker(state, number, away)
        if not worker.reachable and not worker.lapsed:
            gone = worker._replace(lapsed=True, run=0)
            yield '0 lapses', _with_worker(state, number, gone)


def _claim(state: State, who: int) -> State:
    """Replace the head row and read the record that stands there."""
    head = Head(state.claims + 1, 0)
    node = Node(phase=Phase.READY, head=head, record=state.record)
    claimed = state._replace(head=head, claims=state.claims + 1)
    return _with_node(claimed, who, node)


def _acknowledge(state: State, number: int) -> State:
    worker = state.workers[number]._replace(acknowledged=True)
    return _with_worker(state._replace(noted=True), number, worker)


def _with_node(state: State, who: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[who] = node
    return state._replace(nodes=tuple(nodes))


def _with_worker(state: State, number: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[number] = worker
    return state._replace(workers=tuple(workers))


def violations(state: State) -> set[str]:
    """Return the promises that a state breaks."""
    found: set[str] = set()
    if all(worker.run for worker in state.workers):
        found.add('two places')
    if state.broken:
        found.add('started after its end was noted')
    return found
