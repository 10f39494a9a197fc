"""Measures the load of an owner's event loop by its rounds, and the loop's lag.

A round runs without a checkpoint, so all of the owner's communication waits
until it ends. Rounds are therefore spaced by how long they take.
"""

import contextlib
import logging
from collections.abc import Callable, Generator

import trio

from cyclamentrack.ids import PoolName

_log = logging.getLogger(__name__)

# Wake-ups within this time lead to one round only.
_ROUND_GAP_S = 0.002
# The pause after a round, as a multiple of the round's duration, so that
# rounds take at most a quarter of the loop's time.
_PAUSE_FACTOR = 3.0
# A pause never delays ready tasks longer than this.
_MAX_PAUSE_S = 0.4
# The lag of the loop is measured at this interval.
_LAG_INTERVAL_S = 0.05
# Most starts in flight at a time. Workers answer each within a quarter of a
# second, which covers several iterations of the loop.
_MAX_STARTS = 64
_MIN_STARTS = 16
_STARTS_INCREASE = 2
# A loop that lags by more than this has too many starts in flight.
_BUSY_LAG_S = 0.06
# An owner that lags by this much answers later than its peers expect.
_LAG_WARNING_S = 0.1
_LOG_GAP_S = 1.0
_MS_PER_S = 1000


class LoopLoad:
    """Measures the rounds and the event loop lag of one owner."""

    def __init__(self, *, pool: PoolName, clock: Callable[[], float]) -> None:
        """Measure with a steady clock that also advances within a round."""
        self.rounds = 0
        self.round_s = 0.0
        self.lag_s = 0.0
        self.max_starts = _MAX_STARTS
        self._pool = pool
        self._clock = clock
        self._logged_at = -_LOG_GAP_S

    @property
    def pause_s(self) -> float:
        """How long to wait after the last round before the next one."""
        pause_s = _PAUSE_FACTOR * self.round_s
        return min(max(pause_s, _ROUND_GAP_S), _MAX_PAUSE_S)

    @contextlib.contextmanager
    def measured_round(self) -> Generator[None]:
        """Measure the duration of a round."""
        began = self._clock()
        try:
            yield
        finally:
            self.rounds += 1
            self.round_s = self._clock() - began

    async def watch(self, waiting: Callable[[], int]) -> None:
        """Measure the lag of the loop until cancelled."""
        while True:
            due = self._clock() + _LAG_INTERVAL_S
            await trio.sleep(_LAG_INTERVAL_S)
            self.lag_s = max(self._clock() - due, 0.0)
            self._adapt_starts()
            if self.lag_s >= _LAG_WARNING_S:
                self._log_lag(waiting())

    def _adapt_starts(self) -> None:
        """Halve the allowed starts in flight if the loop lags, or add some."""
        if self.lag_s > _BUSY_LAG_S:
            self.max_starts = max(self.max_starts // 2, _MIN_STARTS)
        else:
            grown = self.max_starts + _STARTS_INCREASE
            self.max_starts = min(grown, _MAX_STARTS)

    def _log_lag(self, waiting: int) -> None:
        now = trio.current_time()
        if now - self._logged_at < _LOG_GAP_S:
            return
        self._logged_at = now
        _log.warning(
            'owner lags pool=%s lag_ms=%d round_ms=%d waiting=%d',
            self._pool,
            int(self.lag_s * _MS_PER_S),
            int(self.round_s * _MS_PER_S),
            waiting,
        )
