"""Finds owners of partitions, and works that belong to partitions."""

from collections.abc import Iterable

from cyclamentrack.ids import PartitionId
from cyclamentrack.node import Node
from cyclamentrack.work import Work, partition_of
from features.harness.world import make_work


def largest_owner(nodes: Iterable[Node]) -> Node:
    """Return the node that owns most partitions."""
    return max(nodes, key=lambda node: len(node.ownership.owned_partitions))


def returned_partitions(
    former: dict[PartitionId, Node], moved: set[PartitionId]
) -> tuple[Node, set[PartitionId]]:
    """Return an owner and those of its moved partitions that came back."""
    for owner in former.values():
        returned = {
            partition
            for partition in moved & set(owner.ownership.owned_partitions)
            if former.get(partition) is owner
        }
        if returned:
            return owner, returned
    raise AssertionError('no partition came back to its former owner')


def works_in(
    partitions: set[PartitionId], count: int, *, run_s: float
) -> list[Work]:
    """Return one work for each of some of a cell's ``count`` partitions."""
    found: dict[PartitionId, Work] = {}
    for number in range(100 * count):
        work = make_work(f'back-{number}', run_s=run_s)
        partition = partition_of(work.id, count)
        if partition in partitions:
            found.setdefault(partition, work)
    return list(found.values())
