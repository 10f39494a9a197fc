"""Which daemons are alive, and whether this one may still make decisions.

Each daemon renews one row. It measures its own lease on its own clock, from
just before it sent the renewal. Other daemons measure the lease from the time
they saw the row change. Clocks of different instances are never compared.
"""

import enum
import logging

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import (
    ConditionFailedError,
    FencedError,
    StoreUncertainError,
)
from cyclamentrack.ids import DaemonId, Incarnation, Revision
from cyclamentrack.ports import (
    Absent,
    Condition,
    Delete,
    Present,
    Put,
    Row,
    Table,
    Transaction,
    VersionIs,
)

_log = logging.getLogger(__name__)

_PREFIX = 'member/'
_MAX_MEMBERS_READ = 500


class MemberState(enum.Enum):
    """Whether a daemon claims partitions."""

    LIVE = 'live'
    DRAINING = 'draining'


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon as described by its member row.

    ``beat`` is incremented by each renewal. ``peer`` is the address for
    other daemons. ``revision`` is the configuration revision in effect there.
    """

    daemon: DaemonId
    incarnation: Incarnation
    peer: str
    zone: str
    beat: int = 0
    state: MemberState = MemberState.LIVE
    revision: Revision = Revision(0)


class _ObservedVersion(msgspec.Struct, kw_only=True):
    version: int
    since: float


def member_key(daemon: DaemonId, incarnation: Incarnation) -> str:
    """Return the key of a daemon's row.

    A daemon may write to the table service only while its row exists.
    """
    return f'{_PREFIX}{daemon}/{incarnation}'


class Membership:
    """Renews this daemon's lease and watches the other daemons."""

    def __init__(
        self,
        *,
        table: Table,
        me: Member,
        lease_s: float = defaults.LEASE_S,
        margin_s: float = defaults.LEASE_MARGIN_S,
    ) -> None:
        """Prepare to join; ``join`` writes the first row."""
        self._table = table
        self._me = me
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._version = 0
        self._valid_until = float('-inf')
        self._members: dict[str, Member] = {}
        self._observed: dict[str, _ObservedVersion] = {}
        self._last_scan = float('-inf')
        self._fenced = False
        self.changed = trio.Event()

    @property
    def me(self) -> Member:
        """This daemon's own row."""
        return self._me

    @property
    def key(self) -> str:
        """The key of this daemon's own row."""
        return member_key(self._me.daemon, self._me.incarnation)

    @property
    def valid(self) -> bool:
        """Whether this daemon's lease is valid on its own clock."""
        return not self._fenced and trio.current_time() < self._valid_until

    @property
    def lease_expired_s(self) -> float:
        """Seconds since the lease expired; 0 while it is valid."""
        return max(trio.current_time() - self._valid_until, 0)

    @property
    def fenced(self) -> bool:
        """Whether this daemon's row is gone, so all its writes will fail."""
        return self._fenced

    @property
    def members(self) -> list[Member]:
        """All daemons that have a row, including this one."""
        return list(self._members.values())

    def row_exists_condition(self) -> Condition:
        """Return the condition for every write: this daemon's row exists."""
        return Present(key=self.key)

    def find(self, incarnation: Incarnation) -> Member | None:
        """Return an incarnation's row as of the last read, or ``None``."""
        for member in self._members.values():
            if member.incarnation == incarnation:
                return member
        return None

    def is_me(self, member: Member) -> bool:
        """Return whether a row belongs to this very incarnation.

        An earlier incarnation of this daemon has the same name.
        """
        return member.incarnation == self._me.incarnation

    def is_alive(self, daemon: DaemonId, incarnation: Incarnation) -> bool:
        """Return whether the incarnation's row existed at the last read."""
        return member_key(daemon, incarnation) in self._members

    async def join(self) -> None:
        """Write the first row, retrying until the table service answers."""
        while not self._version:
            try:
                await self._renew()
            except StoreUncertainError:
                await trio.sleep(defaults.TABLE_RETRY_MIN_S)
        await self._try_refresh()

    async def run(self) -> None:
        """Renew the lease and watch the other daemons until cancelled.

        Raises ``FencedError`` when a successor removed this daemon's row.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_forever)
            nursery.start_soon(self._watch_forever)

    async def set_state(self, state: MemberState) -> None:
        """Renew the lease now, with a new state."""
        self._me = msgspec.structs.replace(self._me, state=state)
        try:
            await self._renew()
        except StoreUncertainError:
            _log.info(
                'state %s will be sent with the next renewal', state.value
            )
        except FencedError:
            _log.info('fenced: a successor owns the partitions of this daemon')

    def set_revision(self, revision: Revision) -> None:
        """Announce a configuration revision with the next renewal."""
        self._me = msgspec.structs.replace(self._me, revision=revision)

    async def leave(self) -> None:
        """Remove this daemon's row; all its later writes fail."""
        self._fenced = True
        try:
            await self._table.commit(
                transaction=Transaction(
                    conditions=[Present(key=self.key)],
                    writes=[Delete(key=self.key)],
                ),
            )
        except (StoreUncertainError, ConditionFailedError):
            _log.info('cannot remove the own member row; its lease will expire')

    def mark_fenced(self) -> None:
        """Record that a failed write showed this daemon to be fenced."""
        self._fenced = True

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(defaults.RENEW_INTERVAL_S)
            try:
                await self._renew()
            except StoreUncertainError:
                _log.warning('no answer to the lease renewal')

    async def _renew(self) -> None:
        """Renew once; the lease counts from just before the request."""
        sent_at = trio.current_time()
        row = msgspec.structs.replace(self._me, beat=self._me.beat + 1)
        self._me = row
        body = encode(row)
        condition: Condition = Absent(key=self.key)
        if self._version:
            condition = VersionIs(key=self.key, version=self._version)
        try:
            await self._table.commit(
                transaction=Transaction(
                    conditions=[condition],
                    writes=[Put(key=self.key, body=body)],
                ),
            )
        except ConditionFailedError:
            await self._check_failed_renewal(body, sent_at)
            return
        self._version += 1
        self._extend_lease(sent_at)

    async def _check_failed_renewal(self, body: bytes, sent_at: float) -> None:
        """Check why a renewal's condition failed.

        Either a renewal took effect although its reply was lost, or a
        successor removed the row, which raises ``FencedError``.
        """
        rows = await self._table.read(keys=[self.key])
        row = rows[0]
        if row is None:
            self._fenced = True
            raise FencedError(incarnation=self._me.incarnation)
        self._version = row.version
        if row.body == body:
            self._extend_lease(sent_at)

    def _extend_lease(self, sent_at: float) -> None:
        until = sent_at + self._lease_s - self._margin_s
        self._valid_until = max(self._valid_until, until)

    async def _watch_forever(self) -> None:
        while True:
            await self._try_refresh()
            await trio.sleep(defaults.CLAIM_INTERVAL_S)

    async def _try_refresh(self) -> None:
        try:
            await self._refresh()
        except StoreUncertainError:
            _log.info('cannot read the member list; will retry')

    async def _refresh(self) -> None:
        rows = await self._table.scan(
            prefix=_PREFIX,
            limit=_MAX_MEMBERS_READ,
            after='',
        )
        now = trio.current_time()
        if now - self._last_scan > self._margin_s + defaults.CLAIM_INTERVAL_S:
            # Rows were not read for a while: renewals may have been missed.
            self._observed.clear()
        self._last_scan = now
        before = set(self._members)
        self._members = {row.key: decode(row.body, Member) for row in rows}
        for row in rows:
            await self._fence_if_expired(row, now)
        if before != set(self._members):
            self.changed.set()
            self.changed = trio.Event()

    async def _fence_if_expired(self, row: Row, now: float) -> None:
        """Fence a daemon whose row did not change for a full lease."""
        seen = self._observed.get(row.key)
        if seen is None or seen.version != row.version:
            self._observed[row.key] = _ObservedVersion(
                version=row.version,
                since=now,
            )
            return
        if row.key == self.key or now - seen.since < self._lease_s:
            return
        await self._fence(row.key, row.version)

    async def _fence(self, key: str, version: int) -> None:
        try:
            await self._table.commit(
                transaction=Transaction(
                    conditions=[
                        VersionIs(key=key, version=version),
                        self.row_exists_condition(),
                    ],
                    writes=[Delete(key=key)],
                ),
            )
        except (ConditionFailedError, StoreUncertainError):
            return
        _log.warning('fenced daemon %s: lease not renewed', key)
        self._members.pop(key, None)
