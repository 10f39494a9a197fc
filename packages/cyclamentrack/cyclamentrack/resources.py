"""Amounts of processors, memory and accelerators."""

from typing import Annotated

import msgspec

_MAX_MILLI_CORES = 10**10
_MAX_MEMORY_MIB = 10**12
_MAX_ACCELERATORS = 10**6

MilliCores = Annotated[int, msgspec.Meta(ge=0, le=_MAX_MILLI_CORES)]
MemoryMib = Annotated[int, msgspec.Meta(ge=0, le=_MAX_MEMORY_MIB)]
Accelerators = Annotated[int, msgspec.Meta(ge=0, le=_MAX_ACCELERATORS)]


class Resources(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The resources that one task needs or that one worker has.

    ``milli_cores`` are thousandths of a processor core, ``memory_mib`` is in
    MiB and ``accelerators`` counts whole devices.

    >>> Resources(milli_cores=1500, memory_mib=512).fits(
    ...     Resources(milli_cores=2000, memory_mib=512),
    ... )
    True
    """

    milli_cores: MilliCores
    memory_mib: MemoryMib
    accelerators: Accelerators = 0

    def fits(self, available: 'Resources') -> bool:
        """Return whether ``available`` is enough in every dimension."""
        return (
            self.milli_cores <= available.milli_cores
            and self.memory_mib <= available.memory_mib
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of two amounts."""
        return Resources(
            milli_cores=self.milli_cores + other.milli_cores,
            memory_mib=self.memory_mib + other.memory_mib,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference of two amounts, each dimension at least 0."""
        return Resources(
            milli_cores=max(self.milli_cores - other.milli_cores, 0),
            memory_mib=max(self.memory_mib - other.memory_mib, 0),
            accelerators=max(self.accelerators - other.accelerators, 0),
        )

    def times(self, count: int) -> 'Resources':
        """Return this amount ``count`` times."""
        return Resources(
            milli_cores=self.milli_cores * count,
            memory_mib=self.memory_mib * count,
            accelerators=self.accelerators * count,
        )

    def times_in(self, whole: 'Resources') -> int:
        """Return how many times this amount fits into ``whole``.

        An empty amount fits zero times.
        """
        pairs = (
            (self.milli_cores, whole.milli_cores),
            (self.memory_mib, whole.memory_mib),
            (self.accelerators, whole.accelerators),
        )
        return min((there // one for one, there in pairs if one), default=0)

    def dominant_share(self, whole: 'Resources') -> float:
        """Return the largest fraction of ``whole`` over all dimensions."""
        return max(
            _fraction(self.milli_cores, whole.milli_cores),
            _fraction(self.memory_mib, whole.memory_mib),
            _fraction(self.accelerators, whole.accelerators),
        )

    def weighted_share(self, whole: 'Resources', *, weight: float) -> float:
        """Return the dominant share of an owner of this weight.

        Dominant resource fairness serves the smallest such share first. The
        share of an owner of weight 0 is infinite.
        """
        if not weight:
            return float('inf')
        return self.dominant_share(whole) / weight


NO_RESOURCES = Resources(milli_cores=0, memory_mib=0)


def _fraction(part: int, whole: int) -> float:
    if not part:
        return 0
    if not whole:
        return float('inf')
    return part / whole
