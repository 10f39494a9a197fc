"""Health of the change feeds that a node follows in the store."""

import logging
import math
from collections.abc import Callable

import trio

_log = logging.getLogger(__name__)


class FeedHealth:
    """Whether the store answers a feed, and when it did so last.

    The first failure in a row and the answer that ends it are logged. Times
    are in seconds of trio's clock; the age also counts the time in which the
    machine was suspended, which ``suspended_s`` returns.
    """

    def __init__(
        self, *, name: str, suspended_s: Callable[[], float] = float
    ) -> None:
        """Start as a feed that was never answered."""
        self._name = name
        self._suspended_s = suspended_s
        self._suspended_before_s = 0.0
        self._answered_at: float | None = None
        self._known_at: float | None = None
        self._lost_at: float | None = None
        self._failures = 0

    @property
    def now(self) -> float:
        """The time, including that in which the machine was suspended."""
        return trio.current_time() + self._suspended_s()

    @property
    def unknown_s(self) -> float:
        """Seconds for which changes may have been made that aren't known."""
        if self._known_at is None:
            return math.inf
        return self.now - self._known_at

    @property
    def age_s(self) -> float | None:
        """Seconds since the last answer, ``None`` before the first one."""
        if self._answered_at is None:
            return None
        suspended_s = self._suspended_s() - self._suspended_before_s
        return trio.current_time() - self._answered_at + suspended_s

    def note_answer(self, asked_at: float | None = None) -> None:
        """Record an answer, including one without changes.

        All changes from before ``asked_at``, a reading of ``now``, are known.
        """
        if asked_at is not None:
            self._known_at = asked_at
        self._answered_at = trio.current_time()
        self._suspended_before_s = self._suspended_s()
        if self._lost_at is None:
            return
        _log.info(
            'feed regained feed=%s after_s=%.1f failures=%d',
            self._name,
            self._answered_at - self._lost_at,
            self._failures,
        )
        self._lost_at = None
        self._failures = 0

    def note_failure(self, error: Exception) -> None:
        """Record a call without a usable answer."""
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = trio.current_time()
            _log.warning('feed lost feed=%s: %s', self._name, error)
