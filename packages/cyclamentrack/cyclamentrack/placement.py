"""Placement policies, one registered for each kind of work.

A policy chooses workers for the tasks of one work among the workers that are
open in the ledger, and holds capacity for every choice that it returns. A
policy is registered with ``register_policy``; the built-in ones are on import.
"""

from collections.abc import Callable, Iterable

import msgspec

from cyclamentrack.ids import PoolName
from cyclamentrack.index import WorkerCapacity
from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest, Site
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind

_MAX_RACKS_TRIED = 8
# Weight of the size of what a placement leaves free, against its imbalance.
_SIZE_WEIGHT = 0.2


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A worker chosen for one need; its capacity is held."""

    need: AttemptRequest
    site: Site


Policy = Callable[[Ledger, list[AttemptRequest]], list[Choice]]

_policies: dict[Kind, Policy] = {}


def register_policy(kind: Kind) -> Callable[[Policy], Policy]:
    """Register a policy for a kind of work, replacing an earlier one.

    >>> @register_policy(Kind.BATCH)
    ... def first_fit(ledger, needs): ...
    """

    def decorate(policy: Policy) -> Policy:
        _policies[kind] = policy
        return policy

    return decorate


def policy_for(kind: Kind) -> Policy:
    """Return the policy registered for a kind."""
    return _policies[kind]


def place(
    ledger: Ledger, needs: list[AttemptRequest], *, partial: bool = False
) -> list[Choice]:
    """Place needs of one kind; return the choices, whose capacity is held.

    With ``partial`` as many of a gang's needs are placed as fit.
    """
    if not needs:
        return []
    kind = Kind.BATCH if partial else needs[0].kind
    return policy_for(kind)(ledger, needs)


@register_policy(Kind.LOOKUP)
def place_lookups(ledger: Ledger, needs: list[AttemptRequest]) -> list[Choice]:
    """Place each lookup on the worker with the most free slots."""
    choices: list[Choice] = []
    for need in needs:
        index = ledger.pool(need.pool)
        rows = index.most_free_slots(need.resources) if index else ()
        row = next(iter(rows), None)
        if row is not None:
            choices.append(_hold(ledger, row, need, slots=1))
    return choices


@register_policy(Kind.BATCH)
def place_best_fit(ledger: Ledger, needs: list[AttemptRequest]) -> list[Choice]:
    """Place each task where the remainder is smallest and most balanced."""
    choices: list[Choice] = []
    full: set[tuple[PoolName, Resources]] = set()
    for need in needs:
        shape = (need.pool, need.resources)
        if shape in full:
            continue
        index = ledger.pool(need.pool)
        row = index.best(need.resources, leftover_score) if index else None
        if row is None:
            full.add(shape)
            continue
        choices.append(_hold(ledger, row, need))
    return choices


@register_policy(Kind.GANG)
def place_gang(ledger: Ledger, needs: list[AttemptRequest]) -> list[Choice]:
    """Place all tasks or none, in a single rack if they fit in one."""
    racks = sorted(
        ledger.racks(needs[0].pool),
        key=_free_cores,
        reverse=True,
    )
    for rows in racks[:_MAX_RACKS_TRIED]:
        plan = _fill(rows, needs)
        if len(plan) == len(needs):
            return _hold_plan(ledger, plan, needs)
    spread = [row for rows in racks for row in rows]
    plan = _fill(spread, needs)
    if len(plan) < len(needs):
        return []
    return _hold_plan(ledger, plan, needs)


@register_policy(Kind.SERVICE)
def place_spread(ledger: Ledger, needs: list[AttemptRequest]) -> list[Choice]:
    """Spread the tasks of a service over zones, then racks, then workers."""
    counts: dict[str, int] = {}
    choices: list[Choice] = []
    for need in needs:
        index = ledger.pool(need.pool)
        rows = index.most_free(need.resources) if index else ()
        row = _least_crowded(rows, counts)
        if row is None:
            break
        for domain in (row.zone, row.rack, row.id):
            counts[domain] = counts.get(domain, 0) + 1
        choices.append(_hold(ledger, row, need))
    return choices


def leftover_score(row: WorkerCapacity, need: Resources) -> float:
    """Score what a placement would leave free on a worker; lower is better.

    Free processors without memory, or memory without processors, are of no
    use to the next task, so the difference of the two free fractions weighs
    more than their sum.
    """
    capacity = row.capacity
    cores = (row.cores - need.milli_cores) / max(capacity.milli_cores, 1)
    memory = (row.memory - need.memory_mib) / max(capacity.memory_mib, 1)
    return abs(cores - memory) + _SIZE_WEIGHT * (cores + memory)


def _least_crowded(
    rows: Iterable[WorkerCapacity], counts: dict[str, int]
) -> WorkerCapacity | None:
    return min(
        rows,
        key=lambda row: (
            counts.get(row.zone, 0),
            counts.get(row.rack, 0),
            counts.get(row.id, 0),
        ),
        default=None,
    )


def _free_cores(rows: list[WorkerCapacity]) -> int:
    return sum(row.cores for row in rows)


def _fill(
    rows: list[WorkerCapacity], needs: list[AttemptRequest]
) -> list[WorkerCapacity]:
    """Return a worker for each need that fits, without holding capacity."""
    plan: list[WorkerCapacity] = []
    need = needs[0].resources
    for row in rows:
        count = min(_count_fitting(row, need), len(needs) - len(plan))
        plan.extend([row] * count)
        if len(plan) == len(needs):
            break
    return plan


def _count_fitting(row: WorkerCapacity, need: Resources) -> int:
    """Return how many times a need fits on a worker; 1 if it is empty."""
    counts = [
        free // asked
        for free, asked in (
            (row.cores, need.milli_cores),
            (row.memory, need.memory_mib),
            (row.accelerators, need.accelerators),
        )
        if asked
    ]
    return max(min(counts), 0) if counts else 1


def _hold_plan(
    ledger: Ledger, plan: list[WorkerCapacity], needs: list[AttemptRequest]
) -> list[Choice]:
    return [
        _hold(ledger, row, need) for row, need in zip(plan, needs, strict=True)
    ]


def _hold(
    ledger: Ledger, row: WorkerCapacity, need: AttemptRequest, *, slots: int = 0
) -> Choice:
    ledger.allocate(
        need.attempt,
        worker=row.id,
        resources=need.resources,
        slots=slots,
    )
    return Choice(
        need=need,
        site=Site(worker=row.id, rack=row.rack, boot=row.boot),
    )
