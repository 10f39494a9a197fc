"""The order in which nodes claim a slice, so that one claim wins."""

import hashlib
from collections.abc import Collection, Mapping

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.records import Member

# Between two nodes of a class; a claim is seen by most others within it.
TURN_S = 0.25
# All turns of a class, however many its nodes.
CLASS_SPAN_S = 1.5
_HASH_BYTES = 8
# Looks at some hundred workers and starts on them fit into such a link.
_ENOUGH_MBPS = 50.0
# A node of half the best capacity or more is in the first class, of a quarter
# in the second; smaller ones share the last.
_CLASS_SHARES = (0.5, 0.25)


def capacity_class(member: Member, members: Collection[Member]) -> int:
    """Return the class of a node among others, 0 for the most capable.

    The scarcer of processor and link decides. A node that doesn't tell its
    capacity counts as one of the best.

    >>> large = Member(
    ...     node='a', incarnation='', address='', zone='', cores=2.0
    ... )
    >>> small = Member(
    ...     node='b', incarnation='', address='', zone='', cores=0.5
    ... )
    >>> capacity_class(large, [large, small])
    0
    >>> capacity_class(small, [large, small])
    1
    """
    share = min(
        _share(member.cores, max(one.cores for one in members)),
        _share(_link(member), max(_link(one) for one in members)),
    )
    return sum(share < limit for limit in _CLASS_SHARES)


def claim_wait_s(
    pool: PoolName,
    node: str,
    *,
    members: Mapping[str, Member],
    owning: Collection[str],
) -> float:
    """Return how long a node lets others claim a slice first, seconds.

    Nodes of a higher class go first, and of a class those that own nothing.
    ``members`` includes the node itself.
    """
    everyone = members.values()
    classes = {
        name: capacity_class(member, everyone)
        for name, member in members.items()
    }
    own = classes[node]
    ahead = sorted({found for found in classes.values() if found < own})
    before = sum(
        _span_s(sum(found == one for found in classes.values()))
        for one in ahead
    )
    peers = [name for name, found in classes.items() if found == own]
    peers.sort(key=lambda name: (name in owning, _rank(pool, name)))
    place = peers.index(node)
    return before + _span_s(len(peers)) * place / len(peers)


def _span_s(count: int) -> float:
    """Return how long the turns of a class take."""
    return min(count * TURN_S, CLASS_SPAN_S)


def _rank(pool: PoolName, node: str) -> bytes:
    """Return a node's place in the order of claims for a pool."""
    return hashlib.blake2b(
        f'{pool}/{node}'.encode(), digest_size=_HASH_BYTES
    ).digest()


def _link(member: Member) -> float:
    return min(member.link_mbps, _ENOUGH_MBPS)


def _share(part: float, best: float) -> float:
    return part / best if part and best else 1.0
