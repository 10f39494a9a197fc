"""Logs when the store stops and starts confirming an owner's claim."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import SliceOwner

_log = logging.getLogger(__name__)

_WORKERS_LOGGED = 40
# By then no worker that is cut off still counts as answering.
_LOG_AFTER_S = 3.0


class ClaimHealth:
    """Since when the renewals of one owner's lease have failed."""

    def __init__(self, *, owner: SliceOwner) -> None:
        """Start as confirmed."""
        self._owner = owner
        self._failing_since: float | None = None
        self._logged = False

    def note_success(self) -> None:
        """Record that the store has confirmed the claim."""
        if self._logged:
            self._log_state('claim confirmed again')
        self._failing_since = None
        self._logged = False

    def note_failure(self, began_at: float) -> float:
        """Record a failed renewal; return for how long they have failed."""
        if self._failing_since is None:
            self._failing_since = began_at
            return 0.0
        return trio.current_time() - self._failing_since

    def note_unconfirmed(self) -> None:
        """Log once that the claim can be neither confirmed nor transferred."""
        since = self._failing_since
        if self._logged or since is None:
            return
        if trio.current_time() - since >= _LOG_AFTER_S:
            self._log_state('claim unconfirmed')
            self._logged = True

    def _log_state(self, event: str) -> None:
        """Log the claim's state, and which workers answer its owner."""
        owner = self._owner
        now = trio.current_time()
        workers = owner.fleet.workers.values()
        answering = [one.entry.id for one in workers if one.answers(now=now)]
        _log.warning(
            '%s pool=%s token=%d for_s=%.1f workers=%d answering=%s',
            event,
            owner.claim.pool,
            owner.claim.token,
            now - (self._failing_since or now),
            len(workers),
            ','.join(answering[:_WORKERS_LOGGED]),
        )
