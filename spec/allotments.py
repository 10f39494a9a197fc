"""Model of one account's cap over two pools, which falls once.

Pool 0 may get a second owner at any moment, and its former owner may never
notice. An owner may be paused at any point, so it may read the row of the
allotments, and the configuration, arbitrarily late. A write may be applied late
or never, and its reply may be lost: its sender only learns the outcome by
reading the row. The former cap may be in force until the rollout ends, also in
the eyes of an owner that is paused. The second owner of pool 0 may have started
after the cap fell; it doesn't know when the rollout ends, unless it has waited
for long enough, or the row says so.

Every task needs one unit of the cap. A start is decided and recorded first, and
sent later. A run that has ended is no longer counted at once, and a start that
a successor has barred is forgotten.

Bounds: a cap of 2 units that falls to 1, one takeover, three applied writes of
which two are on their way at a time, and one placement in each pool, so that
the cap is exceeded only after it fell. It falls first of all. An amount is only
lowered to what is in use or raised to what the others leave, and a write whose
condition can't hold any more is left out. In the variant without versions there
is no takeover, and a write may change nothing.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

_CAPS = (2, 1)
_POOL_OF = (0, 0, 1)
_POOLS = (0, 1)
_SUCCESSOR = 1
_MAX_WRITES = 2
_LAST_VERSION = 3
_MAX_PLACEMENTS = 1
PROMISE = 'no start brings the account above the highest cap in force'


class Guard(enum.Enum):
    """Guards of the protocol; a variant of the model lacks one of them."""

    VERSION = 'a write names the version of the row that it replaces'
    ADOPTION = 'an owner starts nothing before it has adopted the row'
    FORMER_OWNER = 'a former owner that reads a newer token writes nothing'
    OTHERS = 'the amounts of other pools limit starts'
    OWN_AMOUNT = "the pool's own amount limits starts"
    NOT_BELOW_USED = 'an amount is not lowered below what is in use'
    UNCERTAIN = 'until a write is certain, the lower amount counts'
    CURRENT = 'an owner without the current configuration starts nothing'
    READ_AGAIN = 'the row is read again once the former cap is out of force'
    STARTED = 'an owner that has just started waits for the end of the rollout'
    MARKED_AFTER = 'a row is marked as rolled out only once the rollout is over'
    CHECK_AT_SENDING = 'a start is checked again before it is sent'


class Row(NamedTuple):
    """The row of the account: amounts and owners' tokens by pool.

    ``rolled_out`` is true once it says that the rollout has ended.
    """

    version: int = 0
    amounts: tuple[int, int] = (1, 0)
    owners: tuple[int, int] = (0, 2)
    rolled_out: bool = False


class Write(NamedTuple):
    """A write on its way: the row that it replaces, and the new one."""

    owner: int
    expected: int
    row: Row


class Owner(NamedTuple):
    """One owner: the cap and the row that it knows, its starts and runs.

    ``pending`` is the lowest amount of its writes to the known version whose
    outcome isn't known, -1 if there is none. ``current`` is false once the
    rollout has ended without it, and ``fresh`` unless it has read the row since
    the rollout ended. ``started`` owners don't know whether it has.
    """

    active: bool = True
    cap: int = 0
    current: bool = True
    row: Row = Row()
    pending: int = -1
    fresh: bool = True
    started: bool = False
    unsent: int = 0
    running: int = 0


class State(NamedTuple):
    """The state of the whole system."""

    row: Row = Row()
    rolled_out: bool = False
    taken_over: bool = False
    owners: tuple[Owner, ...] = (Owner(), Owner(active=False), Owner())
    writes: frozenset[Write] = frozenset()
    exceeded: bool = False


Transitions = Iterator[tuple[str, State]]


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The protocol's transitions, without the guards in ``without``."""

    without: frozenset[Guard] = frozenset()

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all transitions from a state, each with its name."""
        found = list(_configuration_transitions(state))
        if self._enforces(Guard.VERSION):
            found.extend(_take_over(state))
        found.extend(self._apply_writes(state))
        for index, owner in enumerate(state.owners):
            if owner.active:
                found.extend(_learn(state, index))
                found.extend(_wait_out(state, index))
                found.extend(self._read(state, index))
                found.extend(self._send_writes(state, index))
                found.extend(self._decide(state, index))
                found.extend(self._send_start(state, index))
            found.extend(_end_runs(state, index))
        return found

    def _enforces(self, guard: Guard) -> bool:
        return guard not in self.without

    def _apply_writes(self, state: State) -> Transitions:
        """Apply any write that is on its way; one may stay so for ever."""
        if state.row.version == _LAST_VERSION:
            return
        for write in state.writes:
            row = write.row._replace(version=state.row.version + 1)
            left = state.writes - {write}
            if self._enforces(Guard.VERSION):
                left = frozenset()
            yield (
                f'a write of {write.owner} is applied',
                state._replace(row=row, writes=left),
            )

    def _read(self, state: State, index: int) -> Transitions:
        """Let an owner read the row; a former owner gives up."""
        owner = state.owners[index]
        pool = _POOL_OF[index]
        replaced = state.row.owners[pool] > index
        if replaced and self._enforces(Guard.FORMER_OWNER):
            gone = owner._replace(active=False)
            yield f'{index} gives up', _with_owner(state, index, gone)
            return
        moved = state.row.version != owner.row.version
        read = owner._replace(
            row=state.row,
            fresh=True,
            pending=-1 if moved else owner.pending,
        )
        yield f'{index} reads the row', _with_owner(state, index, read)

    def _send_writes(self, state: State, index: int) -> Transitions:
        owner = state.owners[index]
        if len(state.writes) == _MAX_WRITES or not owner.current:
            return
        last = state.row.version == _LAST_VERSION
        if last or owner.row.version != state.row.version:
            return
        pool = _POOL_OF[index]
        own = owner.row.amounts[pool]
        free = _CAPS[owner.cap] - owner.row.amounts[1 - pool]
        lowest = 0
        if self._enforces(Guard.NOT_BELOW_USED):
            lowest = _used(state, index)
        highest = min(max(free, own), _MAX_PLACEMENTS)
        adopts = owner.row.owners[pool] != index
        marks = self._marks(state, index) and not owner.row.rolled_out
        same = adopts or marks or not self._enforces(Guard.VERSION)
        for amount in sorted({lowest, highest}):
            if amount != own or same:
                yield self._send_write(state, index, amount)

    def _send_write(
        self, state: State, index: int, amount: int
    ) -> tuple[str, State]:
        owner = state.owners[index]
        pool = _POOL_OF[index]
        row = Row(
            version=owner.row.version,
            amounts=_with(owner.row.amounts, pool, amount),
            owners=_with(owner.row.owners, pool, index),
            rolled_out=owner.row.rolled_out or self._marks(state, index),
        )
        pending = amount
        if owner.pending >= 0:
            pending = min(amount, owner.pending)
        sent = _with_owner(state, index, owner._replace(pending=pending))
        write = Write(owner=index, expected=owner.row.version, row=row)
        return (
            f'{index} writes {amount}',
            sent._replace(writes=sent.writes | {write}),
        )

    def _marks(self, state: State, index: int) -> bool:
        """Return whether an owner's writes say that the rollout has ended."""
        owner = state.owners[index]
        knows = state.rolled_out and not owner.started
        return owner.cap == 1 and (
            knows or not self._enforces(Guard.MARKED_AFTER)
        )

    def _decide(self, state: State, index: int) -> Transitions:
        """Let the owner in charge of a pool decide and record a start."""
        used = _used(state, index)
        if index != _in_charge(state, index) or used == _MAX_PLACEMENTS:
            return
        if self._may_run(state, index, used + 1):
            owner = state.owners[index]
            decided = owner._replace(unsent=owner.unsent + 1)
            yield f'{index} decides', _with_owner(state, index, decided)

    def _send_start(self, state: State, index: int) -> Transitions:
        """Send a start that was decided, or withdraw it."""
        owner = state.owners[index]
        if not owner.unsent:
            return
        withdrawn = owner._replace(unsent=owner.unsent - 1)
        allowed = self._may_run(state, index, _used(state, index))
        if not allowed and self._enforces(Guard.CHECK_AT_SENDING):
            yield f'{index} withdraws', _with_owner(state, index, withdrawn)
        else:
            sent = withdrawn._replace(running=owner.running + 1)
            started = _with_owner(state, index, sent)
            total = sum(one.running for one in started.owners)
            in_force = _CAPS[1 if state.rolled_out else 0]
            exceeded = state.exceeded or total > in_force
            yield f'{index} sends', started._replace(exceeded=exceeded)

    def _may_run(self, state: State, index: int, wanted: int) -> bool:
        """Return whether an owner may have so much in use."""
        owner = state.owners[index]
        pool = _POOL_OF[index]
        if owner.row.owners[pool] != index and self._enforces(Guard.ADOPTION):
            return False
        if not owner.current and self._enforces(Guard.CURRENT):
            return False
        if not owner.row.rolled_out and not self._is_settled(owner):
            return False
        amount = owner.row.amounts[pool]
        if owner.pending >= 0 and self._enforces(Guard.UNCERTAIN):
            amount = min(amount, owner.pending)
        elif owner.pending >= 0:
            amount = max(amount, owner.pending)
        if wanted > amount and self._enforces(Guard.OWN_AMOUNT):
            return False
        free = _CAPS[owner.cap] - owner.row.amounts[1 - pool]
        return wanted <= free or not self._enforces(Guard.OTHERS)

    def _is_settled(self, owner: Owner) -> bool:
        """Return whether an owner knows what was raised in the rollout."""
        if owner.started and self._enforces(Guard.STARTED):
            return False
        return owner.fresh or not self._enforces(Guard.READ_AGAIN)


