"""Model of the leases that the owners of one slice extend, with time.

Owners 1 and 2 claim the slice of owner 0 one after the other, at any moment.
Any call between an owner and a worker or the store may be lost, which covers
every partition and owners that die. A lease stands for a run on its worker.

An owner polls the workers that obey it and confirms its claim at each moment:
less of that only extends fewer leases. For the same reason it loads the voters
with its claim, and knows at once when its own are stored.

Bounds: three owners, three workers, of which one restarts once, and one change
of the voters, to any group. Time goes on without bound, in steps as long as a
lease. A lease that is given too late ends earlier in the code, and is left out
here. So are runs on workers that the owner in charge has reached, as these
obey no former owner. Answers are late only in the variants in which that
matters.
"""

import enum
from collections.abc import Iterator
from itertools import product
from typing import NamedTuple

import msgspec

_WORKERS = 3
_LAST_OWNER = 2
# Durations are in steps of the model's time.
_LEASE = 1
# For so long after a call an answer to it vouches for an owner.
_EXTENSION = 1
# For so long after its last confirmation an owner extends leases at most.
_MAX_UNCONFIRMED = 2
_OLDEST_ANSWER = _EXTENSION + 1
_OLDEST_CONFIRMATION = _MAX_UNCONFIRMED + 1
_NONE = -1
PROMISE = 'no run is given up while its worker has a lease'


class Guard(enum.Enum):
    """Guards of the protocol; a variant of the model lacks one of them."""

    BOUND = 'an unconfirmed owner needs voters that vouch for it'
    MAJORITY = 'more than half of the voters vouch for an owner'
    BOTH_ELECTORATES = 'old and new voters vouch during a change'
    MAX_UNCONFIRMED = 'voters vouch for an owner for a limited time'
    CONFIRMED_AT_CALL = 'a confirmation counts from its call'
    ANSWERED_AT_CALL = 'the answer of a voter counts from its call'
    INCARNATION = 'a restarted worker does not vouch'
    FENCE = 'a worker refuses polls of older claims'
    CONDITIONAL_COMMIT = 'voters are recorded under the claim'
    SETTLED = 'voters change after the former owner is excluded'
    EXCLUSION = 'half of the voters are reached before others are given up'
    EXTENSION_WAIT = 'answers that were given before the exclusion expire'
    LEASE_WAIT = 'a worker is given up after its lease expired'


class Stage(enum.IntEnum):
    """How far an owner is."""

    WAITING = 0
    CLAIMED = 1
    GONE = 2


class Change(enum.IntEnum):
    """How far an owner's change of the voters is."""

    NONE = 0
    SENT = 1
    STORED = 2


class View(NamedTuple):
    """What an owner knows of a worker.

    It has an answer of ``incarnation`` to a call that was sent ``age`` ago;
    ``voter`` and ``pending`` are the incarnations that are voters.
    """

    incarnation: int = _NONE
    age: int = 0
    voter: int = _NONE
    pending: int = _NONE
    late_answer: bool = False


class Worker(NamedTuple):
    """One worker: the claim that it obeys, and how long its lease lasts.

    ``recorded`` is its incarnation as a voter in the journal.
    """

    token: int = 0
    incarnation: int = 0
    lease: int = _LEASE
    recorded: int = 0
    views: tuple[View, ...] = (
        View(incarnation=0, voter=0),
        *(View(),) * _LAST_OWNER,
    )


class Owner(NamedTuple):
    """One owner; ``unconfirmed`` is the time since the next one's claim.

    Its predecessors extend leases for ``predecessors`` more.
    """

    stage: Stage = Stage.WAITING
    change: Change = Change.NONE
    unconfirmed: int = 0
    predecessors: int = _MAX_UNCONFIRMED
    late_confirmation: bool = False


class State(NamedTuple):
    """The state of the whole system; ``head`` is the owner in the journal."""

    head: int = 0
    owners: tuple[Owner, ...] = (
        Owner(stage=Stage.CLAIMED, predecessors=-_LEASE - 1),
        *(Owner(),) * _LAST_OWNER,
    )
    workers: tuple[Worker, ...] = (Worker(),) * _WORKERS


