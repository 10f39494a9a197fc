"""The row in which a node registers as a member of the cell."""

import zlib

import msgspec
import trio

from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Conflict,
    Expect,
    RowStore,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import Member, member_key

_RETRY_S = 0.2
# A lost row is written anew after this time. Nodes whose rows are lost at the
# same time are spread over some more.
_REWRITE_PAUSE_S = 0.4
_SPREAD_S = 1.2
_HASH_RANGE = 2**32


class MemberRow:
    """Registers and removes a node.

    Each write holds for one version of the row only, so that a write which the
    store carries out late doesn't undo a later one. No version protects from a
    late creation of the row, so where one is possible, the row isn't removed
    but says that the node has left.
    """

    def __init__(self, *, store: RowStore, member: Member) -> None:
        """Write nothing until ``register``."""
        self._store = store
        self._member = member
        self._key = member_key(member.node)
        self._body = encode(member)
        self._version = 0
        self._registered = False
        self._late_creation = False
        self._running = trio.CancelScope()
        self._lost = trio.Event()

    async def run(self) -> None:
        """Register the node, and again when its row is lost or doubted.

        This ends when the node is removed.
        """
        with self._running:
            while True:
                while not await self._try_register():
                    await trio.sleep(_RETRY_S)
                await self._lost.wait()
                self._registered = False
                self._lost = trio.Event()
                await trio.sleep(_rewrite_pause_s(self._member))

    def note_row(self, row: StoredRow | None) -> None:
        """Take note of the node's row in the feed, ``None`` if it is removed.

        The row of a later process of the same name stays as it is.
        """
        if not self._registered:
            return
        if row is None or (row.body != self._body and self._is_own(row)):
            self._lost.set()

    async def remove(self) -> None:
        """Remove the node, but not a later process of its name.

        Raises ``StoreRefusedError`` or ``StoreUncertainError``.
        """
        self._running.cancel()
        while True:
            answer = await self._store.commit(self._removal())
            if isinstance(answer, Committed):
                return
            self._learn(answer)
            row = answer.find(self._key)
            if self._registered and (row is None or not self._is_own(row)):
                return

    def _is_own(self, row: StoredRow) -> bool:
        """Return whether this process wrote a row, which may be doubted."""
        try:
            found = decode(row.body, Member)
        except msgspec.ValidationError:
            return False
        return msgspec.structs.replace(found, doubted=False) == self._member

    async def _try_register(self) -> bool:
        """Write the row once; return whether the node is registered."""
        settled = not self._late_creation
        self._late_creation |= not self._version
        try:
            answer = await self._store.commit(
                Batch(
                    expected=(Expect(self._key, self._version),),
                    puts=((self._key, self._body),),
                ),
            )
        except StoreUncertainError:
            return False
        except StoreRefusedError:
            self._late_creation &= not settled
            return False
        self._late_creation &= not settled
        match answer:
            case Committed(version=version):
                self._version = version
                self._registered = True
            case Conflict():
                self._registered = self._learn(answer)
        return self._registered

    def _removal(self) -> Batch:
        expected = (Expect(self._key, self._version),)
        if not self._late_creation:
            return Batch(expected=expected, removes=(self._key,))
        left = msgspec.structs.replace(self._member, left=True)
        return Batch(expected=expected, puts=((self._key, encode(left)),))

    def _learn(self, conflict: Conflict) -> bool:
        """Note the row's version; return whether this process wrote it."""
        row = conflict.find(self._key)
        self._version = row.version if row else 0
        return row is not None and row.body == self._body


def _rewrite_pause_s(member: Member) -> float:
    """Return how long a node waits before it writes its lost row anew."""
    share = zlib.crc32(member.node.encode()) / _HASH_RANGE
    return _REWRITE_PAUSE_S + _SPREAD_S * share
