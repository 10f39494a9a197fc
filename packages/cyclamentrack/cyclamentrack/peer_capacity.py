"""What a daemon knows of the room that its peers have.

Summaries are bounded: one line per pool, sent to a sample of the peers. They
are out of date when they arrive, so room is charged to a peer's summary when
a reservation is asked for there, which keeps a crowd from one peer.
"""

import random

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.ids import Incarnation, PoolName, TeamName
from cyclamentrack.messages import PoolSummary, Summary
from cyclamentrack.resources import Resources

_FRESH_INTERVALS = 10


class _Entry(msgspec.Struct, kw_only=True):
    summary: Summary
    at: float
    charged_cores: int = 0


class PeerCapacityView:
    """The latest summary of each peer."""

    def __init__(self, *, seed: int) -> None:
        """Know of no peer; ``seed`` feeds the choice among equals."""
        self._entries: dict[Incarnation, _Entry] = {}
        self._random = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]

    def take(self, summary: Summary) -> None:
        """Keep a peer's newest summary."""
        self._entries[summary.incarnation] = _Entry(
            summary=summary,
            at=trio.current_time(),
        )

    def forget(self, peer: Incarnation) -> None:
        """Drop what is known of a peer that gave no answer."""
        self._entries.pop(peer, None)

    def candidates(
        self, pool: PoolName, need: Resources, *, slots: int = 0
    ) -> list[Incarnation]:
        """Return the peers that probably have the room, likeliest first.

        Two are drawn at random and the roomier one goes first, so that many
        daemons with the same summaries don't all turn to the same peer.
        """
        fitting = [
            (entry, peer)
            for peer, entry in self._entries.items()
            if self._is_fresh(entry) and _has_room(entry, pool, need, slots)
        ]
        self._random.shuffle(fitting)
        first_two = sorted(
            fitting[:2],
            key=lambda pair: -_spare(pair[0], pool),
        )
        return [peer for _, peer in [*first_two, *fitting[2:]]]

    def holders(self, pool: PoolName) -> list[Incarnation]:
        """Return the peers that own workers of a pool, in a random order."""
        found = [
            peer
            for peer, entry in self._entries.items()
            if self._is_fresh(entry) and _pool(entry, pool) is not None
        ]
        self._random.shuffle(found)
        return found

    def charge(self, peer: Incarnation, cores: int) -> None:
        """Count room as taken until the peer's next summary."""
        entry = self._entries.get(peer)
        if entry is not None:
            entry.charged_cores += cores

    def team_usage(self, team: TeamName) -> list[Resources]:
        """Return what peers said that a team's tasks hold."""
        return [
            usage.used
            for entry in self._entries.values()
            if self._is_fresh(entry)
            for usage in entry.summary.teams
            if usage.team == team
        ]

    def _is_fresh(self, entry: _Entry) -> bool:
        limit = defaults.SUMMARY_INTERVAL_S * _FRESH_INTERVALS
        return trio.current_time() - entry.at < limit


def _pool(entry: _Entry, pool: PoolName) -> PoolSummary | None:
    for summary in entry.summary.pools:
        if summary.pool == pool:
            return summary
    return None


def _has_room(
    entry: _Entry, pool: PoolName, need: Resources, slots: int
) -> bool:
    summary = _pool(entry, pool)
    if summary is None:
        return False
    cores = summary.free.milli_cores - entry.charged_cores
    return (
        need.fits(summary.largest)
        and need.milli_cores <= cores
        and slots <= summary.slots
    )


def _spare(entry: _Entry, pool: PoolName) -> int:
    summary = _pool(entry, pool)
    if summary is None:
        return 0
    return summary.free.milli_cores - entry.charged_cores
