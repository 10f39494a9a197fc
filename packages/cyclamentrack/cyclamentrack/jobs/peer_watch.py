"""Asks peers for signs of life, and removes the rows of those that are gone.

Each node watches the members that follow it in the order of their names, up to
the third one that answers. So each row is watched by three nodes, however many
neighbours of it are gone, and a node has little to ask. An owner watches all
members, since it chooses its permit routes among them.

A row is removed in two steps, because silence alone doesn't show that a node is
gone. First its watcher marks the row as doubted. A node that reaches the store
sees that at once and writes its row anew. Only if the row stays doubted and the
node silent for long, while the watcher reaches the store, is the row removed,
and only in the version that was doubted. A node that was paused or cut off from
both its peers and the store for longer than that registers again.
"""

import logging
import math
from collections.abc import Callable, Mapping

import msgspec
import trio

from cyclamentrack.codec import encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.feeds import FeedHealth
from cyclamentrack.jobs.peer_health import ObservedPeers
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Expect,
    RowStore,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import Member, member_key

_log = logging.getLogger(__name__)

_TICK_S = 0.5
# Peers that answer are asked this often; silent ones sooner at first, and then
# at this longer interval.
_USUAL_INTERVAL_S = 4.0
_MAX_SILENT_INTERVAL_S = 8.0
_FIRST_SILENT_INTERVAL_S = 1.0
# A node asks at most this many peers a second, so a larger cell is asked
# less often.
_PROBES_PER_S = 20
_MAX_PROBES = 64
_ANSWERING_WATCHED = 3
_MAX_WATCHED = 32
# A node is doubted after some 15 s of silence. Its row is then removed after
# about 50 s more, which is longer than any pause or partition to be expected.
# Missed probes are counted, as time also passes while the watcher is paused.
_MISSED_UNTIL_DOUBT = 5
_MISSED_UNTIL_REMOVAL = 6
# A node that has written its doubted row anew reaches the store but not this
# peer, so it isn't doubted again soon.
_DOUBT_AGAIN_S = 300.0
# Peers often fall silent together. When one doesn't answer, all watched ones
# are asked at once, but not more often than this.
_ASK_ALL_AGAIN_S = 2.0
# A write that failed is tried again after this time.
_WRITE_AGAIN_S = 5.0
# The feed of members is answered each 4 s at least.
_MAX_FEED_AGE_S = 6.0


class MemberEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A member and the version of its row."""

    member: Member
    version: int


class _Watched(msgspec.Struct, kw_only=True, eq=False):
    """What is known of one watched member.

    ``version`` is that of its row, and ``doubted`` that of a doubted one, 0 if
    it isn't doubted. ``missed_since`` counts the missed probes after that.
    """

    version: int
    asked_at: float = -math.inf
    missed: int = 0
    doubted: int = 0
    missed_since: int = 0
    not_doubted_before: float = 0.0


class PeerWatch:
    """Watches peers for one node."""

    def __init__(
        self,
        *,
        node: str,
        members: Mapping[str, MemberEntry],
        peers: ObservedPeers,
        store: RowStore,
        feed: FeedHealth,
        watches_all: Callable[[], bool],
    ) -> None:
        """Ask nobody until ``run``; ``watches_all`` holds for an owner.

        ``members`` is kept up to date by the caller, and ``feed`` is the
        health of the feed that it comes from.
        """
        self._node = node
        self._members = members
        self._peers = peers
        self._store = store
        self._feed = feed
        self._watches_all = watches_all
        self._watched: dict[str, _Watched] = {}
        self._asking: set[str] = set()
        self._limiter = trio.CapacityLimiter(_MAX_PROBES)
        self._wake = trio.Event()
        self._asked_all_at = -math.inf
        peers.on_silence = self._ask_all

    def wake(self) -> None:
        """Look at once for peers to ask: members or owners have changed."""
        self._wake.set()

    async def run(self) -> None:
        """Watch peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_rows)
            while True:
                self._wake = trio.Event()
                self._forget_gone()
                neighbours = self._neighbours()
                names = sorted(self._members) if self._watches_all() else None
                self._ask_due(neighbours if names is None else names, nursery)
                with trio.move_on_after(_TICK_S):
                    await self._wake.wait()

    def _ask_all(self) -> None:
        now = trio.current_time()
        if now - self._asked_all_at < _ASK_ALL_AGAIN_S:
            return
        self._asked_all_at = now
        for name, known in self._watched.items():
            if name in self._members and not self._is_silent(name):
                known.asked_at = -math.inf
        self.wake()

    def _forget_gone(self) -> None:
        for name in set(self._watched) - set(self._members):
            self._watched.pop(name)
        self._peers.health.keep(
            [entry.member.address for entry in self._members.values()]
        )

    def _neighbours(self) -> list[str]:
        """Return the members after this node, up to the third that answers.

        One that has not been asked yet counts too, so that a node that starts
        asks no more than it has to.
        """
        others = sorted(
            set(self._members) - {self._node},
            key=lambda name: (name < self._node, name),
        )
        found: list[str] = []
        answering = 0
        for name in others[:_MAX_WATCHED]:
            found.append(name)
            answering += not self._is_silent(name)
            if answering == _ANSWERING_WATCHED:
                break
        return found

    def _is_silent(self, name: str) -> bool:
        return self._peers.health.is_silent(self._members[name].member.address)

    def _ask_due(self, names: list[str], nursery: trio.Nursery) -> None:
        now = trio.current_time()
        least_s = len(names) / _PROBES_PER_S
        for name in names:
            if name == self._node or name in self._asking:
                continue
            known = self._watch(name)
            if now >= known.asked_at + max(least_s, _interval_s(known)):
                self._asking.add(name)
                nursery.start_soon(
                    self._ask, name, self._members[name].member.address
                )

    def _watch(self, name: str) -> _Watched:
        """Return what is known of a member; one that registers is asked anew.

        That it has written a doubted row anew shows that it reaches the store.
        """
        entry = self._members[name]
        known = self._watched.get(name)
        if known is None:
            known = _Watched(version=entry.version)
            self._watched[name] = known
        if known.version != entry.version:
            known.version = entry.version
            self._note_written(entry, known)
        return known

    def _note_written(self, entry: MemberEntry, known: _Watched) -> None:
        if entry.member.doubted:
            known.doubted = entry.version
            known.missed_since = 0
            return
        if known.doubted:
            known.doubted = 0
            known.not_doubted_before = trio.current_time() + _DOUBT_AGAIN_S
        known.asked_at = -math.inf
        known.missed = 0

    async def _ask(self, name: str, address: str) -> None:
        try:
            async with self._limiter:
                answered = await self._peers.probe(address)
        finally:
            self._asking.discard(name)
        known = self._watched.get(name)
        if known is None:
            return
        known.asked_at = trio.current_time()
        if answered:
            known.missed = 0
            known.missed_since = 0
        else:
            known.missed += 1
            known.missed_since += 1

    async def _check_rows(self) -> None:
        """Doubt and remove the rows of silent neighbours until cancelled."""
        while True:
            await trio.sleep(_TICK_S)
            for name in self._neighbours():
                known = self._watched.get(name)
                entry = self._members.get(name)
                if known is not None and entry is not None:
                    await self._check_row(entry, known)

    async def _check_row(self, entry: MemberEntry, known: _Watched) -> None:
        """Check one row; while the store is away, none could be kept."""
        feed_age_s = self._feed.age_s
        if feed_age_s is None or feed_age_s > _MAX_FEED_AGE_S:
            known.missed_since = 0
        elif entry.member.doubted:
            await self._check_doubted(entry, known)
        else:
            await self._check_trusted(entry, known)

    async def _check_trusted(self, entry: MemberEntry, known: _Watched) -> None:
        now = trio.current_time()
        if known.missed < _MISSED_UNTIL_DOUBT:
            return
        if now >= known.not_doubted_before:
            written = await self._doubt(entry)
            pause_s = _DOUBT_AGAIN_S if written else _WRITE_AGAIN_S
            known.not_doubted_before = now + pause_s

    async def _check_doubted(self, entry: MemberEntry, known: _Watched) -> None:
        if known.doubted != entry.version:
            known.doubted = entry.version
            known.missed_since = 0
        elif known.missed_since >= _MISSED_UNTIL_REMOVAL:
            known.missed_since = 0
            await self._remove(entry)

    async def _doubt(self, entry: MemberEntry) -> bool:
        doubted = msgspec.structs.replace(entry.member, doubted=True)
        key = member_key(entry.member.node)
        batch = Batch(
            expected=(Expect(key, entry.version),),
            puts=((key, encode(doubted)),),
        )
        written = await self._commit(batch)
        if written:
            _log.info('member doubted node=%s', entry.member.node)
        return written

    async def _remove(self, entry: MemberEntry) -> None:
        key = member_key(entry.member.node)
        batch = Batch(expected=(Expect(key, entry.version),), removes=(key,))
        if await self._commit(batch):
            _log.warning(
                'member removed node=%s address=%s why=it is silent',
                entry.member.node,
                entry.member.address,
            )

    async def _commit(self, batch: Batch) -> bool:
        """Try a write once; what became of it shows in the feed."""
        try:
            answer = await self._store.commit(batch)
        except (StoreUncertainError, StoreRefusedError):
            return False
        return isinstance(answer, Committed)


def _interval_s(known: _Watched) -> float:
    """Return how long after the last probe a member is asked again."""
    if not known.missed:
        return _USUAL_INTERVAL_S
    return min(
        _FIRST_SILENT_INTERVAL_S * 2 ** (known.missed - 1),
        _MAX_SILENT_INTERVAL_S,
    )
