"""The order in which nodes claim a slice, so that their claims don't clash."""

import hashlib
from collections.abc import Collection, Mapping

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.records import Member

# Delay between two nodes of a class; most others see a claim within it.
CLAIM_STAGGER_S = 0.25
# Upper bound of the delays within a class, however many nodes it has.
MAX_CLASS_DELAY_S = 1.5
_HASH_BYTES = 8
# Polls of some hundred workers and starts on them fit into such a link.
_SUFFICIENT_LINK_MBPS = 50.0
# A node with at least half of the best capacity is in the first class, one
# with at least a quarter in the second, and all smaller ones in the third.
_CLASS_THRESHOLDS = (0.5, 0.25)


def capacity_class(member: Member, members: Collection[Member]) -> int:
    """Return the class of a node among others, 0 for the most capable.

    The scarcer of processor and link decides. A node of unknown capacity
    counts as one of the best.

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
        _share_of_best(member.cores, max(one.cores for one in members)),
        _share_of_best(
            _usable_link(member), max(_usable_link(one) for one in members)
        ),
    )
    return sum(share < limit for limit in _CLASS_THRESHOLDS)


def claim_delay_s(
    pool: PoolName,
    node: str,
    *,
    members: Mapping[str, Member],
    owners: Collection[str],
) -> float:
    """Return how long a node lets others claim a slice first, seconds.

    Nodes of a higher class go first, and within a class those that own no
    slice.
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
        _class_delay_s(sum(found == one for found in classes.values()))
        for one in ahead
    )
    peers = [name for name, found in classes.items() if found == own]
    peers.sort(key=lambda name: (name in owners, _claim_rank(pool, name)))
    place = peers.index(node)
    return before + _class_delay_s(len(peers)) * place / len(peers)


def _class_delay_s(count: int) -> float:
    """Return how long it takes until all nodes of a class may claim."""
    return min(count * CLAIM_STAGGER_S, MAX_CLASS_DELAY_S)


def _claim_rank(pool: PoolName, node: str) -> bytes:
    """Return a hash that orders the nodes differently for each pool."""
    return hashlib.blake2b(
        f'{pool}/{node}'.encode(), digest_size=_HASH_BYTES
    ).digest()


def _usable_link(member: Member) -> float:
    return min(member.link_mbps, _SUFFICIENT_LINK_MBPS)


def _share_of_best(part: float, best: float) -> float:
    return part / best if part and best else 1.0
