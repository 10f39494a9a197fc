"""Settling attempts whose state is not known: they are asked about.

An attempt is asked about after a recovery, a silent peer or a cancel, never
blindly sent again. The owner of its worker answers with its end, or that it
runs; while nobody can tell, the question is asked again.
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

_BATCH = 500


class _Question(msgspec.Struct, kw_only=True):
    site: Site
    stop: bool


class AttemptResolver:
    """Asks the owners of workers about attempts."""

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
        """Give the ends that are learned to ``apply_ends``."""
        self._works = works
        self._fleet = fleet
        self._ownership = ownership
        self._membership = membership
        self._peers = peers
        self._apply_ends = apply_ends
        self._questions: dict[AttemptId, _Question] = {}
        self._wake = trio.Event()

    @property
    def open_questions(self) -> int:
        """How many attempts are being asked about."""
        return len(self._questions)

    def ask(self, attempt: AttemptId, site: Site, *, stop: bool) -> None:
        """Find out about an attempt; with ``stop``, end it if it runs."""
        known = self._questions.get(attempt)
        if known is None:
            self._questions[attempt] = _Question(site=site, stop=stop)
        else:
            known.stop = known.stop or stop
        self._wake.set()

    def drop(self, partition: PartitionId) -> None:
        """Stop asking for works that another daemon owns now."""
        gone = [
            attempt
            for attempt in self._questions
            if self._partition(attempt) == partition
        ]
        for attempt in gone:
            self._questions.pop(attempt)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await self._ask_all()
            if self._questions:
                with trio.move_on_after(defaults.RESOLVE_INTERVAL_S):
                    await self._wake.wait()
                self._wake.set()

    async def _ask_all(self) -> None:
        groups: dict[tuple[Incarnation, PartitionId], list[AttemptId]] = {}
        agents: dict[Incarnation, Member] = {}
        for attempt, question in self._questions.items():
            rack = self._fleet.partition(question.site.rack)
            agent = self._ownership.owner(rack)
            if agent is None:
                continue
            agents[agent.incarnation] = agent
            key = (agent.incarnation, self._partition(attempt))
            groups.setdefault(key, []).append(attempt)
        for (peer, partition), attempts in groups.items():
            for start in range(0, len(attempts), _BATCH):
                batch = attempts[start : start + _BATCH]
                await self._ask_one(agents[peer], partition, batch)

    async def _ask_one(
        self, agent: Member, partition: PartitionId, batch: list[AttemptId]
    ) -> None:
        if self._ownership.epoch(partition) is None:
            return
        request = Revoke(
            origin=self._ownership.origin(partition),
            revocations=[
                Revocation(
                    attempt=attempt,
                    site=question.site,
                    stop=question.stop,
                )
                for attempt in batch
                if (question := self._questions.get(attempt)) is not None
            ],
        )
        settled = await self._send(agent, request)
        if settled is not None:
            self._take(settled)

    async def _send(
        self, agent: Member, request: Revoke
    ) -> AttemptStates | None:
        if self._membership.is_me(agent):
            return self._fleet.revoke(request)
        try:
            reply = await self._peers.call(
                address=agent.peer,
                message=request,
                timeout_s=defaults.PEER_CALL_TIMEOUT_S,
            )
        except PeerUnreachableError:
            return None
        return reply if isinstance(reply, AttemptStates) else None

    def _take(self, settled: AttemptStates) -> None:
        for entry in settled.ended:
            self._questions.pop(entry.attempt, None)
        for attempt in settled.running:
            question = self._questions.get(attempt)
            if question is not None and not question.stop:
                self._questions.pop(attempt)
        self._apply_ends(settled.ended)

    def _partition(self, attempt: AttemptId) -> PartitionId:
        return self._works.partition(split_attempt(attempt)[0])