def _configuration_transitions(state: State) -> Transitions:
    if not state.rolled_out:
        owners = tuple(
            owner._replace(current=owner.cap == 1, fresh=owner.started)
            for owner in state.owners
        )
        yield (
            'the rollout ends',
            state._replace(rolled_out=True, owners=owners),
        )


def _take_over(state: State) -> Transitions:
    """Let the second owner of pool 0 claim it; it reads the row first."""
    if state.taken_over:
        return
    owner = Owner(row=state.row, current=not state.rolled_out)
    claimed = _with_owner(state, _SUCCESSOR, owner)
    yield 'pool 0 is taken over', claimed._replace(taken_over=True)
    started = Owner(row=state.row, cap=1, started=True)
    claimed = _with_owner(state, _SUCCESSOR, started)
    yield 'a new node takes pool 0 over', claimed._replace(taken_over=True)


def _learn(state: State, index: int) -> Transitions:
    owner = state.owners[index]
    if not owner.cap:
        learnt = owner._replace(cap=1, current=True)
        yield f'{index} learns the cap', _with_owner(state, index, learnt)


def _wait_out(state: State, index: int) -> Transitions:
    """Let an owner that has started wait until the rollout must be over."""
    owner = state.owners[index]
    if owner.started and state.rolled_out:
        waited = owner._replace(started=False, fresh=False)
        yield f'{index} has waited', _with_owner(state, index, waited)


