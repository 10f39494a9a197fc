"""Interfaces of the job cell to the store, to workers and to permits.

A platform's adapter implements them against its wire format; tests implement
them in memory. All times are in seconds.
"""

import enum
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from cyclamentrack.errors import CyclamentrackError
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import (
    Configuration,
    End,
    StepName,
    TaskName,
    Token,
    WorkerEntry,
)

# The largest row of stores that don't say how much theirs hold.
DEFAULT_ROW_BYTES = 65_536


class RowKey(msgspec.Struct, frozen=True, array_like=True):
    """A row's address: table, part of the table, key within the part."""

    table: str
    part: str
    key: str


class StoredRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row; ``version`` comes from one counter over all rows."""

    key: RowKey
    body: bytes
    version: int


class Expect(msgspec.Struct, frozen=True, array_like=True):
    """Condition that a row has this version, or is absent if it is 0."""

    key: RowKey
    version: int


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """Writes to one part that take effect together if all conditions hold."""

    expected: tuple[Expect, ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    removes: tuple[RowKey, ...] = ()


class Committed(msgspec.Struct, frozen=True, kw_only=True):
    """The batch took effect; its rows now have this version."""

    version: int


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """A condition didn't hold; ``rows`` are the current rows named in them."""

    rows: tuple[StoredRow, ...]

    def find(self, key: RowKey) -> StoredRow | None:
        """Return the current row of a key, or ``None``."""
        for row in self.rows:
            if row.key == key:
                return row
        return None


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Rows as of ``version``, ordered by key."""

    rows: tuple[StoredRow, ...]
    version: int


class PartNames(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of a table that hold rows, as of ``version``."""

    names: tuple[str, ...]
    version: int


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Rows changed and keys removed up to ``version``."""

    rows: tuple[StoredRow, ...]
    removed: tuple[RowKey, ...]
    version: int


class StoreRefusedError(CyclamentrackError):
    """The store refused a call; nothing was done.

    If it did so ``for_good``, it would refuse the same call again.
    """

    def __init__(self, *, status: int, for_good: bool = False) -> None:
        """Create the error from the HTTP status of the reply."""
        self.for_good = for_good
        super().__init__(
            message=f'the store refused a call with status {status}',
            remedy='try again later or through a peer',
        )


class HistoryLostError(CyclamentrackError):
    """The store no longer has the changes after the requested version."""

    def __init__(self, *, table: str) -> None:
        """Create the error for a table."""
        super().__init__(
            message=f'history of table {table} is no longer available',
            remedy='read the whole table again and follow it from there',
        )


class RowStore(Protocol):
    """The platform's table service.

    Every call raises ``StoreRefusedError`` if nothing was done, and
    ``StoreUncertainError`` if there was no answer, so that a write may or may
    not take effect.
    """

    async def commit(self, batch: Batch) -> Committed | Conflict:
        """Apply a batch, or return the rows that conflict with it."""

    async def scan(self, *, table: str, part: str) -> Page:
        """Return all rows of a part of a table."""

    async def read_pages(
        self,
        *,
        table: str,
        part: str,
        handle: Callable[[Sequence[StoredRow]], object],
    ) -> int:
        """Hand over the rows of a part of a table, some at a time.

        A large part then never is in memory as a whole. Returns the version
        to follow.
        """

    async def parts(self, *, table: str) -> PartNames:
        """Return the parts of a table that hold rows."""

    async def read(self, key: RowKey) -> StoredRow | None:
        """Return one row, or ``None`` when there is none."""

    async def follow(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of a table after a version.

        Raises ``HistoryLostError`` if that version is too old.
        """


class StartAnswer(enum.Enum):
    """A worker's answer to a start order.

    ``NO_ANSWER`` means that there was no answer, so the run may start now or
    later; all others except ``STARTED`` mean that the run was not started.
    ``NOT_SENT`` means that the worker could not be connected to.
    """

    STARTED = 'started'
    FENCED = 'fence'
    STALE_RUN = 'old'
    LATE = 'late'
    NO_CAPACITY = 'room'
    NO_PERMIT = 'ticket'
    MALFORMED = 'bad'
    BUSY = 'busy'
    OTHER_INCARNATION = 'other life'
    NO_ANSWER = 'silent'
    NOT_SENT = 'not sent'


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to start one run of a task.

    ``lease_until_ms`` is a time on the worker's own clock; ``answer_s`` is how
    long to wait for the answer.
    """

    task: TaskName
    run: int
    payload: str
    token: Token
    lease_until_ms: int
    answer_s: float
    checkpoint: str = ''
    permit: str = ''


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """A run that is active on a worker.

    ``reading`` is the tail of a serving task's response times in milliseconds;
    for other tasks it is the processor use in thousandths of a core.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: float
    reading: float


