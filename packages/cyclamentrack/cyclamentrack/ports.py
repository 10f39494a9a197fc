"""Interfaces to the platform, to workers and to peers.

The kernel knows these interfaces only. A plug-in implements them against a
platform's wire format; tests implement them in memory.
"""

import enum
from collections.abc import Sequence
from typing import Protocol

import msgspec

from cyclamentrack.ids import (
    AttemptId,
    BootId,
    DaemonId,
    Epoch,
    PoolName,
    WorkerId,
)
from cyclamentrack.messages import PeerMessage
from cyclamentrack.resources import Resources
from cyclamentrack.work import Outcome


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the table service; ``version`` counts its writes."""

    key: str
    body: bytes
    version: int


class Absent(msgspec.Struct, frozen=True, kw_only=True, tag='absent'):
    """Condition: there is no such row."""

    key: str


class Present(msgspec.Struct, frozen=True, kw_only=True, tag='present'):
    """Condition: there is such a row, whatever its version."""

    key: str


class VersionIs(msgspec.Struct, frozen=True, kw_only=True, tag='version'):
    """Condition: the row is there with exactly this version."""

    key: str
    version: int


Condition = Absent | Present | VersionIs


class Put(msgspec.Struct, frozen=True, kw_only=True, tag='put'):
    """Write: create or replace a row."""

    key: str
    body: bytes


class Delete(msgspec.Struct, frozen=True, kw_only=True, tag='delete'):
    """Write: remove a row, or do nothing when it is absent."""

    key: str


Write = Put | Delete


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that take effect together if all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]


class Table(Protocol):
    """The platform's transactional table service."""

    async def read(self, *, keys: Sequence[str]) -> list[Row | None]:
        """Return the rows of the keys, in order.

        Raises ``StoreUncertainError`` when the service doesn't answer.
        """

    async def scan(self, *, prefix: str, limit: int, after: str) -> list[Row]:
        """Return rows by key order whose key has the prefix."""

    async def commit(self, *, transaction: Transaction) -> None:
        """Apply a transaction.

        Raises ``ConditionFailedError`` when nothing was written and
        ``StoreUncertainError`` when that isn't known.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, *, key: str, body: bytes) -> None:
        """Store an object, replacing one of the same key."""

    async def fetch(self, *, key: str) -> bytes | None:
        """Return an object, or ``None`` when there is none."""

    async def remove(self, *, key: str) -> None:
        """Remove an object, or do nothing when it is absent."""

    async def names(self, *, prefix: str) -> list[str]:
        """Return the keys that have the prefix, in order."""


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One worker as the platform's instance list gives it."""

    id: WorkerId
    address: str
    rack: str
    zone: str
    pool: PoolName
    capacity: Resources
    slots: int
    state: InstanceState = InstanceState.LIVE


class Instances(Protocol):
    """The platform's lagging list of live and leaving instances."""

    async def list(self) -> list[Instance]:
        """Return the list as the platform sees it now."""


class StartCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Start one attempt at a task on a worker."""

    attempt: AttemptId
    resources: Resources
    run_s: float
    payload: str


class AttemptPhase(enum.Enum):
    """What a worker knows of an attempt."""

    RUNNING = 'running'
    ENDED = 'ended'
    BARRED = 'sealed'
    REFUSED = 'refused'


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's word on one attempt.

    ``SEALED`` says that the attempt did not start and never will. ``REFUSED``
    says that a start was turned down, for ``answer``'s reason.
    """

    attempt: AttemptId
    phase: AttemptPhase
    resources: Resources
    outcome: Outcome = Outcome.SUCCEEDED
    answer: str = ''


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What an attempt really used of late, as the worker measured it."""

    attempt: AttemptId
    used: Resources


class FenceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Take a worker over: refuse whatever is below this epoch and number.

    A seal doesn't extend the lease, so one that is delayed can't keep tasks
    alive which their owner has given up.
    """

    epoch: Epoch
    owner: DaemonId
    number: int


class Sync(msgspec.Struct, frozen=True, kw_only=True):
    """One exchange with a worker: lease renewal, commands and reports.

    ``number`` rises with every exchange of an epoch; the worker refuses one
    that isn't above the last, so a delayed exchange can't take effect late.
    ``throttles`` are held to what they were given, and ``checkpoints`` save
    their progress for the task's next attempt on the worker.
    ``token`` is the worker's own stamp of its last answer; the lease counts
    from it. ``stops`` also seal attempts that haven't started.
    """

    epoch: Epoch
    owner: DaemonId
    number: int
    token: float
    starts: list[StartCommand] = []
    stops: list[AttemptId] = []
    forgets: list[AttemptId] = []
    throttles: list[AttemptId] = []
    checkpoints: list[AttemptId] = []


class SyncAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's answer.

    A seal's reports are all that the worker holds; an exchange's are about
    its commands; a watch's are the ends after the cursor that was given.
    """

    boot: BootId
    token: float
    cursor: int = 0
    reports: list[AttemptReport] = []
    usages: list[Usage] = []
    leaving: bool = False


class Watch(msgspec.Struct, frozen=True, kw_only=True):
    """Wait up to ``wait_s`` seconds for ends after ``cursor``."""

    epoch: Epoch
    cursor: int
    wait_s: float


class Lookup(msgspec.Struct, frozen=True, kw_only=True):
    """A quick request that a worker answers in the same exchange."""

    epoch: Epoch
    token: float
    id: str
    resources: Resources
    payload: str


class Workers(Protocol):
    """The way to the workers, by the address in the instance list.

    Each call raises ``WorkerUnreachableError`` when there is no answer in
    time and ``WorkerRefusedError`` when the epoch, number or token is out of
    date.
    """

    async def fence(
        self, *, instance: Instance, fence: FenceRequest
    ) -> SyncAnswer:
        """Refuse lower epochs from now on; return all that it holds."""

    async def sync(self, *, instance: Instance, sync: Sync) -> SyncAnswer:
        """Renew the lease and carry out commands."""

    async def watch(self, *, instance: Instance, watch: Watch) -> SyncAnswer:
        """Wait until attempts have ended and return their ends."""

    async def lookup(self, *, instance: Instance, lookup: Lookup) -> str:
        """Run a quick request and return its answer."""


class Peers(Protocol):
    """The way to the other daemons of the cell."""

    async def call(
        self, *, address: str, message: PeerMessage, timeout_s: float
    ) -> PeerMessage:
        """Send one request and return its reply.

        Raises ``PeerUnreachableError`` when there is no reply in time.
        """
