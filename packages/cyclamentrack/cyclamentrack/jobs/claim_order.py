"""The order in which nodes claim a slice, so that their claims don't clash.

An owner orders all its peers in its event loop, so the cost may hardly grow
faster than the number of nodes: the best capacity and the classes are computed
once for all of them.
"""

import hashlib
from collections import Counter
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


def capacity_classes(members: Collection[Member]) -> dict[str, int]:
    """Return the class of each node among all, 0 for the most capable.

    The scarcer of processor and link decides. A node of unknown capacity
    counts as one of the best.

    >>> large = Member(
    ...     node='a', incarnation='', address='', zone='', cores=2.0
    ... )
    >>> small = Member(
    ...     node='b', incarnation='', address='', zone='', cores=0.5
    ... )
    >>> capacity_classes([large, small])
    {'a': 0, 'b': 1}
    """
    best_cores = max((one.cores for one in members), default=0.0)
    best_link = max((_usable_link(one) for one in members), default=0.0)
    found: dict[str, int] = {}
    for member in members:
        share = min(
            _share_of_best(member.cores, best_cores),
            _share_of_best(_usable_link(member), best_link),
        )
        found[member.node] = sum(share < limit for limit in _CLASS_THRESHOLDS)
    return found


def claim_delays_s(
    pool: PoolName,
    *,
    members: Mapping[str, Member],
    owners: Collection[str],
) -> dict[str, float]:
    """Return by node how long it lets others claim a slice first, seconds.

    The nodes are in the order in which they claim: those of a higher class go
    first, and within a class those that own no slice.
    """
    classes = capacity_classes(members.values())
    sizes = Counter(classes.values())
    ordered = sorted(
        members,
        key=lambda name: (
            classes[name],
            name in owners,
            _claim_rank(pool, name),
        ),
    )
    delays_s: dict[str, float] = {}
    places: Counter[int] = Counter()
    for name in ordered:
        own = classes[name]
        size = sizes[own]
        before_s = sum(
            _class_delay_s(sizes[other]) for other in sizes if other < own
        )
        delays_s[name] = before_s + _class_delay_s(size) * places[own] / size
        places[own] += 1
    return delays_s


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
