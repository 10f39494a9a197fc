"""A daemon's view of its peers' free capacity.

Summaries are bounded: one entry per pool, sent to a sample of the peers. They
are out of date when they arrive, so each reservation that is requested from a
peer is charged to its summary. That avoids sending too many requests to one
peer.
"""

import random

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.ids import Incarnation, PoolName, TeamName
from cyclamentrack.messages import PoolSummary, Summary
from cyclamentrack.resources import Resources

# Age, in summary intervals, at which a summary is no longer used.
_MAX_AGE_INTERVALS = 10


class _Entry(msgspec.Struct, kw_only=True):
    summary: Summary
    received_at: float
    charged_cores: int = 0


class PeerCapacityView:
    """The latest summary of each peer."""

    def __init__(self, *, seed: int) -> None:
        """Start with no peers; ``seed`` is for the random choice of peers."""
        self._entries: dict[Incarnation, _Entry] = {}
        self._random = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]

    def update(self, summary: Summary) -> None:
        """Store a peer's latest summary."""
        self._entries[summary.incarnation] = _Entry(
            summary=summary,
            received_at=trio.current_time(),
        )

    def forget(self, peer: Incarnation) -> None:
        """Drop the summary of a peer that is gone or didn't answer."""
        self._entries.pop(peer, None)

    def candidates(
        self, pool: PoolName, need: Resources, *, slots: int = 0
    ) -> list[Incarnation]:
        """Return the peers that probably have enough free capacity.

        The order is random, but of the first two the one with more free cores
        is first ("power of two choices"), so that many daemons with the same
        summaries don't all choose the same peer.
        """
        fitting = [
            (entry, peer)
            for peer, entry in self._entries.items()
            if self._is_fresh(entry) and _has_capacity(entry, pool, need, slots)
        ]
        self._random.shuffle(fitting)
        first_two = sorted(
            fitting[:2],
            key=lambda pair: -_free_cores(pair[0], pool),
        )
        return [peer for _, peer in [*first_two, *fitting[2:]]]

    def pool_owners(self, pool: PoolName) -> list[Incarnation]:
        """Return the peers that own workers of a pool, in a random order."""
        found = [
            peer
            for peer, entry in self._entries.items()
            if self._is_fresh(entry) and _pool(entry, pool) is not None
        ]
        self._random.shuffle(found)
        return found

    def charge(self, peer: Incarnation, cores: int) -> None:
        """Count ``cores`` milli-cores as used until the next summary."""
        entry = self._entries.get(peer)
        if entry is not None:
            entry.charged_cores += cores

    def team_usage(self, team: TeamName) -> list[Resources]:
        """Return the resources that each peer reported for a team."""
        return [
            usage.used
            for entry in self._entries.values()
            if self._is_fresh(entry)
            for usage in entry.summary.teams
            if usage.team == team
        ]

    def _is_fresh(self, entry: _Entry) -> bool:
        limit = defaults.SUMMARY_INTERVAL_S * _MAX_AGE_INTERVALS
        return trio.current_time() - entry.received_at < limit


def _pool(entry: _Entry, pool: PoolName) -> PoolSummary | None:
    for summary in entry.summary.pools:
        if summary.pool == pool:
            return summary
    return None


def _has_capacity(
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


def _free_cores(entry: _Entry, pool: PoolName) -> int:
    summary = _pool(entry, pool)
    if summary is None:
        return 0
    return summary.free.milli_cores - entry.charged_cores
