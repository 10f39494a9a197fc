"""The journal: group commit of all events of a daemon, one row per commit.

Events of all partitions share a row, so the number of writes to the table
service depends on time and not on the number of placements. The interval
between two commits grows with the latency of the service and shrinks with the
daemon's share of the write budget.
"""

import logging
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.codec import encode
from cyclamentrack.errors import ConditionFailedError, FencedError
from cyclamentrack.events import Event
from cyclamentrack.ids import DaemonId, Incarnation
from cyclamentrack.membership import Membership
from cyclamentrack.metrics import Metrics
from cyclamentrack.ports import (
    Absent,
    Delete,
    Put,
    Table,
    Transaction,
    Write,
)
from cyclamentrack.store import commit_confirmed

_log = logging.getLogger(__name__)

JOURNAL_PREFIX = 'journal/'
_DELETES_PER_COMMIT = 200


class JournalRow(msgspec.Struct, frozen=True, kw_only=True):
    """The events of one commit."""

    events: list[Event]


def journal_key(daemon: DaemonId, incarnation: Incarnation, row: int) -> str:
    """Return the key of one journal row; keys sort by row number."""
    return f'{JOURNAL_PREFIX}{daemon}/{incarnation}/{row:012d}'


def incarnation_of(key: str) -> Incarnation:
    """Return the incarnation that wrote a journal row."""
    return Incarnation(key.split('/')[2])


class Journal:
    """Appends events and makes them durable in groups."""

    def __init__(
        self,
        *,
        table: Table,
        membership: Membership,
        writers: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        """Start empty.

        ``writers`` returns how many daemons share the write budget.
        """
        self._table = table
        self._membership = membership
        self._writers = writers
        self._metrics = metrics
        self._pending: dict[int, Event] = {}
        self._appended = 0
        self._durable_position = 0
        self._row = 0
        self._first_row = 0
        self._in_flight = False
        self._deletes: list[str] = []
        self._wake = trio.Event()
        self._durable_advanced = trio.Event()
        self._withdrawn_count = 0
        self.commits = 0

    @property
    def appended(self) -> int:
        """Position of the last appended event."""
        return self._appended

    @property
    def durable_position(self) -> int:
        """Position up to which all events are durable."""
        return self._durable_position

    @property
    def withdrawn_count(self) -> int:
        """How many events were withdrawn before they were sent."""
        return self._withdrawn_count

    @property
    def open_row(self) -> int:
        """Number of the first row that may still receive events."""
        return self._row

    def append(self, event: Event) -> int:
        """Add an event and return its position."""
        self._appended += 1
        self._pending[self._appended] = event
        self._wake.set()
        return self._appended

    def withdraw(self, position: int) -> bool:
        """Remove an event unless it was sent; return whether it was removed."""
        if self._pending.pop(position, None) is None:
            return False
        self._withdrawn_count += 1
        return True

    async def wait_durable(self, position: int) -> None:
        """Wait until the event at a position is durable."""
        while self._durable_position < position:
            await self._durable_advanced.wait()

    def truncate(self, row: int) -> None:
        """Let later commits delete this journal's rows below ``row``."""
        me = self._membership.me
        for number in range(self._first_row, row):
            self._deletes.append(
                journal_key(me.daemon, me.incarnation, number),
            )
        self._first_row = max(self._first_row, row)

    def schedule_deletes(self, keys: list[str]) -> None:
        """Let later commits delete rows that nothing refers to."""
        self._deletes.extend(keys)
        self._wake.set()

    async def run(self) -> None:
        """Commit groups of events until cancelled.

        Raises ``FencedError`` once a successor has fenced this daemon.
        """
        while True:
            await self._wake.wait()
            started = trio.current_time()
            await self._commit_window()
            elapsed = trio.current_time() - started
            await trio.sleep(max(self._window_s() - elapsed, 0))

    def _window_s(self) -> float:
        """Return the seconds between commits that the write budget allows."""
        budget = defaults.TABLE_WRITES_PER_S * defaults.JOURNAL_BUDGET_SHARE
        share = budget / max(self._writers(), 1)
        return max(1 / share, defaults.JOURNAL_WINDOW_MIN_S)

    async def _commit_window(self) -> None:
        positions = list(self._pending)[: defaults.JOURNAL_ROW_EVENTS]
        events = [self._pending.pop(position) for position in positions]
        last = positions[-1] if positions else self._appended
        if events or self._deletes:
            await self._write(events)
        self._durable_position = last
        if not self._pending:
            self._durable_position = self._appended
            self._wake = trio.Event()
        self._durable_advanced.set()
        self._durable_advanced = trio.Event()

    async def _write(self, events: list[Event]) -> None:
        me = self._membership.me
        with self._metrics.timed('journal'):
            body = encode(JournalRow(events=events))
        proof = Put(
            key=journal_key(me.daemon, me.incarnation, self._row), body=body
        )
        deletes = self._deletes[:_DELETES_PER_COMMIT]
        writes: list[Write] = [proof]
        writes.extend(Delete(key=key) for key in deletes)
        try:
            await commit_confirmed(
                table=self._table,
                transaction=Transaction(
                    conditions=[
                        self._membership.row_exists_condition(),
                        Absent(key=proof.key),
                    ],
                    writes=writes,
                ),
                proof=proof,
            )
        except ConditionFailedError as lost:
            self._membership.mark_fenced()
            raise FencedError(incarnation=me.incarnation) from lost
        self._row += 1
        self.commits += 1
        self._deletes = self._deletes[len(deletes) :]
