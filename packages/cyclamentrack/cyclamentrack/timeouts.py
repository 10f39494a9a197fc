"""Time limits that leave out the time in which the event loop was held up."""

import logging
from collections import deque
from collections.abc import Generator
from contextlib import contextmanager

import msgspec
import trio

_log = logging.getLogger(__name__)

# A pause between two ticks counts as so long; the rest is lag.
_TICK_S = 0.05
# A limit is stretched by this much at most, however long the loop lags.
_MOST_STRETCH_S = 1.5
# Ticks whose lag counts as recent, and a lag that is logged.
_RECENT_TICKS = 20
_LOGGED_LAG_S = 0.25
_LOG_GAP_S = 1.0


class _Wait(msgspec.Struct, kw_only=True, eq=False):
    scope: trio.CancelScope
    until: float


class LagAwareTimeouts:
    """Limits waits by the time in which the loop ran.

    An answer that lies in a socket while the loop is held up isn't late.
    Before ``run``, limits are usual deadlines.
    """

    def __init__(self) -> None:
        """Know of no lag."""
        self._ran_s = 0.0
        self._running = False
        self._queue_waits: set[_Wait] = set()
        self._lags: deque[float] = deque(maxlen=_RECENT_TICKS)
        self._logged_at = 0.0

    @property
    def lag_s(self) -> float:
        """The longest time in the last second that the loop was held up."""
        return max(self._lags, default=0.0)

    async def run(self) -> None:
        """Measure the loop's lag and end waits, until cancelled."""
        self._running = True
        try:
            while True:
                began = trio.current_time()
                await trio.sleep(_TICK_S)
                self._tick(trio.current_time() - began)
        finally:
            self._running = False

    @contextmanager
    def limit(self, seconds: float) -> Generator[trio.CancelScope]:
        """Cancel what is under way once the loop has run for so long."""
        stretch = _MOST_STRETCH_S if self._running else 0.0
        wait = _Wait(
            scope=trio.CancelScope(
                deadline=trio.current_time() + seconds + stretch,
            ),
            until=self._ran_s + seconds,
        )
        self._queue_waits.add(wait)
        try:
            with wait.scope:
                yield wait.scope
        finally:
            self._queue_waits.discard(wait)

    def _tick(self, passed_s: float) -> None:
        self._ran_s += min(passed_s, _TICK_S)
        self._lags.append(max(passed_s - _TICK_S, 0.0))
        self._log_lag()
        for wait in self._queue_waits:
            if wait.until <= self._ran_s:
                wait.scope.cancel()

    def _log_lag(self) -> None:
        now = trio.current_time()
        lag_s = self._lags[-1]
        if lag_s > _LOGGED_LAG_S and now - self._logged_at > _LOG_GAP_S:
            self._logged_at = now
            _log.warning('event loop held up lag_ms=%d', int(lag_s * 1000))
