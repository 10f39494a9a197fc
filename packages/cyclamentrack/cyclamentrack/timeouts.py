"""Timeouts that don't count the time in which the event loop was blocked."""

import logging
from collections import deque
from collections.abc import Generator
from contextlib import contextmanager

import msgspec
import trio

_log = logging.getLogger(__name__)

# Interval of the lag measurement; what a tick takes beyond it is lag.
_TICK_S = 0.05
# The most that lag extends a timeout by.
_MAX_STRETCH_S = 1.5
# The number of ticks over which the largest lag is reported.
_RECENT_TICKS = 20
# A larger lag is logged, at most once in the interval.
_LOGGED_LAG_S = 0.25
_LOG_INTERVAL_S = 1.0


class TimeLimit(msgspec.Struct, kw_only=True, eq=False):
    """The limit of one wait: when it ends in running time, and its scope."""

    scope: trio.CancelScope
    until: float
    timeouts: 'LagAwareTimeouts'

    def extend(self, seconds: float) -> None:
        """Let the wait last for ``seconds`` from now at least."""
        self.until = max(self.until, self.timeouts.running_s + seconds)
        self.scope.deadline = max(
            self.scope.deadline, self.timeouts.deadline(seconds)
        )


class LagAwareTimeouts:
    """Timeouts that are measured in the time in which the loop ran.

    An answer that arrives in a socket while the loop is blocked isn't late.
    While ``run`` isn't running, they are ordinary deadlines.
    """

    def __init__(self) -> None:
        """Start with no lag measured; ``running_s`` is the running time."""
        self.running_s = 0.0
        self._running = False
        self._active_waits: set[TimeLimit] = set()
        self._lags: deque[float] = deque(maxlen=_RECENT_TICKS)
        self._logged_at = 0.0

    @property
    def lag_s(self) -> float:
        """The longest time in seconds that the loop was blocked recently.

        "Recently" is the last ``_RECENT_TICKS`` ticks, a second or more.
        """
        return max(self._lags, default=0.0)

    async def run(self) -> None:
        """Measure the loop's lag and cancel late waits, until cancelled."""
        self._running = True
        try:
            while True:
                started_at = trio.current_time()
                await trio.sleep(_TICK_S)
                self._tick(trio.current_time() - started_at)
        finally:
            self._running = False

    @contextmanager
    def limit(self, seconds: float) -> Generator[TimeLimit]:
        """Cancel the body once the loop has run for ``seconds`` in it."""
        wait = TimeLimit(
            scope=trio.CancelScope(deadline=self.deadline(seconds)),
            until=self.running_s + seconds,
            timeouts=self,
        )
        self._active_waits.add(wait)
        try:
            with wait.scope:
                yield wait
        finally:
            self._active_waits.discard(wait)

    def deadline(self, seconds: float) -> float:
        """Return when ``seconds`` of running time have passed for certain."""
        stretch_s = _MAX_STRETCH_S if self._running else 0.0
        return trio.current_time() + seconds + stretch_s

    def _tick(self, elapsed_s: float) -> None:
        self.running_s += min(elapsed_s, _TICK_S)
        self._lags.append(max(elapsed_s - _TICK_S, 0.0))
        self._log_lag()
        for wait in self._active_waits:
            if wait.until <= self.running_s:
                wait.scope.cancel()

    def _log_lag(self) -> None:
        now = trio.current_time()
        lag_s = self._lags[-1]
        if lag_s > _LOGGED_LAG_S and now - self._logged_at > _LOG_INTERVAL_S:
            self._logged_at = now
            _log.warning('event loop blocked lag_ms=%d', int(lag_s * 1000))
