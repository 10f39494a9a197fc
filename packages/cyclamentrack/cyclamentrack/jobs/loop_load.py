"""How much of an owner's event loop its rounds take, and how far it lags.

A round runs without a checkpoint, so whatever the owner exchanges meanwhile
waits for its end. Rounds are therefore spaced by what they cost.
"""

import contextlib
import logging
from collections.abc import Callable, Generator

import trio

from cyclamentrack.ids import PoolName

_log = logging.getLogger(__name__)

# Wakes within this time share a round.
_ROUND_GAP_S = 0.002
# The pause after a round, as a multiple of what it took: rounds take at most
# a quarter of the loop's time.
_PAUSE_FACTOR = 3.0
# A pause never keeps ready tasks longer than this.
_LONGEST_PAUSE_S = 0.4
# The lag of the loop is measured so often.
_PROBE_S = 0.05
# Starts that may be under way at a time. Each is answered within a quarter of
# a second, which covers several passes of the loop.
_MOST_STARTS = 64
_FEWEST_STARTS = 16
_MORE_STARTS = 2
# A loop that is later than this has too much under way.
_BUSY_LAG_S = 0.06
# An owner that lags by so much answers later than its peers expect.
_LAGS_S = 0.1
_LOG_GAP_S = 1.0
_MS_PER_S = 1000


class LoopLoad:
    """Measures the rounds and the event loop of one owner."""

    def __init__(self, *, pool: PoolName, clock: Callable[[], float]) -> None:
        """Measure with a steady clock that goes on within a round."""
        self.rounds = 0
        self.round_s = 0.0
        self.lag_s = 0.0
        self.most_starts = _MOST_STARTS
        self._pool = pool
        self._clock = clock
        self._logged_at = -_LOG_GAP_S

    @property
    def pause_s(self) -> float:
        """How long after the last round the next one may begin."""
        pause_s = _PAUSE_FACTOR * self.round_s
        return min(max(pause_s, _ROUND_GAP_S), _LONGEST_PAUSE_S)

    @contextlib.contextmanager
    def measured_round(self) -> Generator[None]:
        """Measure a round."""
        began = self._clock()
        try:
            yield
        finally:
            self.rounds += 1
            self.round_s = self._clock() - began

    async def watch(self, waiting: Callable[[], int]) -> None:
        """Measure the lag of the loop until cancelled."""
        while True:
            due = self._clock() + _PROBE_S
            await trio.sleep(_PROBE_S)
            self.lag_s = max(self._clock() - due, 0.0)
            self._adapt_starts()
            if self.lag_s >= _LAGS_S:
                self._log_lag(waiting())

    def _adapt_starts(self) -> None:
        """Halve the starts that may be under way while the loop is late."""
        if self.lag_s > _BUSY_LAG_S:
            self.most_starts = max(self.most_starts // 2, _FEWEST_STARTS)
        else:
            grown = self.most_starts + _MORE_STARTS
            self.most_starts = min(grown, _MOST_STARTS)

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