def _end_runs(state: State, index: int) -> Transitions:
    """End a run, or bar an unsent start of a former owner."""
    owner = state.owners[index]
    if owner.running:
        ended = owner._replace(running=owner.running - 1)
        yield f'a run of {index} ends', _with_owner(state, index, ended)
    if owner.unsent and not owner.active:
        barred = owner._replace(unsent=owner.unsent - 1)
        yield f'a start of {index} is barred', _with_owner(state, index, barred)


def _in_charge(state: State, index: int) -> int:
    """Return the owner in charge of the pool of an owner."""
    if _POOL_OF[index] == 0:
        return _SUCCESSOR if state.taken_over else 0
    return index


def _used(state: State, index: int) -> int:
    """Return what an owner counts as in use in its pool.

    A former owner doesn't know of its successor's starts.
    """
    owner = state.owners[index]
    used = owner.unsent + owner.running
    if index == _SUCCESSOR:
        former = state.owners[0]
        used += former.unsent + former.running
    return used


def _with(pair: tuple[int, int], place: int, found: int) -> tuple[int, int]:
    return (found, pair[1]) if place == 0 else (pair[0], found)


def _with_owner(state: State, index: int, owner: Owner) -> State:
    owners = list(state.owners)
    owners[index] = owner
    return state._replace(owners=tuple(owners))
