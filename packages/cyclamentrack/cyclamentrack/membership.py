"""Which daemons are alive, and whether this one may still decide.

Each daemon renews one row. It measures its own lease on its own clock, from
before it sent the renewal. Others count the lease from when they saw the row
change. The clocks of two instances are never compared.
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
_SCAN_ROWS = 500


class MemberState(enum.Enum):
    """Whether a daemon takes on partitions."""

    LIVE = 'live'
    DRAINING = 'draining'


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon as its row describes it.

    ``beat`` rises with each renewal. ``peer`` is where other daemons reach
    it. ``revision`` is the configuration that it has in force.
    """

    daemon: DaemonId
    incarnation: Incarnation
    peer: str
    zone: str
    beat: int = 0
    state: MemberState = MemberState.LIVE
    revision: Revision = Revision(0)


class _Sighting(msgspec.Struct, kw_only=True):
    version: int
    since: float


def member_key(daemon: DaemonId, incarnation: Incarnation) -> str:
    """Return the key of a daemon's row; the row exists while it may write."""
    return f'{_PREFIX}{daemon}/{incarnation}'


class Membership:
    """This daemon's lease, and its view of the other daemons."""

    def __init__(
        self,
        *,
        table: Table,
        me: Member,
        lease_s: float = defaults.LEASE_S,
        margin_s: float = defaults.LEASE_MARGIN_S,
    ) -> None:
        """Prepare to join; nothing is written yet."""
        self._table = table
        self._me = me
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._version = 0
        self._valid_until = float('-inf')
        self._members: dict[str, Member] = {}
        self._sightings: dict[str, _Sighting] = {}
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
        """Whether this daemon's lease holds on its own clock."""
        return not self._fenced and trio.current_time() < self._valid_until

    @property
    def lapsed_s(self) -> float:
        """For how many seconds the lease has not held; 0 while it holds."""
        return max(trio.current_time() - self._valid_until, 0)

    @property
    def fenced(self) -> bool:
        """Whether this daemon's row is gone, so that it may write nothing."""
        return self._fenced

    @property
    def members(self) -> list[Member]:
        """All daemons whose rows exist, this one included."""
        return list(self._members.values())

    def alive(self) -> Condition:
        """Return the condition that every write of this daemon carries."""
        return Present(key=self.key)

    def find(self, incarnation: Incarnation) -> Member | None:
        """Return an incarnation's row as last seen, or ``None``."""
        for member in self._members.values():
            if member.incarnation == incarnation:
                return member
        return None

    def is_me(self, member: Member) -> bool:
        """Tell whether a row is this incarnation's, not only its name."""
        return member.incarnation == self._me.incarnation

    def is_alive(self, daemon: DaemonId, incarnation: Incarnation) -> bool:
        """Tell whether that incarnation's row was there at the last look."""
        return member_key(daemon, incarnation) in self._members

    async def join(self) -> None:
        """Write the first row, waiting for the table service if need be."""
        while not self._version:
            try:
                await self._renew()
            except StoreUncertainError:
                await trio.sleep(defaults.TABLE_RETRY_MIN_S)
        await self._try_refresh()

    async def run(self) -> None:
        """Renew the lease and watch the others until cancelled.

        Raises ``FencedError`` when a successor removed this daemon's row.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_forever)
            nursery.start_soon(self._watch_forever)

    async def set_state(self, state: MemberState) -> None:
        """Announce a state with the next renewal, which is sent at once."""
        self._me = msgspec.structs.replace(self._me, state=state)
        try:
            await self._renew()
        except StoreUncertainError:
            _log.info('the state %s goes out with a later renewal', state.value)
        except FencedError:
            _log.info('fenced meanwhile: a successor has what was owned here')

    def set_revision(self, revision: Revision) -> None:
        """Announce the configuration in force with the next renewal."""
        self._me = msgspec.structs.replace(self._me, revision=revision)

    async def leave(self) -> None:
        """Remove this daemon's row; nothing is written after it."""
        self._fenced = True
        try:
            await self._table.commit(
                transaction=Transaction(
                    conditions=[Present(key=self.key)],
                    writes=[Delete(key=self.key)],
                ),
            )
        except (StoreUncertainError, ConditionFailedError):
            _log.info('own row could not be removed; its lease runs out')

    def mark_fenced(self) -> None:
        """Stop deciding: a write showed that this daemon is fenced."""
        self._fenced = True

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(defaults.RENEW_INTERVAL_S)
            try:
                await self._renew()
            except StoreUncertainError:
                _log.warning('lease renewal got no answer')

    async def _renew(self) -> None:
        """Renew once; the lease counts from before the renewal was sent."""
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
            await self._read_back(body, sent_at)
            return
        self._version += 1
        self._extend(sent_at)

    async def _read_back(self, body: bytes, sent_at: float) -> None:
        """Find out why a renewal failed: a lost reply, or a fence."""
        rows = await self._table.read(keys=[self.key])
        row = rows[0]
        if row is None:
            self._fenced = True
            raise FencedError(incarnation=self._me.incarnation)
        self._version = row.version
        if row.body == body:
            self._extend(sent_at)

    def _extend(self, sent_at: float) -> None:
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
            _log.info('the member list could not be read')

    async def _refresh(self) -> None:
        rows = await self._table.scan(
            prefix=_PREFIX,
            limit=_SCAN_ROWS,
            after='',
        )
        now = trio.current_time()
        if now - self._last_scan > self._margin_s + defaults.CLAIM_INTERVAL_S:
            self._sightings.clear()  # nobody's silence counts while blind
        self._last_scan = now
        before = set(self._members)
        self._members = {row.key: decode(row.body, Member) for row in rows}
        for row in rows:
            await self._judge(row, now)
        if before != set(self._members):
            self.changed.set()
            self.changed = trio.Event()

    async def _judge(self, row: Row, now: float) -> None:
        """Fence a daemon whose row did not change for a whole lease."""
        seen = self._sightings.get(row.key)
        if seen is None or seen.version != row.version:
            self._sightings[row.key] = _Sighting(
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
                        self.alive(),
                    ],
                    writes=[Delete(key=key)],
                ),
            )
        except (ConditionFailedError, StoreUncertainError):
            return
        _log.warning('fenced %s', key)
        self._members.pop(key, None)
