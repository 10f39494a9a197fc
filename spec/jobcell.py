"""Model of one task of the job cell: claims, commits, starts and ends.

Two nodes can claim the slice from each other at any moment, and a former
owner may never notice. The network delivers commits and starts late, never,
or after newer ones. A commit's reply may be lost, so its sender reads the
head row. Workers end runs by themselves and report an end until it is
acknowledged. Worker 0 may become unreachable; its lease then expires.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

_NODES = (0, 1)
_WORKERS = (0, 1)
_LAST_TOKEN = 2
_LAST_RUN = 2
PROMISES = ('two places', 'started after its end was recorded')


class Guard(enum.Enum):
    """Guards of the protocol; a variant of the model lacks one of them."""

    CONDITIONAL_COMMIT = 'a commit names the head row that it replaces'
    FENCE = 'a worker refuses orders of older claims'
    RECORD_FIRST = 'a run is recorded before its start is sent'
    ACK_LAST = 'an end is recorded before it is acknowledged'
    LEASE_WAIT = 'an unreachable worker is given up after its lease expired'


class Record(NamedTuple):
    """The durable state of the task."""

    run: int = 0
    worker: int = -1
    ended: bool = False


class Head(NamedTuple):
    """The head row: the claim that wrote it and the commit's number."""

    token: int = 0
    number: int = 0


class Commit(NamedTuple):
    """A commit in transit, with the head row that it expects."""

    head: Head
    record: Record


class Start(NamedTuple):
    """A start order in transit to a worker."""

    token: int
    worker: int
    run: int


class Phase(enum.IntEnum):
    """What a node is doing as the slice's owner."""

    NOT_OWNER = 0
    READY = 1
    COMMITTING = 2
    STARTING = 3
    ENDING = 4


class Node(NamedTuple):
    """One node: its phase, its view of head and task, workers contacted."""

    phase: Phase = Phase.NOT_OWNER
    head: Head = Head()
    record: Record = Record()
    contacted: frozenset[int] = frozenset()


class Worker(NamedTuple):
    """One worker: the token that it obeys, its run, and its ended run.

    ``lapsed`` means that its lease has expired.
    """

    token: int = 0
    run: int = 0
    ended_run: int = 0
    ended: bool = False
    acknowledged: bool = False
    reachable: bool = True
    lapsed: bool = False


class State(NamedTuple):
    """The state of the whole system.

    ``end_recorded`` is set when an end is acknowledged,
    ``started_after_end`` when the task starts in spite of that.
    """

    nodes: tuple[Node, ...] = (Node(), Node())
    workers: tuple[Worker, ...] = (Worker(), Worker())
    head: Head = Head()
    record: Record = Record()
    claims: int = 0
    commits: frozenset[Commit] = frozenset()
    starts: frozenset[Start] = frozenset()
    end_recorded: bool = False
    started_after_end: bool = False


