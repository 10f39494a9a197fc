"""Reservations at the owner of a worker: try, confirm, cancel (TCC).

A reservation holds capacity until it is confirmed, cancelled or expires. A
cancel leaves a tombstone, so that a reserve that arrives after its cancel is
refused. The tombstone is the protected branch record of the TCC scheme
described for seadt (empty rollback and hanging branches);
``docs/design.md`` has the measurements for it.
"""

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.ids import AttemptId, Epoch, PartitionId
from cyclamentrack.messages import AttemptRequest, Origin, Site


class Reservation(msgspec.Struct, kw_only=True, eq=False):
    """Capacity held for one attempt.

    ``expires_at`` is in seconds on this daemon's clock.
    """

    need: AttemptRequest
    site: Site
    origin: Origin
    expires_at: float


class ReservationTable:
    """The reservations that a daemon has granted."""

    def __init__(self, *, tombstones: bool = True) -> None:
        """Start empty; without ``tombstones`` a late reserve is granted."""
        self._reservations: dict[AttemptId, Reservation] = {}
        self._tombstones: dict[AttemptId, float] = {}
        self._epochs: dict[PartitionId, Epoch] = {}
        self._uses_tombstones = tombstones

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._reservations)

    def waiting(self) -> list[Reservation]:
        """Return the reservations that are neither confirmed nor expired."""
        return list(self._reservations.values())

    def is_stale(self, origin: Origin) -> bool:
        """Return whether a newer owner of the partition has sent a request.

        The origin's epoch is recorded if it is the newest so far.
        """
        seen = self._epochs.get(origin.partition, origin.epoch)
        self._epochs[origin.partition] = max(seen, origin.epoch)
        return origin.epoch < seen

    def find(self, attempt: AttemptId) -> Reservation | None:
        """Return the reservation of an attempt, or ``None``."""
        return self._reservations.get(attempt)

    def is_refused(self, attempt: AttemptId) -> bool:
        """Return whether an attempt has a tombstone."""
        return attempt in self._tombstones

    def grant(
        self, *, need: AttemptRequest, site: Site, origin: Origin
    ) -> None:
        """Record capacity that the ledger already holds."""
        self._reservations[need.attempt] = Reservation(
            need=need,
            site=site,
            origin=origin,
            expires_at=trio.current_time() + defaults.RESERVATION_S,
        )

    def remove(self, attempt: AttemptId) -> Reservation | None:
        """Remove and return a reservation without leaving a tombstone."""
        return self._reservations.pop(attempt, None)

    def cancel(self, attempt: AttemptId) -> Reservation | None:
        """Remove a reservation and refuse the attempt for ``TOMBSTONE_S``."""
        if self._uses_tombstones:
            until = trio.current_time() + defaults.TOMBSTONE_S
            self._tombstones[attempt] = until
        return self._reservations.pop(attempt, None)

    def expire(self) -> list[Reservation]:
        """Remove and return expired reservations; drop old tombstones."""
        now = trio.current_time()
        old = [
            attempt
            for attempt, until in self._tombstones.items()
            if until <= now
        ]
        for attempt in old:
            self._tombstones.pop(attempt)
        late = [
            attempt
            for attempt, entry in self._reservations.items()
            if entry.expires_at <= now
        ]
        return [self._reservations.pop(attempt) for attempt in late]