class EndReport(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a run, which its worker lists under ``number``."""

    number: int
    task: TaskName
    run: int
    end: End
    checkpoint: str


class PollOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Poll of a worker: extend the lease, acknowledge ends, wait for more.

    The ends up to ``acknowledged`` and the clock of ``lease_until_ms`` are
    those of one ``incarnation``. Another one may answer the poll, but none of
    its ends are acknowledged, and its lease stays as it is. The worker
    waits up to ``wait_s`` for a run to end; its answer may take another
    ``answer_s``. Without ``lease_until_ms`` the lease stays as it is.
    """

    token: Token
    incarnation: int
    acknowledged: int
    lease_until_ms: int | None
    wait_s: float
    answer_s: float


class PollReport(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's answer to a poll, with its active and ended runs.

    ``incarnation`` changes with each restart of the worker; ``clock_ms`` is
    the time on its own clock. Unless the report is ``complete``, more ends are
    listed once these are acknowledged.
    """

    incarnation: int
    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    complete: bool = True


class OrderFencedError(CyclamentrackError):
    """A worker has seen a higher fencing token."""

    def __init__(self, *, worker: WorkerId) -> None:
        """Create the error for a worker."""
        super().__init__(
            message=f'worker {worker} follows a newer owner',
            remedy='give the slice up and read its current claim',
        )


class WorkerOrders(Protocol):
    """Orders to workers.

    ``poll`` and ``stop`` raise ``WorkerUnreachableError`` without an answer and
    ``OrderFencedError`` if the worker has seen a newer owner's token.
    """

    async def start(
        self, *, worker: WorkerEntry, order: StartOrder
    ) -> StartAnswer:
        """Order the start of a run; a lost answer doesn't raise an error."""

    async def stop(
        self, *, worker: WorkerEntry, task: TaskName, run: int, token: Token
    ) -> None:
        """Stop a run; if it has not started, its start is refused later."""

    async def poll(
        self, *, worker: WorkerEntry, order: PollOrder
    ) -> PollReport:
        """Extend the lease of all runs and return the runs and ends listed."""

    async def pace(
        self,
        *,
        worker: WorkerEntry,
        task: TaskName,
        run: int,
        percent: int,
        token: Token,
    ) -> None:
        """Limit a run to a percentage of its full speed."""


class Permits(msgspec.Struct, frozen=True, kw_only=True):
    """Workers that may run a step, each with its permit, for ``valid_s``."""

    granted: dict[WorkerId, str]
    valid_s: float


class PermitService(Protocol):
    """The service that decides which workers may run a step."""

    async def request_permits(
        self, *, step: StepName, workers: Sequence[WorkerId], timeout_s: float
    ) -> Permits | None:
        """Return permits, or ``None`` without a usable answer."""


class EntryDecoder(Protocol):
    """Decodes entries that other programs of the platform have stored.

    For an entry that can't be decoded, the reason is logged and ``None`` is
    returned.
    """

    def configuration(self, body: bytes) -> Configuration | None:
        """Decode the operators' configuration."""

    def worker(self, key: str, body: bytes) -> WorkerEntry | None:
        """Decode a worker's entry."""


class CellTables(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the tables that the platform itself writes."""

    configuration: str
    configuration_key: str
    workers: str


class Timings(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits of the deployment, in seconds.

    ``worker_lease_s`` is the length of a worker's lease, ``drain_s`` how
    long a draining worker lets its runs continue, and ``status_s`` how long
    callers may ask for the state of a closed job. A change of the
    configuration must be in force everywhere within ``configuration_s``.
    """

    worker_lease_s: float
    drain_s: float
    status_s: float
    configuration_s: float = 2.0
