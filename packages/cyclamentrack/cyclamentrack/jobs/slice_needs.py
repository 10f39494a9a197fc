"""Which slices need an owner, and the end of those that need none any more.

A pool that the configuration no longer names may still have jobs.
"""

import logging
from collections.abc import Callable

import trio

from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.claims import LeaseRenewer, LeaseTracker
from cyclamentrack.jobs.journal import OwnershipLostError
from cyclamentrack.jobs.model import Configuration
from cyclamentrack.jobs.owner import SliceOwner
from cyclamentrack.jobs.ports import StoreRefusedError

_log = logging.getLogger(__name__)

_CHECK_S = 5.0
# Longer than nodes may use an older configuration and the store may delay a
# write of theirs.
_RETIRE_AFTER_S = 60.0
# A slice may be retired while a job of it is being stored. An owner that has
# renewed its lease for longer than this knows of the job.
_STORED_S = 10.0


class SliceNeeds:
    """The slices that need an owner, as far as one node knows."""

    def __init__(self, *, lease_tracker: LeaseTracker) -> None:
        """Know of no stored jobs yet."""
        self._leases = lease_tracker
        self._stored_at: dict[PoolName, float] = {}

    def note_stored(self, pool: PoolName) -> None:
        """Note that a job of a pool has just been stored."""
        self._stored_at[pool] = trio.current_time()

    def pools(self, configuration: Configuration | None) -> list[PoolName]:
        """Return the slices that need an owner, those configured first.

        Others do until their owner has retired them. One that a job has just
        been stored for may have been retired, or never have had an owner.
        """
        unretired = dict.fromkeys(self._leases.unretired())
        since = trio.current_time() - _STORED_S
        for pool, stored_at in list(self._stored_at.items()):
            if stored_at < since and pool in unretired:
                self._stored_at.pop(pool)
        configured = configuration.pools if configuration else ()
        return list(dict.fromkeys((*configured, *unretired, *self._stored_at)))


class SliceRetirement:
    """Gives up a slice that isn't configured and has had no jobs for long.

    Jobs that have ended count until they have expired. The lease stays, and
    says that nobody needs to claim the slice.
    """

    def __init__(
        self,
        *,
        owner: SliceOwner,
        renewer: LeaseRenewer,
        configuration: Callable[[], Configuration | None],
    ) -> None:
        """Watch one owner; ``configuration`` is ``None`` while in doubt."""
        self._owner = owner
        self._renewer = renewer
        self._configuration = configuration

    async def run(self) -> None:
        """Wait until the slice is retired, or this is cancelled.

        Raises ``OwnershipLostError`` once that is stored.
        """
        unused_checks = 0
        while True:
            await trio.sleep(_CHECK_S)
            unused_checks = 0 if self._is_used else unused_checks + 1
            if unused_checks * _CHECK_S > _RETIRE_AFTER_S:
                await self._owner.journal.flushed()
                await self._retire()

    @property
    def _is_used(self) -> bool:
        owner = self._owner
        configuration = self._configuration()
        return (
            not owner.recovered.is_set()
            or owner.registry.has_jobs
            or configuration is None
            or owner.claim.pool in configuration.pools
        )

    async def _retire(self) -> None:
        pool = self._owner.claim.pool
        if self._is_used:
            return
        try:
            await self._renewer.release(retired=True)
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.warning('slice not retired pool=%s: %s', pool, error)
            return
        _log.info('slice retired pool=%s', pool)
        raise OwnershipLostError(part=pool)
