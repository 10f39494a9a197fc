"""How much memory pools may take, and what their owners have left of it."""

from collections.abc import Callable, Iterable

import msgspec
import trio

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.admission import PoolFigures
from cyclamentrack.jobs.claims import LeaseTracker
from cyclamentrack.jobs.model import Configuration
from cyclamentrack.jobs.owner import SliceOwner
from cyclamentrack.jobs.records import Member
from cyclamentrack.jobs.room import Room

_MIB = 1 << 20
# Connections of callers and their requests have another half of the memory.
_MEMORY_PART = 4
# A node that takes over has the other pools of the cell at worst, and there are
# usually two.
_LEAST_POOLS = 2
_LEAST_LIMIT = 8 * _MIB
# An owner looks at all open steps in each round, which takes time.
_MOST_LIMIT = 24 * _MIB


def pool_limit(
    members: Iterable[Member], configuration: Configuration | None
) -> int | None:
    """Return the bytes that the jobs of each pool may take at its owner.

    The smallest member counts, since any of them may have to take over all
    pools. ``None`` means that no member's memory is known.
    """
    known = [one.memory_mb for one in members if one.memory_mb]
    if not known:
        return None
    pools = len(configuration.pools) if configuration else 0
    whole = int(min(known) * _MIB) // _MEMORY_PART
    share = whole // max(pools, _LEAST_POOLS)
    return min(max(share, _LEAST_LIMIT), _MOST_LIMIT)


class _Taken(msgspec.Struct, kw_only=True):
    """What a node has accepted since the owner published its figures."""

    figures: PoolFigures
    size: int = 0


class PoolRooms:
    """Decides whether a pool's owner has room for a new job.

    An owner on this node is asked itself. Others publish their room with each
    renewal of their leases; until the next one, each node subtracts what it
    has accepted. Several nodes may accept too much together, so an owner parks
    what it has no room for.
    """

    def __init__(
        self,
        *,
        leases: LeaseTracker,
        owner: Callable[[PoolName], SliceOwner | None],
    ) -> None:
        """Look up the owners on this node, and the leases of the others."""
        self._leases = leases
        self._owner = owner
        self._taken: dict[PoolName, _Taken] = {}

    def admits(self, pool: PoolName, size: int) -> bool:
        """Return whether there is room for a job; true if that is unknown."""
        room = self._room(pool)
        return room is None or room.admits(size)

    def admits_cancellations(self, pool: PoolName) -> bool:
        """Return whether there is room to cancel unknown jobs."""
        room = self._room(pool)
        return room is None or room.admits_cancellations

    def subtract(self, pool: PoolName, size: int) -> None:
        """Subtract a job that is about to be stored."""
        taken = self._taken_of(pool)
        if taken is not None:
            taken.size += size

    def _room(self, pool: PoolName) -> Room | None:
        owner = self._owner(pool)
        if owner is not None and owner.recovered.is_set():
            return owner.registry.room
        taken = self._taken_of(pool)
        if taken is None or taken.figures.room is None:
            return None
        return taken.figures.room.less(taken.size)

    def _taken_of(self, pool: PoolName) -> _Taken | None:
        """Return what was taken, ``None`` without recent figures."""
        figures = self._leases.figures(pool, now=trio.current_time())
        if figures is None:
            return None
        taken = self._taken.get(pool)
        if taken is None or taken.figures is not figures:
            taken = _Taken(figures=figures)
            self._taken[pool] = taken
        return taken
