"""Selects what to stop on one worker so that a need fits there."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from cyclamentrack.resources import Resources

_Candidate = TypeVar('_Candidate')


def stops_to_fit(
    need: Resources,
    *,
    free: Resources,
    candidates: Iterable[_Candidate],
    need_of: Callable[[_Candidate], Resources],
) -> list[_Candidate]:
    """Return the first candidates that must be stopped so that a need fits.

    Return none when the need fits without, or wouldn't fit even if all were
    stopped.

    >>> core = Resources(milli_cores=1000, memory_mib=1)
    >>> stops_to_fit(
    ...     core.times(2),
    ...     free=core,
    ...     candidates=['a', 'b'],
    ...     need_of=lambda name: core,
    ... )
    ['a']
    """
    stops: list[_Candidate] = []
    for candidate in candidates:
        if need.fits(free):
            break
        free = free.plus(need_of(candidate))
        stops.append(candidate)
    return stops if need.fits(free) else []
