"""The row in which a node registers as a member of the cell."""

import msgspec
import trio

from cyclamentrack.codec import encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Conflict,
    Expect,
    RowStore,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import Member, member_key

_RETRY_S = 0.2


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
        self._registering = trio.CancelScope()

    async def register(self) -> None:
        """Register the node; repeat this until it is done, or ``remove``."""
        with self._registering:
            while not await self._try_register():
                await trio.sleep(_RETRY_S)

    async def remove(self) -> None:
        """Remove the node, but not a later process of its name.

        Raises ``StoreRefusedError`` or ``StoreUncertainError``.
        """
        self._registering.cancel()
        while True:
            answer = await self._store.commit(self._removal())
            if isinstance(answer, Committed):
                return
            if not self._learn(answer) and self._registered:
                return

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
