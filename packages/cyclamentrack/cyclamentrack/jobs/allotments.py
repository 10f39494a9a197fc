"""Arithmetic of allotments: the parts of an account's cap that pools hold.

The owner of each pool starts tasks of an account only within its own part,
and only as far as the parts of the other pools leave room under the cap. No
message between owners is needed for that, whatever caps they know.
"""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.model import Token
from cyclamentrack.resources import NO_RESOURCES, Resources

Amounts = tuple[int, ...]
"""Thousandths of a core, MiB of memory, and accelerators."""

_DIMENSIONS = range(3)
_NOTHING: Amounts = (0, 0, 0)
# More than any cap, so that it limits nothing.
_UNLIMITED = 10**15


class Allotment(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One pool's part of the cap of an account.

    ``token`` is the fencing token of the owner that wrote it. ``wanted`` is
    what the pool needs while ``amount`` is less than that, and ``least`` the
    smallest amount with which it could start anything more. ``started_at_s``
    is the Unix time of its last start; of pools that can't all have their
    least amount, the one that has waited longest comes first.
    """

    token: Token
    amount: Resources
    wanted: Resources = NO_RESOURCES
    least: Resources = NO_RESOURCES
    started_at_s: float = 0.0


class AccountRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The allotments of one account, as they are stored.

    A pool may have runs that its amount doesn't cover if a dimension had no
    cap before. ``introduced`` is the version of the configuration in which an
    owner last noticed that, and ``awaited`` are the pools whose owners haven't
    covered their runs since. Until then nothing of the account starts.

    ``rolled_out`` is a version of the configuration that was in force
    everywhere when the row was written: the amounts that were raised under
    earlier versions are all in the row.
    """

    pools: dict[PoolName, Allotment] = msgspec.field(default_factory=dict)
    introduced: int = 0
    awaited: tuple[PoolName, ...] = ()
    rolled_out: int = 0


class Needs(msgspec.Struct, frozen=True, kw_only=True):
    """What a pool needs of an account's cap.

    ``used`` is in use, ``waiting`` is what could start if the cap allowed it,
    and ``first`` the need of the first start that the cap doesn't allow now.
    """

    used: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES
    first: Resources = NO_RESOURCES
    started_at_s: float = 0.0


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """What limits the starts of an account in one pool.

    ``amount`` is the pool's own, ``others`` the sum of the other pools', and
    ``share`` the own part of the split; it limits nothing in a dimension in
    which no other pool wants more than it has.
    """

    cap: Resources
    amount: Amounts
    others: Amounts
    share: Amounts

    def room(
        self, used: Resources, need: Resources, *, shared: bool, single: bool
    ) -> int | None:
        """Return how many more tasks may start, ``None`` without a limit.

        A ``single`` task that needs more than the cap may start if nothing
        else of the account runs in any pool. Only decisions that can wait are
        ``shared`` with other pools.
        """
        rooms = [
            found
            for dimension in _DIMENSIONS
            if (
                found := self._room_in(
                    dimension,
                    amounts(used)[dimension],
                    amounts(need)[dimension],
                    shared=shared,
                    single=single,
                )
            )
            is not None
        ]
        return min(rooms, default=None)

    def _room_in(
        self,
        dimension: int,
        used: int,
        need: int,
        *,
        shared: bool,
        single: bool,
    ) -> int | None:
        cap = amounts(self.cap)[dimension]
        if not cap or not need:
            return None
        amount = self.amount[dimension]
        others = self.others[dimension]
        limit = min(amount, cap - others)
        if shared:
            limit = min(limit, self.share[dimension])
        if need <= cap:
            return max((limit - used) // need, 0)
        alone = single and not used and not others and limit >= cap
        return int(alone and amount >= need)


def amounts(resources: Resources) -> Amounts:
    """Return the amounts of resources by dimension."""
    return (
        resources.milli_cores,
        resources.memory_mib,
        resources.accelerators,
    )


def resources(found: Iterable[int]) -> Resources:
    """Return the resources of amounts by dimension."""
    cores, memory, devices = found
    return Resources(milli_cores=cores, memory_mib=memory, accelerators=devices)


def is_capped(cap: Resources) -> bool:
    """Return whether a cap limits anything."""
    return any(amounts(cap))


def clip(need: Resources, cap: Resources) -> Resources:
    """Limit a need to the cap, without the dimensions that have no cap."""
    return resources(map(min, amounts(need), amounts(cap)))


def falls(before: Resources, after: Resources) -> bool:
    """Return whether a cap becomes lower, or is new, in a dimension."""
    return any(
        new and (not old or new < old)
        for old, new in zip(amounts(before), amounts(after), strict=True)
    )


def is_introduced(before: Resources, after: Resources) -> bool:
    """Return whether a dimension that had no cap gets one."""
    return any(
        new and not old
        for old, new in zip(amounts(before), amounts(after), strict=True)
    )


def tasks_within_cap(cap: Resources, need: Resources) -> int | None:
    """Return how many equal tasks a cap admits together, at least 1.

    >>> core = Resources(milli_cores=1000, memory_mib=100)
    >>> tasks_within_cap(Resources(milli_cores=3500, memory_mib=0), core)
    3
    """
    fitting = [
        whole // one
        for whole, one in zip(amounts(cap), amounts(need), strict=True)
        if whole and one
    ]
    return max(min(fitting), 1) if fitting else None


def gang_fits_cap(cap: Resources, need: Resources, count: int) -> bool:
    """Return whether all members of a gang together fit a cap."""
    return all(
        not whole or one * count <= whole
        for whole, one in zip(amounts(cap), amounts(need), strict=True)
    )


def others_total(row: AccountRow, pool: PoolName) -> Amounts:
    """Return the sum of the amounts of all pools but one."""
    found = [
        amounts(one.amount) for name, one in row.pools.items() if name != pool
    ]
    return _total(found)


def without_claims(
    row: AccountRow, configured: Collection[PoolName]
) -> AccountRow:
    """Return a row in which pools that aren't configured want nothing.

    Their owners may be gone for good.
    """
    if all(name in configured for name in row.pools):
        return row
    pools = {
        name: one
        if name in configured
        else msgspec.structs.replace(
            one, wanted=NO_RESOURCES, least=NO_RESOURCES
        )
        for name, one in row.pools.items()
    }
    return msgspec.structs.replace(row, pools=pools)


def wants_more(row: AccountRow, pool: PoolName) -> tuple[bool, ...]:
    """Return by dimension whether another pool wants more than it has."""
    found = [_unmet(one) for name, one in row.pools.items() if name != pool]
    return tuple(
        any(one[dimension] for one in found) for dimension in _DIMENSIONS
    )


def fair_split(
    cap: Resources, claims: Mapping[PoolName, Allotment]
) -> dict[PoolName, Amounts]:
    """Split a cap among pools by what they want.

    The pools that have waited longest get their least amount, as far as that
    goes. In each dimension, the rest is split so that the smallest amounts are
    as large as possible (max-min fairness).
    """
    ordered = sorted(claims, key=lambda name: (claims[name].started_at_s, name))
    first: dict[PoolName, Amounts] = {}
    left = amounts(cap)
    for name in ordered:
        least = amounts(clip(claims[name].least, cap))
        granted = all(map(int.__le__, least, left))
        first[name] = least if granted else _NOTHING
        left = _minus(left, first[name])
    by_dimension = [
        _fill(
            amounts(cap)[dimension],
            {
                name: (
                    first[name][dimension],
                    amounts(claims[name].wanted)[dimension],
                )
                for name in ordered
            },
        )
        for dimension in _DIMENSIONS
    ]
    return {
        name: tuple(parts[name] for parts in by_dimension) for name in claims
    }


def entitlement(
    cap: Resources, row: AccountRow, pool: PoolName, needs: Needs
) -> Amounts:
    """Return a pool's part of the split if it wanted the whole cap."""
    own = Allotment(
        token=Token(0),
        amount=NO_RESOURCES,
        wanted=cap,
        least=_least(cap, needs, pools=len({*row.pools, pool})),
        started_at_s=needs.started_at_s,
    )
    return fair_split(cap, {**row.pools, pool: own})[pool]


def holding(
    cap: Resources,
    row: AccountRow,
    pool: PoolName,
    needs: Needs,
    amount: Resources,
) -> Holding:
    """Return what limits a pool's starts if its own part is ``amount``."""
    contested = wants_more(row, pool)
    share = (_UNLIMITED, _UNLIMITED, _UNLIMITED)
    if any(contested):
        split = entitlement(cap, row, pool, needs)
        share = tuple(
            split[dimension] if contested[dimension] else _UNLIMITED
            for dimension in _DIMENSIONS
        )
    return Holding(
        cap=cap,
        amount=amounts(amount),
        others=others_total(row, pool),
        share=share,
    )


def next_allotment(
    cap: Resources,
    row: AccountRow,
    pool: PoolName,
    needs: Needs,
    *,
    token: Token,
    pools: int,
) -> Allotment:
    """Return the allotment that a pool should have.

    It covers what is in use. Beyond that it takes from what no pool has; while
    another pool wants more than it has, no more than its part of the split.
    ``pools`` is the number of configured pools, 0 if this one isn't any more;
    then it keeps nothing that it doesn't need.
    """
    own = row.pools.get(pool) if pools else None
    wanted = _clip_to_used(needs.used.plus(needs.waiting), needs.used, cap)
    taken = [
        _next_amount(
            cap=amounts(cap)[dimension],
            held=amounts(own.amount)[dimension] if own else None,
            others=others_total(row, pool)[dimension],
            used=amounts(needs.used)[dimension],
            wanted=wanted[dimension],
            first=amounts(needs.first)[dimension],
            split=(
                entitlement(cap, row, pool, needs)[dimension]
                if wants_more(row, pool)[dimension]
                else None
            ),
            equal=amounts(cap)[dimension] // pools if pools else 0,
        )
        for dimension in _DIMENSIONS
    ]
    unmet = any(map(int.__gt__, wanted, taken))
    return Allotment(
        token=token,
        amount=resources(taken),
        wanted=resources(wanted) if unmet else NO_RESOURCES,
        least=(
            _least(cap, needs, pools=len({*row.pools, pool}))
            if unmet
            else NO_RESOURCES
        ),
        started_at_s=needs.started_at_s,
    )


def must_be_stored(
    cap: Resources, row: AccountRow, pool: PoolName, new: Allotment
) -> bool:
    """Return whether a new allotment changes anything for any pool.

    What a pool wants changes often, and most changes leave the split as it is.
    """
    old = row.pools.get(pool)
    if old is None or old.token != new.token or old.amount != new.amount:
        return True
    if _unmet(old) != _unmet(new):
        return True
    if not any(_unmet(new)):
        return False
    after = {**row.pools, pool: new}
    return fair_split(cap, row.pools) != fair_split(cap, after)


def _next_amount(
    *,
    cap: int,
    held: int | None,
    others: int,
    used: int,
    wanted: int,
    first: int,
    split: int | None,
    equal: int,
) -> int:
    if not cap:
        return 0
    free = cap - others
    alone = not used and not others and (split is None or split >= cap)
    if first > cap and alone:
        return first
    kept = equal if held is None or held > free else held
    wish = max(wanted, kept) if split is None else min(wanted, split)
    return max(used, min(wish, free))


def _clip_to_used(
    wanted: Resources, used: Resources, cap: Resources
) -> Amounts:
    """Limit what a pool wants to the cap, but not below what is in use."""
    return tuple(
        max(min(need, whole), now) if whole else 0
        for need, whole, now in zip(
            amounts(wanted), amounts(cap), amounts(used), strict=True
        )
    )


def _least(cap: Resources, needs: Needs, *, pools: int) -> Resources:
    """Return the amount that a pool needs to start anything more.

    It is nothing if the first start fits an equal part of the cap. Such a pool
    gets its turn as its own runs end, and pools that took turns at one task
    more than their part would go on exchanging it.
    """
    if not any(amounts(needs.first)) or _fits_part(cap, needs.first, pools):
        return NO_RESOURCES
    return clip(needs.used.plus(needs.first), cap)


def _fits_part(cap: Resources, need: Resources, pools: int) -> bool:
    return all(
        not whole or one <= whole // pools
        for whole, one in zip(amounts(cap), amounts(need), strict=True)
    )


def _unmet(one: Allotment) -> tuple[bool, ...]:
    return tuple(map(int.__gt__, amounts(one.wanted), amounts(one.amount)))


def _total(found: Iterable[Amounts]) -> Amounts:
    return tuple(map(sum, zip(_NOTHING, *found, strict=True)))


def _minus(whole: Amounts, part: Amounts) -> Amounts:
    return tuple(map(int.__sub__, whole, part))


def _fill(
    whole: int, claims: Mapping[PoolName, tuple[int, int]]
) -> dict[PoolName, int]:
    """Raise all parts to a common level that uses the whole up.

    Each claim has a least and a wanted amount; what is left over by rounding
    goes to the first ones.
    """

    def level_parts(level: int) -> dict[PoolName, int]:
        return {
            name: max(least, min(wanted, level))
            for name, (least, wanted) in claims.items()
        }

    low, high = 0, whole
    while low < high:
        middle = (low + high + 1) // 2
        if sum(level_parts(middle).values()) <= whole:
            low = middle
        else:
            high = middle - 1
    parts = level_parts(low)
    left = whole - sum(parts.values())
    for name, (_, wanted) in claims.items():
        if left > 0 and parts[name] < wanted:
            parts[name] += 1
            left -= 1
    return parts
