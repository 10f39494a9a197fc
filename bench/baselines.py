"""Baseline policies that the placement policy is compared with."""

import random

from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest

_TRIES = 20


class FirstFit:
    """Places on the first worker of the list with enough free capacity."""

    def place(self, ledger: Ledger, request: AttemptRequest) -> bool:
        """Place one attempt; return whether it was placed."""
        for row in ledger.rows():
            if row.has_free(request.resources):
                ledger.allocate(
                    request.attempt, worker=row.id, resources=request.resources
                )
                return True
        return False


class RandomOfTwo:
    """Draws two workers and takes the one with more free cores that fits."""

    def __init__(self, *, seed: int) -> None:
        """Draw workers with a seeded generator."""
        self._random = random.Random(seed)

    def place(self, ledger: Ledger, request: AttemptRequest) -> bool:
        """Place one attempt; return whether it was placed.

        Gives up after ``_TRIES`` draws.
        """
        rows = list(ledger.rows())
        for _ in range(_TRIES):
            drawn = self._random.sample(rows, 2)
            fitting = [row for row in drawn if row.has_free(request.resources)]
            if fitting:
                row = max(fitting, key=lambda one: one.cores)
                ledger.allocate(
                    request.attempt, worker=row.id, resources=request.resources
                )
                return True
        return False
