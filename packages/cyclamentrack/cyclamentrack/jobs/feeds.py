"""Health of the change feeds that a node follows in the store."""

import logging
import math
from collections.abc import Callable

import msgspec
import trio

_log = logging.getLogger(__name__)


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """When a version of the configuration was stored, and read by this node.

    Times are readings of ``FeedHealth.now``.
    """

    stored_after: float = -math.inf
    read_at: float = -math.inf


class FeedHealth:
    """Whether the store answers a feed, and when it did so last.

    The first failure in a row and the answer that ends it are logged. Times
    are in seconds of trio's clock; the age also counts the time in which the
    machine was suspended, which ``suspended_s`` returns. All changes from
    before ``known_at``, an earlier reading of ``now``, have been taken over.
    What an entry says for ``longest_gap_s`` or longer is read by a feed that is
    answered at least that often.
    """

    def __init__(
        self,
        *,
        name: str,
        suspended_s: Callable[[], float] = float,
        longest_gap_s: float = math.inf,
    ) -> None:
        """Start as a feed that was never answered."""
        self._name = name
        self._suspended_s = suspended_s
        self._longest_gap_s = longest_gap_s
        self._followed_since = math.inf
        self._suspended_before_s = 0.0
        self._answered_at: float | None = None
        self.known_at = -math.inf
        self._lost_at: float | None = None
        self._failures = 0

    @property
    def now(self) -> float:
        """The time, including that in which the machine was suspended."""
        return trio.current_time() + self._suspended_s()

    @property
    def unknown_s(self) -> float:
        """Seconds for which changes may have been made that aren't known."""
        return self.now - self.known_at

    @property
    def age_s(self) -> float | None:
        """Seconds since the last answer, ``None`` before the first one."""
        if self._answered_at is None:
            return None
        suspended_s = self._suspended_s() - self._suspended_before_s
        return trio.current_time() - self._answered_at + suspended_s

    def followed_since(self, at: float) -> bool:
        """Return whether no entry can have gone unread since a steady time."""
        return self._in_time and at >= self._followed_since

    def note_answer(self, asked_at: float | None = None) -> None:
        """Record an answer, including one without changes.

        ``asked_at`` is the reading of ``now`` before the call.
        """
        if asked_at is not None:
            self.known_at = asked_at
        if not self._in_time:
            self._followed_since = trio.current_time()
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

    @property
    def _in_time(self) -> bool:
        age_s = self.age_s
        return age_s is not None and age_s < self._longest_gap_s


class Rollouts:
    """The versions of the configuration that may still be rolled out.

    A version is in force everywhere ``rollout_s`` after it was stored.
    """

    def __init__(self, *, rollout_s: float) -> None:
        """Start before the first version."""
        self._rollout_s = rollout_s
        self._recent = [Rollout()]

    def note(self, feed: FeedHealth) -> None:
        """Record that a version is being read from the feed."""
        self._recent.append(
            Rollout(stored_after=feed.known_at, read_at=feed.now)
        )

    def recent(self, now: float) -> Rollout:
        """Return bounds for the last version and all that are rolled out."""
        over = now - self._rollout_s
        last = self._recent[-1]
        found = [one for one in self._recent if one.read_at > over]
        self._recent = found or [last]
        return Rollout(
            stored_after=min(one.stored_after for one in self._recent),
            read_at=last.read_at,
        )
