"""Waits until the nodes that start together know each other.

Nodes of a cell start at the same time. One that claims slices before it knows
the others takes some that larger nodes should own.
"""

import trio

# A new cell is known once no node has registered for this long, or after the
# limit.
_QUIET_S = 0.5
_MAX_S = 3.0


class MemberSettling:
    """Whether the members that start with a node are known to it."""

    def __init__(self, *, node: str) -> None:
        """Begin without members; ``node`` is the node's own name."""
        self._node = node
        self._began_at = trio.current_time()
        self._added_at = self._began_at
        self._known: set[str] = set()

    def note(self, name: str) -> None:
        """Record that a member is registered."""
        if name not in self._known:
            self._known.add(name)
            self._added_at = trio.current_time()

    def is_over(self, now: float) -> bool:
        """Return whether slices that never had an owner may be claimed."""
        if now - self._began_at >= _MAX_S:
            return True
        return self._node in self._known and now - self._added_at >= _QUIET_S
