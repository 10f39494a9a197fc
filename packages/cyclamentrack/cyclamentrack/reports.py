"""Reports ended attempts to the owners of their works.

An end is reported until the owner of the work has recorded it; only then may
the worker forget it.
"""

import logging

import trio

from cyclamentrack import defaults
from cyclamentrack.coordinator import Coordinator
from cyclamentrack.errors import PeerUnreachableError
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import AttemptId, Incarnation, split_attempt
from cyclamentrack.membership import Member, Membership
from cyclamentrack.messages import AttemptEnd, EndsRecorded, ReportEnds
from cyclamentrack.ownership import Ownership
from cyclamentrack.ports import Peers
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

_RETRY_S = 0.5
_MAX_ENDS_PER_REPORT = 2000


class EndReporter:
    """Reports ended attempts, with one report in flight to each daemon."""

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
        """Report the attempts that ended on the fleet's workers."""
        self._fleet = fleet
        self._works = works
        self._coordinator = coordinator
        self._ownership = ownership
        self._membership = membership
        self._peers = peers
        self._reporting_to: set[Incarnation] = set()

    async def run(self) -> None:
        """Report ended attempts until cancelled."""
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
            if (
                owner is not None
                and owner.incarnation not in self._reporting_to
            ):
                owners[owner.incarnation] = owner
                groups.setdefault(owner.incarnation, []).append(entry)
        for peer, entries in groups.items():
            self._reporting_to.add(peer)
            nursery.start_soon(
                self._report, owners[peer], entries[:_MAX_ENDS_PER_REPORT]
            )

    async def _report(self, owner: Member, entries: list[AttemptEnd]) -> None:
        """Report once; pause when the owner recorded none of the ends.

        An owner that is handing over the partition records nothing until its
        successor takes over; without the pause this would be a busy loop.
        """
        try:
            recorded = await self._send(owner, entries)
            self._fleet.forget(recorded)
            if not recorded:
                await trio.sleep(_RETRY_S)
        finally:
            self._reporting_to.discard(owner.incarnation)
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
        return reply.attempts if isinstance(reply, EndsRecorded) else []
