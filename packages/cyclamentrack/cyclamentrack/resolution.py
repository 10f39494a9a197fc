"""Resolution of attempts whose state is in doubt.

An attempt is in doubt after a recovery, a call to a peer that got no answer,
or a cancel. It is never blindly sent again: the owner of its worker is
queried, which answers with its end or that it runs. As long as the owner
doesn't know either, the query is repeated.
"""

import logging
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.errors import PeerUnreachableError
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import AttemptId, Incarnation, PartitionId, split_attempt
from cyclamentrack.membership import Member, Membership
from cyclamentrack.messages import (
    AttemptEnd,
    AttemptStates,
    Revocation,
    Revoke,
    Site,
)
from cyclamentrack.ownership import Ownership
from cyclamentrack.ports import Peers
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

# Attempts in one request.
_MAX_BATCH = 500


class _Query(msgspec.Struct, kw_only=True):
    site: Site
    stop: bool


class AttemptResolver:
    """Queries the owners of workers about attempts in doubt."""

    def __init__(
        self,
        *,
        works: Works,
        fleet: Fleet,
        ownership: Ownership,
        membership: Membership,
        peers: Peers,
        apply_ends: Callable[[list[AttemptEnd]], None],
    ) -> None:
        """Pass the ends that owners report to ``apply_ends``."""
        self._works = works
        self._fleet = fleet
        self._ownership = ownership
        self._membership = membership
        self._peers = peers
        self._apply_ends = apply_ends
        self._unresolved: dict[AttemptId, _Query] = {}
        self._wake = trio.Event()

    @property
    def unresolved_count(self) -> int:
        """The number of attempts in doubt."""
        return len(self._unresolved)

    def ask(self, attempt: AttemptId, site: Site, *, stop: bool) -> None:
        """Resolve an attempt; with ``stop``, stop it if it runs."""
        known = self._unresolved.get(attempt)
        if known is None:
            self._unresolved[attempt] = _Query(site=site, stop=stop)
        else:
            known.stop = known.stop or stop
        self._wake.set()

    def drop(self, partition: PartitionId) -> None:
        """Drop the queries of a partition that another daemon owns now."""
        gone = [
            attempt
            for attempt in self._unresolved
            if self._partition(attempt) == partition
        ]
        for attempt in gone:
            self._unresolved.pop(attempt)

    async def run(self) -> None:
        """Resolve attempts until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await self._query_owners()
            if self._unresolved:
                with trio.move_on_after(defaults.RESOLVE_INTERVAL_S):
                    await self._wake.wait()
                self._wake.set()

    async def _query_owners(self) -> None:
        groups: dict[tuple[Incarnation, PartitionId], list[AttemptId]] = {}
        owners: dict[Incarnation, Member] = {}
        for attempt, query in self._unresolved.items():
            rack = self._fleet.partition(query.site.rack)
            owner = self._ownership.owner(rack)
            if owner is None:
                continue
            owners[owner.incarnation] = owner
            key = (owner.incarnation, self._partition(attempt))
            groups.setdefault(key, []).append(attempt)
        for (peer, partition), attempts in groups.items():
            for start in range(0, len(attempts), _MAX_BATCH):
                batch = attempts[start : start + _MAX_BATCH]
                await self._query_owner(owners[peer], partition, batch)

    async def _query_owner(
        self, owner: Member, partition: PartitionId, batch: list[AttemptId]
    ) -> None:
        if self._ownership.epoch(partition) is None:
            return
        request = Revoke(
            origin=self._ownership.origin(partition),
            revocations=[
                Revocation(
                    attempt=attempt,
                    site=query.site,
                    stop=query.stop,
                )
                for attempt in batch
                if (query := self._unresolved.get(attempt)) is not None
            ],
        )
        states = await self._send(owner, request)
        if states is not None:
            self._apply(states)

    async def _send(
        self, owner: Member, request: Revoke
    ) -> AttemptStates | None:
        if self._membership.is_me(owner):
            return self._fleet.revoke(request)
        try:
            reply = await self._peers.call(
                address=owner.peer,
                message=request,
                timeout_s=defaults.PEER_CALL_TIMEOUT_S,
            )
        except PeerUnreachableError:
            return None
        return reply if isinstance(reply, AttemptStates) else None

    def _apply(self, states: AttemptStates) -> None:
        for entry in states.ended:
            self._unresolved.pop(entry.attempt, None)
        for attempt in states.running:
            query = self._unresolved.get(attempt)
            if query is not None and not query.stop:
                self._unresolved.pop(attempt)
        self._apply_ends(states.ended)

    def _partition(self, attempt: AttemptId) -> PartitionId:
        return self._works.partition(split_attempt(attempt)[0])
