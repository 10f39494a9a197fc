"""Writes to the table service whose outcome is always known.

A reply can be lost after the write took effect. The outcome is therefore
determined by reading back, and a write is repeated only under a condition
that fails once it has taken effect.
"""

import logging

import trio

from cyclamentrack import defaults
from cyclamentrack.errors import ConditionFailedError, StoreUncertainError
from cyclamentrack.ports import Put, Row, Table, Transaction

_log = logging.getLogger(__name__)


class Backoff:
    """Delays that double from a minimum to a maximum, in seconds."""

    def __init__(
        self,
        *,
        min_s: float = defaults.TABLE_RETRY_MIN_S,
        max_s: float = defaults.TABLE_RETRY_MAX_S,
    ) -> None:
        """Start at the minimum delay."""
        self._min_s = min_s
        self._max_s = max_s
        self._next_s = min_s

    async def sleep(self) -> None:
        """Sleep for the next delay."""
        delay = self._next_s
        self._next_s = min(delay * 2, self._max_s)
        await trio.sleep(delay)

    def reset(self) -> None:
        """Return to the minimum delay."""
        self._next_s = self._min_s


async def commit_confirmed(
    *, table: Table, transaction: Transaction, proof: Put
) -> None:
    """Commit a transaction and return once it is known to have taken effect.

    ``proof`` is one of its writes, with a body that no other transaction
    writes. The conditions must no longer hold once the transaction has taken
    effect. Retries while the table service doesn't answer. Raises
    ``ConditionFailedError`` when the transaction was not applied.
    """
    backoff = Backoff()
    while True:
        try:
            await table.commit(transaction=transaction)
        except StoreUncertainError as uncertain:
            _log.debug(
                'commit of row %s has an unknown outcome: %s',
                proof.key,
                uncertain,
            )
            if await _is_written(table, proof, backoff):
                return
        except ConditionFailedError:
            if await _is_written(table, proof, backoff):
                return
            raise
        else:
            return


async def read_with_retry(*, table: Table, keys: list[str]) -> list[Row | None]:
    """Read rows, retrying while the table service doesn't answer."""
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
