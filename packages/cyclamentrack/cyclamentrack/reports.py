"""Reports of ended attempts to the owners of their works.

An end is reported until the owner of the work has it on record; only then
may the worker forget it.
"""

import logging

import trio

from cyclamentrack import defaults
from cyclamentrack.coordinator import Coordinator
from cyclamentrack.errors import PeerUnreachableError
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import AttemptId, Incarnation, split_attempt
from cyclamentrack.membership import Member, Membership
from cyclamentrack.messages import AttemptEnd, EndsKept, ReportEnds
from cyclamentrack.ownership import Ownership
from cyclamentrack.ports import Peers
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

_RETRY_S = 0.5
_BATCH = 2000


class EndReporter:
    """Reports ends, with one report at a time on its way to each daemon."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        works: Works,
        coordinator: Coordinator,
        ownership: Ownership,
        membership: Membership,
        peers: Peers,
    ) -> None:
        """Report the fleet's ends."""
        self._fleet = fleet
        self._works = works
        self._coordinator = coordinator
        self._ownership = ownership
        self._membership = membership
        self._peers = peers
        self._on_the_way: set[Incarnation] = set()

    async def run(self) -> None:
        """Report until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._fleet.ends_changed.wait()
                self._fleet.ends_changed = trio.Event()
                self._report_all(nursery)
                if self._fleet.ends():
                    with trio.move_on_after(_RETRY_S):
                        await self._fleet.ends_changed.wait()
                    self._fleet.ends_changed.set()

    def _report_all(self, nursery: trio.Nursery) -> None:
        groups: dict[Incarnation, list[AttemptEnd]] = {}
        owners: dict[Incarnation, Member] = {}
        for entry in self._fleet.ends():
            work, _, _ = split_attempt(entry.attempt)
            owner = self._ownership.owner(self._works.partition(work))
            if owner is not None and owner.incarnation not in self._on_the_way:
                owners[owner.incarnation] = owner
                groups.setdefault(owner.incarnation, []).append(entry)
        for peer, entries in groups.items():
            self._on_the_way.add(peer)
            nursery.start_soon(self._report, owners[peer], entries[:_BATCH])

    async def _report(self, owner: Member, entries: list[AttemptEnd]) -> None:
        """Report once; pause when the owner kept nothing of it.

        An owner that hands the partition over keeps nothing until its
        successor is there; without the pause that would spin.
        """
        try:
            kept = await self._send(owner, entries)
            self._fleet.forget(kept)
            if not kept:
                await trio.sleep(_RETRY_S)
        finally:
            self._on_the_way.discard(owner.incarnation)
        if self._fleet.ends():
            self._fleet.ends_changed.set()

    async def _send(
        self, owner: Member, entries: list[AttemptEnd]
    ) -> list[AttemptId]:
        if self._membership.is_me(owner):
            return await self._coordinator.record_ends(entries)
        try:
            reply = await self._peers.call(
                address=owner.peer,
                message=ReportEnds(settlements=entries),
                timeout_s=defaults.PEER_CALL_TIMEOUT_S,
            )
        except PeerUnreachableError:
            return []
        return reply.attempts if isinstance(reply, EndsKept) else []