Transitions = Iterator[tuple[str, State]]


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The protocol's transitions, without the guards in ``without``."""

    without: frozenset[Guard] = frozenset()

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all transitions from a state, each with its name."""
        found = [
            ('time passes', _pass_time(state)),
            *self._claim(state),
            *self._restart(state),
        ]
        for owner_index, owner in enumerate(state.owners):
            if owner.stage is Stage.CLAIMED:
                found.extend(self._poll(state, owner_index))
                found.extend(self._voter_transitions(state, owner_index))
                found.extend(self._late_answers(state, owner_index))
        return [(name, self._settle(after)) for name, after in found]

    def breaks_promise(self, state: State) -> bool:
        """Return whether the owner in charge gives up a run that goes on."""
        lease = _LEASE if self._enforces(Guard.LEASE_WAIT) else 0
        if state.owners[state.head].predecessors >= -lease:
            return False
        return any(
            worker.views[state.head].incarnation == _NONE and worker.lease >= 0
            for worker in state.workers
        )

    def _enforces(self, guard: Guard) -> bool:
        return guard not in self.without

    def _claim(self, state: State) -> Transitions:
        """Let the next owner claim the slice, and load the voters."""
        if state.head == _LAST_OWNER:
            return
        late = not self._enforces(Guard.CONFIRMED_AT_CALL)
        former = state.owners[state.head]._replace(
            late_confirmation=late, predecessors=-_LEASE - 1
        )
        state = _with_owner(state, state.head, former)
        head = state.head + 1
        claimed = _with_owner(state, head, Owner(stage=Stage.CLAIMED))
        claimed = _load(claimed._replace(head=head))
        yield f'owner {head} claims', claimed

    def _restart(self, state: State) -> Transitions:
        """Restart a worker, which loses its run, its lease and its token."""
        if any(worker.incarnation for worker in state.workers):
            return
        for worker_index, worker in enumerate(state.workers):
            restarted = self._leave(worker)._replace(
                token=_NONE, incarnation=1, lease=_NONE
            )
            yield (
                f'{worker_index} restarts',
                _with_worker(state, worker_index, restarted),
            )

    def _leave(self, worker: Worker) -> Worker:
        """Let a worker's last answer to the owner that it obeyed be late."""
        if worker.token == _NONE or self._enforces(Guard.ANSWERED_AT_CALL):
            return worker
        view = worker.views[worker.token]
        return _with_view(worker, worker.token, view._replace(late_answer=True))

    def _poll(self, state: State, owner_index: int) -> Transitions:
        """Poll workers that obey other owners or none."""
        for worker_index, worker in enumerate(state.workers):
            if worker.token == owner_index:
                continue
            if worker.token > owner_index and self._enforces(Guard.FENCE):
                continue
            polled = self._leave(worker)
            polled = polled._replace(token=max(worker.token, owner_index))
            polled = _answer(polled, owner_index)
            if worker.token > owner_index:
                polled = self._extend(state, polled, owner_index)
            yield (
                f'owner {owner_index} polls {worker_index}',
                _with_worker(state, worker_index, polled),
            )

    def _voter_transitions(self, state: State, owner_index: int) -> Transitions:
        owner = state.owners[owner_index]
        in_charge = owner_index == state.head
        match owner.change:
            case Change.NONE if in_charge and self._may_change(state):
                yield from _begin_change(state, owner_index)
            case Change.SENT:
                if in_charge or not self._enforces(Guard.CONDITIONAL_COMMIT):
                    yield (
                        f'the voters of owner {owner_index} are stored',
                        _store_change(state, owner_index),
                    )

    def _may_change(self, state: State) -> bool:
        if any(owner.change for owner in state.owners):
            return False
        if state.head == _LAST_OWNER:
            return False
        settled = state.owners[state.head].predecessors < 0
        return settled or not self._enforces(Guard.SETTLED)

    def _late_answers(self, state: State, owner_index: int) -> Transitions:
        owner = state.owners[owner_index]
        if owner.late_confirmation:
            confirmed = owner._replace(unconfirmed=0, late_confirmation=False)
            yield (
                f'owner {owner_index} is confirmed late',
                _with_owner(state, owner_index, confirmed),
            )
        for worker_index, worker in enumerate(state.workers):
            view = worker.views[owner_index]
            if view.late_answer:
                view = view._replace(age=0, late_answer=False)
                answered = _with_view(worker, owner_index, view)
                yield (
                    f'owner {owner_index} is answered late',
                    _with_worker(state, worker_index, answered),
                )

    def _settle(self, state: State) -> State:
        """Poll each worker for the owner that it obeys; forget what is over."""
        workers = tuple(
            worker if worker.token == _NONE else _answer(worker, worker.token)
            for worker in state.workers
        )
        state = self._exclude(state._replace(workers=workers))
        workers = tuple(
            self._extend(state, worker, worker.token) for worker in workers
        )
        state = state._replace(workers=workers)
        for owner_index in range(state.head):
            if self._is_over(state, owner_index):
                state = _retire(state, owner_index)
        settled = [self._forget(state, worker) for worker in state.workers]
        return state._replace(workers=tuple(sorted(settled)))

    def _forget(self, state: State, worker: Worker) -> Worker:
        """Make states equal that differ only in what has no effect any more."""
        followed = state.owners[: worker.token + 1]
        if followed and all(one.stage is Stage.GONE for one in followed):
            worker = worker._replace(token=_NONE)
        for owner_index in range(state.head):
            worker = self._forget_answer(worker, owner_index)
        if state.head == _LAST_OWNER:
            return _forget_record(worker)
        return worker

    def _forget_answer(self, worker: Worker, owner_index: int) -> Worker:
        """Forget an answer that vouches for nobody."""
        view = worker.views[owner_index]
        if view.incarnation == _NONE or view.late_answer:
            return worker
        as_voter = self._vote_age(view, view.voter)
        as_pending = self._vote_age(view, view.pending)
        if min(as_voter, as_pending) < _OLDEST_ANSWER:
            return worker
        return _with_view(
            worker, owner_index, view._replace(incarnation=_NONE, age=0)
        )

    def _is_over(self, state: State, owner_index: int) -> bool:
        """Return whether a former owner can't extend leases from now on."""
        owner = state.owners[owner_index]
        if owner.stage is Stage.GONE or owner.unconfirmed <= _EXTENSION:
            return False
        workers = [
            _answer(worker, owner_index)
            if worker.token <= owner_index
            else worker
            for worker in state.workers
        ]
        reaching = state._replace(workers=tuple(workers))
        return not self._may_extend(reaching, owner_index)

    def _exclude(self, state: State) -> State:
        """Let the owner in charge take former owners for excluded."""
        owner = state.owners[state.head]
        if owner.predecessors <= _EXTENSION:
            return state
        if self._enforces(Guard.EXCLUSION):
            views = [worker.views[state.head] for worker in state.workers]
            voters = [view for view in views if view.voter != _NONE]
            reached = sum(view.incarnation >= view.voter for view in voters)
            if 2 * reached < len(voters):
                return state
        wait = _EXTENSION if self._enforces(Guard.EXTENSION_WAIT) else 0
        excluding = owner._replace(predecessors=min(owner.predecessors, wait))
        return _with_owner(state, state.head, excluding)

    def _extend(self, state: State, worker: Worker, owner_index: int) -> Worker:
        if worker.lease == _LEASE or owner_index == _NONE:
            return worker
        if self._may_extend(state, owner_index):
            return worker._replace(lease=_LEASE)
        return worker

    def _may_extend(self, state: State, owner_index: int) -> bool:
        owner = state.owners[owner_index]
        if owner.stage is Stage.GONE:
            return False
        if owner.unconfirmed <= _EXTENSION or not self._enforces(Guard.BOUND):
            return True
        late = owner.unconfirmed > _MAX_UNCONFIRMED
        if late and self._enforces(Guard.MAX_UNCONFIRMED):
            return False
        return self._vouched(state, owner_index) <= _EXTENSION

    def _vouched(self, state: State, owner_index: int) -> int:
        """Return how long ago voters vouched for an owner."""
        owner = state.owners[owner_index]
        views = [worker.views[owner_index] for worker in state.workers]
        old = self._majority(views, [view.voter for view in views])
        if owner.change is not Change.SENT:
            return old
        new = self._majority(views, [view.pending for view in views])
        if self._enforces(Guard.BOTH_ELECTORATES):
            return max(old, new)
        return new

    def _majority(self, views: list[View], voters: list[int]) -> int:
        ages = sorted(
            self._vote_age(view, voter)
            for view, voter in zip(views, voters, strict=True)
            if voter != _NONE
        )
        if not ages:
            return _OLDEST_ANSWER
        if self._enforces(Guard.MAJORITY):
            return ages[len(ages) // 2]
        return ages[(len(ages) - 1) // 2]

    def _vote_age(self, view: View, voter: int) -> int:
        later = view.incarnation > voter
        if view.incarnation == voter or (
            later and not self._enforces(Guard.INCARNATION)
        ):
            return view.age
        return _OLDEST_ANSWER


def _pass_time(state: State) -> State:
    owners = tuple(
        _age_owner(owner, in_charge=owner_index >= state.head)
        for owner_index, owner in enumerate(state.owners)
    )
    workers = tuple(
        worker._replace(
            lease=max(worker.lease - 1, _NONE),
            views=tuple(_age_view(view) for view in worker.views),
        )
        for worker in state.workers
    )
    return state._replace(owners=owners, workers=workers)


def _age_owner(owner: Owner, *, in_charge: bool) -> Owner:
    if owner.stage in {Stage.WAITING, Stage.GONE}:
        return owner
    if in_charge:
        return owner._replace(
            predecessors=max(owner.predecessors - 1, -_LEASE - 1)
        )
    return owner._replace(
        unconfirmed=min(owner.unconfirmed + 1, _OLDEST_CONFIRMATION)
    )


def _age_view(view: View) -> View:
    if view.incarnation == _NONE or view.age == _OLDEST_ANSWER:
        return view
    return view._replace(age=view.age + 1)


def _load(state: State) -> State:
    """Read the voters that are recorded, for the owner in charge."""
    workers = [
        _with_view(worker, state.head, View(voter=worker.recorded))
        for worker in state.workers
    ]
    return state._replace(workers=tuple(workers))


def _begin_change(state: State, owner_index: int) -> Transitions:
    """Send any other group of workers that the owner has reached."""
    views = [worker.views[owner_index] for worker in state.workers]
    current = tuple(view.voter for view in views)
    owner = state.owners[owner_index]._replace(change=Change.SENT)
    sent = _with_owner(state, owner_index, owner)
    for voters in product(*({_NONE, view.incarnation} for view in views)):
        if voters != current:
            workers = [
                _with_view(worker, owner_index, view._replace(pending=voter))
                for worker, view, voter in zip(
                    state.workers, views, voters, strict=True
                )
            ]
            yield (
                f'owner {owner_index} changes the voters',
                sent._replace(workers=tuple(workers)),
            )


def _store_change(state: State, owner_index: int) -> State:
    owner = state.owners[owner_index]._replace(change=Change.STORED)
    workers = []
    for worker in state.workers:
        view = worker.views[owner_index]
        stored = worker._replace(recorded=view.pending)
        view = view._replace(voter=view.pending, pending=_NONE)
        workers.append(_with_view(stored, owner_index, view))
    changed = state._replace(workers=tuple(workers))
    return _with_owner(changed, owner_index, owner)


def _answer(worker: Worker, owner_index: int) -> Worker:
    """Let a worker answer an owner's call at once."""
    view = worker.views[owner_index]
    if view.incarnation == worker.incarnation and not view.age:
        return worker
    answered = view._replace(incarnation=worker.incarnation, age=0)
    return _with_view(worker, owner_index, answered)


def _retire(state: State, owner_index: int) -> State:
    """Forget an owner that can't extend leases any more."""
    workers = [
        _with_view(worker, owner_index, View()) for worker in state.workers
    ]
    retired = state._replace(workers=tuple(workers))
    return _with_owner(retired, owner_index, Owner(stage=Stage.GONE))


def _forget_record(worker: Worker) -> Worker:
    """Forget what would only matter after another claim."""
    view = worker.views[_LAST_OWNER]
    if view.age:
        worker = _with_view(worker, _LAST_OWNER, view._replace(age=0))
    if view.incarnation != _NONE and worker.lease:
        worker = worker._replace(lease=0)
    if worker.recorded != _NONE:
        worker = worker._replace(recorded=_NONE)
    return worker


def _with_owner(state: State, owner_index: int, owner: Owner) -> State:
    owners = list(state.owners)
    owners[owner_index] = owner
    return state._replace(owners=tuple(owners))


def _with_worker(state: State, worker_index: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[worker_index] = worker
    return state._replace(workers=tuple(workers))


def _with_view(worker: Worker, owner_index: int, view: View) -> Worker:
    views = list(worker.views)
    views[owner_index] = view
    return worker._replace(views=tuple(views))
