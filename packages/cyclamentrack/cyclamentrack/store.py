"""Settled writes to the table service.

A reply can be lost after the write took effect. A write is therefore settled
by reading back, and repeated only under a condition that fails once it has
taken effect.
"""

import logging

import trio

from cyclamentrack import defaults
from cyclamentrack.errors import ConditionFailedError, StoreUncertainError
from cyclamentrack.ports import Put, Row, Table, Transaction

_log = logging.getLogger(__name__)


class Backoff:
    """Delays that double from a least to a greatest, in seconds."""

    def __init__(
        self,
        *,
        least_s: float = defaults.TABLE_RETRY_MIN_S,
        greatest_s: float = defaults.TABLE_RETRY_MAX_S,
    ) -> None:
        """Start at the least delay."""
        self._least_s = least_s
        self._greatest_s = greatest_s
        self._next_s = least_s

    async def sleep(self) -> None:
        """Sleep for the next delay."""
        delay = self._next_s
        self._next_s = min(delay * 2, self._greatest_s)
        await trio.sleep(delay)

    def reset(self) -> None:
        """Start at the least delay again."""
        self._next_s = self._least_s


async def commit_confirmed(
    *, table: Table, transaction: Transaction, proof: Put
) -> None:
    """Commit a transaction, and return only once it is known to be in effect.

    ``proof`` is one of its writes, with a body that no other transaction
    writes; the conditions must not hold any more once it has taken effect.
    Waits as long as the table service is out. Raises
    ``ConditionFailedError`` when the transaction was not applied.
    """
    backoff = Backoff()
    while True:
        try:
            await table.commit(transaction=transaction)
        except StoreUncertainError as uncertain:
            _log.debug('commit of %s is uncertain: %s', proof.key, uncertain)
            if await _is_written(table, proof, backoff):
                return
        except ConditionFailedError:
            if await _is_written(table, proof, backoff):
                return
            raise
        else:
            return


async def read_with_retry(*, table: Table, keys: list[str]) -> list[Row | None]:
    """Read rows, waiting as long as the table service is out."""
    backoff = Backoff()
    while True:
        try:
            return await table.read(keys=keys)
        except StoreUncertainError:
            await backoff.sleep()


async def _is_written(table: Table, proof: Put, backoff: Backoff) -> bool:
    while True:
        await backoff.sleep()
        try:
            rows = await table.read(keys=[proof.key])
        except StoreUncertainError:
            continue
        row = rows[0]
        return row is not None and row.body == proof.body