Transitions = Iterator[tuple[str, State]]


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The protocol's transitions, without the guards in ``without``."""

    without: frozenset[Guard] = frozenset()

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all transitions from a state, each with its name."""
        found: list[tuple[str, State]] = []
        for node_index in _NODES:
            found.extend(self._node_transitions(state, node_index))
        found.extend(self._network_transitions(state))
        found.extend(_worker_transitions(state))
        return found

    def _enforces(self, guard: Guard) -> bool:
        return guard not in self.without

    def _node_transitions(self, state: State, node_index: int) -> Transitions:
        node = state.nodes[node_index]
        if state.claims < _LAST_TOKEN:
            yield f'{node_index} claims', _claim(state, node_index)
        match node.phase:
            case Phase.READY:
                yield from self._ready_transitions(state, node_index)
            case Phase.COMMITTING | Phase.ENDING:
                yield from self._committing_transitions(state, node_index)
            case Phase.STARTING:
                start = Start(
                    node.head.token, node.record.worker, node.record.run
                )
                sent = state._replace(starts=state.starts | {start})
                ready = node._replace(phase=Phase.READY)
                yield (
                    f'{node_index} starts',
                    _with_node(sent, node_index, ready),
                )

    def _ready_transitions(self, state: State, node_index: int) -> Transitions:
        node = state.nodes[node_index]
        for worker_index in _WORKERS:
            if state.workers[worker_index].reachable:
                yield from self._poll(state, node_index, worker_index)
            elif self._may_give_up(state, node_index, worker_index):
                idle = node._replace(record=node.record._replace(worker=-1))
                yield (
                    f'{node_index} gives up',
                    _with_node(state, node_index, idle),
                )
        if node.record.worker < 0 and not node.record.ended:
            for chosen in node.contacted:
                yield from self._place(state, node_index, chosen)

    def _may_give_up(
        self, state: State, node_index: int, worker_index: int
    ) -> bool:
        record = state.nodes[node_index].record
        placed = record.worker == worker_index and not record.ended
        lapsed = state.workers[worker_index].lapsed
        return placed and (lapsed or not self._enforces(Guard.LEASE_WAIT))

    def _poll(
        self, state: State, node_index: int, worker_index: int
    ) -> Transitions:
        """Poll a worker under the node's token and apply what it reports."""
        node = state.nodes[node_index]
        worker = state.workers[worker_index]
        if worker.token > node.head.token and self._enforces(Guard.FENCE):
            yield (
                f'{node_index} is fenced',
                _with_node(state, node_index, Node()),
            )
            return
        token = max(worker.token, node.head.token)
        polled = _with_worker(state, worker_index, worker._replace(token=token))
        node = node._replace(contacted=node.contacted | {worker_index})
        if worker.ended and not worker.acknowledged and not node.record.ended:
            yield (
                f'{node_index} sees the end',
                self._report_end(polled, node_index, node, worker_index),
            )
            return
        first_poll = worker_index not in state.nodes[node_index].contacted
        placed_here = (
            node.record.worker == worker_index and not node.record.ended
        )
        if first_poll and placed_here and worker.run != node.record.run:
            node = node._replace(record=node.record._replace(worker=-1))
        yield (
            f'{node_index} polls {worker_index}',
            _with_node(polled, node_index, node),
        )

    def _report_end(
        self, state: State, node_index: int, node: Node, worker_index: int
    ) -> State:
        record = Record(run=node.record.run, worker=worker_index, ended=True)
        commit = Commit(node.head, record)
        state = state._replace(commits=state.commits | {commit})
        if not self._enforces(Guard.ACK_LAST):
            state = _acknowledge(state, worker_index)
        return _with_node(
            state, node_index, node._replace(phase=Phase.ENDING, record=record)
        )

    def _place(
        self, state: State, node_index: int, worker_index: int
    ) -> Transitions:
        node = state.nodes[node_index]
        run = node.record.run + 1
        if run > _LAST_RUN:
            return
        record = Record(run=run, worker=worker_index)
        commit = Commit(node.head, record)
        placed = state._replace(commits=state.commits | {commit})
        node = node._replace(phase=Phase.COMMITTING, record=record)
        yield (
            f'{node_index} places on {worker_index}',
            _with_node(placed, node_index, node),
        )
        if not self._enforces(Guard.RECORD_FIRST):
            start = Start(node.head.token, worker_index, run)
            early = placed._replace(starts=placed.starts | {start})
            yield (
                f'{node_index} starts early',
                _with_node(early, node_index, node),
            )

    def _committing_transitions(
        self, state: State, node_index: int
    ) -> Transitions:
        """Read the head row to learn whether the commit took effect."""
        node = state.nodes[node_index]
        following = Head(node.head.token, node.head.number + 1)
        if state.head.token > node.head.token and self._enforces(
            Guard.CONDITIONAL_COMMIT
        ):
            yield (
                f'{node_index} lost the slice',
                _with_node(state, node_index, Node()),
            )
        elif state.head == following or not self._enforces(
            Guard.CONDITIONAL_COMMIT
        ):
            if node.phase is Phase.ENDING:
                committed = node._replace(phase=Phase.READY, head=following)
                after = _with_node(state, node_index, committed)
                worker_index = node.record.worker
                if state.workers[worker_index].token <= node.head.token:
                    after = _acknowledge(after, worker_index)
                yield f'{node_index} knows that the end is recorded', after
            else:
                committed = node._replace(phase=Phase.STARTING, head=following)
                yield (
                    f'{node_index} knows that the run is recorded',
                    _with_node(state, node_index, committed),
                )

    def _network_transitions(self, state: State) -> Transitions:
        for commit in state.commits:
            remaining = state._replace(commits=state.commits - {commit})
            yield 'a commit is lost', remaining
            if commit.head == state.head or not self._enforces(
                Guard.CONDITIONAL_COMMIT
            ):
                head = Head(commit.head.token, commit.head.number + 1)
                yield (
                    'a commit takes effect',
                    remaining._replace(head=head, record=commit.record),
                )
        for start in state.starts:
            remaining = state._replace(starts=state.starts - {start})
            yield 'a start is lost', remaining
            yield 'a start arrives', self._deliver_start(remaining, start)

    def _deliver_start(self, state: State, start: Start) -> State:
        worker = state.workers[start.worker]
        older = start.token < worker.token and self._enforces(Guard.FENCE)
        refused = older or worker.lapsed or start.run <= worker.ended_run
        if refused or worker.run:
            return state
        token = max(worker.token, start.token)
        running = worker._replace(token=token, run=start.run)
        started_after_end = state.started_after_end or state.end_recorded
        return _with_worker(
            state._replace(started_after_end=started_after_end),
            start.worker,
            running,
        )


def _worker_transitions(state: State) -> Transitions:
    for worker_index in _WORKERS:
        worker = state.workers[worker_index]
        if worker.run:
            ended = worker._replace(run=0, ended_run=worker.run, ended=True)
            yield (
                f'{worker_index} ends',
                _with_worker(state, worker_index, ended),
            )
        if worker_index == 0 and worker.reachable:
            cut = worker._replace(reachable=False)
            yield '0 is cut off', _with_worker(state, worker_index, cut)
        if not worker.reachable and not worker.lapsed:
            lapsed = worker._replace(lapsed=True, run=0)
            yield (
                'the lease of 0 expires',
                _with_worker(state, worker_index, lapsed),
            )


def _claim(state: State, node_index: int) -> State:
    """Replace the head row and read the record."""
    head = Head(state.claims + 1, 0)
    node = Node(phase=Phase.READY, head=head, record=state.record)
    claimed = state._replace(head=head, claims=state.claims + 1)
    return _with_node(claimed, node_index, node)


def _acknowledge(state: State, worker_index: int) -> State:
    worker = state.workers[worker_index]._replace(acknowledged=True)
    return _with_worker(state._replace(end_recorded=True), worker_index, worker)


def _with_node(state: State, node_index: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[node_index] = node
    return state._replace(nodes=tuple(nodes))


def _with_worker(state: State, worker_index: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[worker_index] = worker
    return state._replace(workers=tuple(workers))


def violations(state: State) -> set[str]:
    """Return the promises that a state breaks."""
    found: set[str] = set()
    if all(worker.run for worker in state.workers):
        found.add('two places')
    if state.started_after_end:
        found.add('started after its end was recorded')
    return found
