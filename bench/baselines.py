"""Simple baselines that the policies are measured against."""

import random

from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest

_TRIES = 20


class FirstFit:
    """Places on the first worker, in order of the list, that has room."""

    def place(self, ledger: Ledger, need: AttemptRequest) -> bool:
        """Place one need; tell whether there was room."""
        for row in ledger.rows():
            if row.has_free(need.resources):
                ledger.allocate(
                    need.attempt, worker=row.id, resources=need.resources
                )
                return True
        return False


class RandomOfTwo:
    """Draws two workers at random and takes the emptier that has room."""

    def __init__(self, *, seed: int) -> None:
        """Draw from a seed."""
        self._random = random.Random(seed)

    def place(self, ledger: Ledger, need: AttemptRequest) -> bool:
        """Place one need; tell whether there was room within some draws."""
        rows = list(ledger.rows())
        for _ in range(_TRIES):
            drawn = self._random.sample(rows, 2)
            fitting = [row for row in drawn if row.has_free(need.resources)]
            if fitting:
                row = max(fitting, key=lambda one: one.cores)
                ledger.allocate(
                    need.attempt, worker=row.id, resources=need.resources
                )
                return True
        return False
