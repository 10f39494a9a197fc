"""Throttles best-effort tasks that share a worker with serving tasks.

The best-effort tasks of a worker are slowed down at once when the response
time of a serving task gets near its target, and sped up slowly while all
serving tasks are well below their targets.
"""

from collections.abc import Iterable

import msgspec

# Slow down from this share of a serving task's target on; the rest of the
# target is a margin for load that changes within seconds.
_HIGH_SHARE = 0.8
# Speed up below this share.
_LOW_SHARE = 0.55
_DOWN_FACTOR = 0.4
_UP_STEP = 10
# A pace below this is set to 0.
_MIN_PERCENT = 5
_FULL_PERCENT = 100


class ServingReading(msgspec.Struct, frozen=True, kw_only=True):
    """Tail response time of a serving task and its target, milliseconds."""

    tail_ms: float
    target_ms: float


def next_pace(current: int, readings: Iterable[ServingReading]) -> int:
    """Return the percentage of full speed for best-effort tasks.

    >>> next_pace(100, [ServingReading(tail_ms=95, target_ms=100)])
    40
    """
    shares = [
        reading.tail_ms / reading.target_ms
        for reading in readings
        if reading.target_ms > 0
    ]
    worst = max(shares, default=0.0)
    if worst >= _HIGH_SHARE:
        slowed = int(current * _DOWN_FACTOR)
        return slowed if slowed >= _MIN_PERCENT else 0
    if worst < _LOW_SHARE:
        return min(current + _UP_STEP, _FULL_PERCENT)
    return current
