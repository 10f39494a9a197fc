"""Which peers answer, and the calls to them that tell.

All calls of a node to its peers pass through here, so one failure suffices for
every choice among peers to skip the silent one. A peer that was never asked has
given no sign of life either, so the node asks several such peers together
rather than one after the other.
"""

import math
from collections.abc import Callable, Sequence

import msgspec
import trio

from cyclamentrack.errors import PeerUnreachableError
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.messages import AskWaiting, JobCellMessage
from cyclamentrack.ports import Peers

# A peer answers within some milliseconds, and a busy one within this time.
PROBE_TIMEOUT_S = 0.8
# The search for peers that answer ends after this time.
_SEARCH_S = 0.4
# An answer that is older than this isn't relied on in a search.
_RECENT_S = 1.0
# A search asks this many peers at once, and twice as many more each time that
# this pause has passed, so it takes hardly longer with hundreds of dead peers.
_FIRST_ASKED = 8
_ASK_MORE_S = 0.05
# Nodes of all versions answer this without doing anything.
_PROBE = AskWaiting(pool=PoolName(''))


class _Record(msgspec.Struct, kw_only=True, eq=False):
    """When a peer answered last, and when it last gave any sign of life."""

    answered_at: float = -math.inf
    alive_at: float = -math.inf
    silent: bool = False


class PeerHealth:
    """The peers' last answers and failures, by address.

    ``generation`` changes whenever other peers than before answer. Times are
    in seconds of trio's clock.
    """

    def __init__(self) -> None:
        """Start without knowing anything of any peer."""
        self.generation = 0
        self._records: dict[str, _Record] = {}

    def answers(self, address: str) -> bool:
        """Return whether the last call to a peer was answered."""
        record = self._records.get(address)
        if record is None or record.silent:
            return False
        return record.answered_at > -math.inf

    def is_silent(self, address: str) -> bool:
        """Return whether the last call to a peer went unanswered."""
        record = self._records.get(address)
        return record is not None and record.silent

    def answered_at(self, address: str) -> float:
        """Return when a peer answered last, minus infinity if it never did."""
        record = self._records.get(address)
        return record.answered_at if record else -math.inf

    def note_answer(self, address: str) -> None:
        """Record that a peer has answered a call."""
        self.generation += not self.answers(address)
        now = trio.current_time()
        self._records[address] = _Record(answered_at=now, alive_at=now)

    def note_silence(self, address: str, *, asked_at: float) -> None:
        """Record that a call was not answered, unless the peer lived later."""
        record = self._records.setdefault(address, _Record())
        if record.alive_at > asked_at:
            return
        self.generation += self.answers(address)
        record.silent = True

    def keep(self, addresses: Sequence[str]) -> None:
        """Forget all peers but those at some addresses."""
        kept = set(addresses)
        for address in set(self._records) - kept:
            self._records.pop(address)
            self.generation += 1

    def note_registered(self, address: str) -> None:
        """Record that a peer lives, though it may not answer this node."""
        record = self._records.setdefault(address, _Record())
        record.alive_at = trio.current_time()
        if record.silent:
            record.silent = False
            record.answered_at = -math.inf


class ObservedPeers:
    """Calls peers and records in ``health`` which of them answer."""

    def __init__(self, *, peers: Peers, health: PeerHealth) -> None:
        """Make all calls through ``peers``.

        ``on_silence`` is called after each call that went unanswered.
        """
        self.health = health
        self.on_silence: Callable[[], None] = _ignore
        self._peers = peers

    async def call(
        self, *, address: str, message: JobCellMessage, timeout_s: float
    ) -> JobCellMessage:
        """Send one request and return its reply.

        Raises ``PeerUnreachableError`` after ``timeout_s`` without a reply.
        """
        asked_at = trio.current_time()
        try:
            reply = await self._peers.call(
                address=address, message=message, timeout_s=timeout_s
            )
        except PeerUnreachableError:
            self.health.note_silence(address, asked_at=asked_at)
            self.on_silence()
            raise
        self.health.note_answer(address)
        return reply

    async def probe(
        self, address: str, *, timeout_s: float = PROBE_TIMEOUT_S
    ) -> bool:
        """Return whether a peer answers."""
        try:
            await self.call(
                address=address, message=_PROBE, timeout_s=timeout_s
            )
        except PeerUnreachableError:
            return False
        return True

    async def find_answering(
        self, addresses: Sequence[str], *, enough: int
    ) -> list[str]:
        """Return peers that answer now, in the order of ``addresses``.

        Peers are asked together until ``enough`` of them have answered. If
        several are wanted, the earlier ones get a moment more.
        """
        recent_at = trio.current_time() - _RECENT_S
        found = {
            address
            for address in addresses
            if self.health.answers(address)
            and self.health.answered_at(address) > recent_at
        }
        relied_on = found if enough == 1 else found & set(addresses[:enough])
        if len(relied_on) < min(enough, len(addresses)):
            unasked = [one for one in addresses if one not in found]
            await self._search(unasked, found, enough=enough)
        return [address for address in addresses if address in found]

    async def _search(
        self, unasked: list[str], found: set[str], *, enough: int
    ) -> None:
        """Add the peers that answer to ``found``, until these are enough."""
        grace_s = _ASK_MORE_S if enough > 1 else 0.0
        with trio.move_on_after(_SEARCH_S) as scope:

            def end_soon() -> None:
                if len(found) >= enough:
                    ends_at = trio.current_time() + grace_s
                    scope.deadline = min(scope.deadline, ends_at)

            async def ask(address: str) -> None:
                if await self.probe(address, timeout_s=_SEARCH_S):
                    found.add(address)
                    end_soon()

            end_soon()
            async with trio.open_nursery() as nursery:
                size = _FIRST_ASKED
                while unasked:
                    for address in unasked[:size]:
                        nursery.start_soon(ask, address)
                    unasked = unasked[size:]
                    size *= 2
                    if unasked:
                        await trio.sleep(_ASK_MORE_S)


def _ignore() -> None:
    """Do nothing about a call that went unanswered."""
