"""Headroom: free processors that other work leaves for urgent work.

Urgent jobs are short and come in bursts; their objective leaves no time to
wait until a task of several seconds ends. So work that has time to wait
doesn't use the last part of a pool that urgent queues use, unless it would
miss its own objective. This is made for bursts of two to three times the usual
rate of lookups in a pool that batch work keeps full.
"""

# Share of a pool's processors. Lookups use about a fifth of their pool on
# average, and bursts double that.
_URGENT_SHARE = 0.2
# Work that must start within this time may use the headroom.
_IMMINENT_START_S = 1.0


class Headroom:
    """Free processors that work which can wait may still use in a round."""

    def __init__(
        self, *, total_milli: int, free_milli: int, urgent_queues: bool
    ) -> None:
        """Keep a share of all processors free if urgent queues use the pool."""
        share = _URGENT_SHARE if urgent_queues else 0.0
        self._available_milli = free_milli - int(share * total_milli)

    def allowed(
        self, *, wanted: int, need_milli: int, latest_start: float, now: float
    ) -> int:
        """Return how many tasks of a non-urgent step may be placed now.

        ``latest_start`` and ``now`` are steady times.

        >>> headroom = Headroom(
        ...     total_milli=100_000, free_milli=30_000, urgent_queues=True
        ... )
        >>> headroom.allowed(
        ...     wanted=9, need_milli=4_000, latest_start=9.0, now=0.0
        ... )
        2
        """
        if latest_start - now < _IMMINENT_START_S or not need_milli:
            return wanted
        return min(wanted, max(self._available_milli, 0) // need_milli)

    def subtract(self, milli_cores: int) -> None:
        """Subtract processors that were assigned to a step of any queue."""
        self._available_milli -= milli_cores
