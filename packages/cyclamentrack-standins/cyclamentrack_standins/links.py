"""Links between nodes, workers and the store, which tests partition."""

STORE = 'store'


class Links:
    """Which endpoints reach each other.

    An island is a group of endpoints that reach each other and nothing else.
    """

    def __init__(self) -> None:
        """Start with all endpoints connected."""
        self._islands: list[frozenset[str]] = []

    def isolate(self, *endpoints: str) -> None:
        """Partition a group of endpoints from all others."""
        self._islands.append(frozenset(endpoints))

    def heal(self) -> None:
        """Connect all endpoints again."""
        self._islands.clear()

    def connected(self, first: str, second: str) -> bool:
        """Return whether two endpoints reach each other."""
        return all(
            (first in island) == (second in island) for island in self._islands
        )
