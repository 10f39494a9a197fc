"""Interfaces to the platform, to workers and to peers.

The kernel depends only on these interfaces. A plug-in implements them for a
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
    """Condition: the row doesn't exist."""

    key: str


class Present(msgspec.Struct, frozen=True, kw_only=True, tag='present'):
    """Condition: the row exists, at any version."""

    key: str


class VersionIs(msgspec.Struct, frozen=True, kw_only=True, tag='version'):
    """Condition: the row exists with exactly this version."""

    key: str
    version: int


Condition = Absent | Present | VersionIs


class Put(msgspec.Struct, frozen=True, kw_only=True, tag='put'):
    """Write: create or replace a row."""

    key: str
    body: bytes


class Delete(msgspec.Struct, frozen=True, kw_only=True, tag='delete'):
    """Write: remove a row, or do nothing when it doesn't exist."""

    key: str


Write = Put | Delete


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that take effect atomically if all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]


class Table(Protocol):
    """The platform's transactional table service."""

    async def read(self, *, keys: Sequence[str]) -> list[Row | None]:
        """Return the rows in the order of the keys, ``None`` for absent ones.

        Raises ``StoreUncertainError`` when the service doesn't answer.
        """

    async def scan(self, *, prefix: str, limit: int, after: str) -> list[Row]:
        """Return up to ``limit`` rows with the prefix, in key order.

        Only rows whose key is greater than ``after`` are returned.
        """

    async def commit(self, *, transaction: Transaction) -> None:
        """Apply a transaction.

        Raises ``ConditionFailedError`` when a condition failed and nothing
        was written. Raises ``StoreUncertainError`` when it isn't known
        whether the writes took effect.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, *, key: str, body: bytes) -> None:
        """Store an object, replacing any object with the same key."""

    async def fetch(self, *, key: str) -> bytes | None:
        """Return an object, or ``None`` when it doesn't exist."""

    async def remove(self, *, key: str) -> None:
        """Remove an object, or do nothing when it doesn't exist."""

    async def names(self, *, prefix: str) -> list[str]:
        """Return the sorted keys that start with the prefix."""


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One worker as described by the platform's instance list."""

    id: WorkerId
    address: str
    rack: str
    zone: str
    pool: PoolName
    capacity: Resources
    slots: int
    state: InstanceState = InstanceState.LIVE


class Instances(Protocol):
    """The platform's list of live and leaving instances, which may be stale."""

    async def list(self) -> list[Instance]:
        """Return the list as the platform has it now."""


class StartCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Start one attempt of a task on a worker."""

    attempt: AttemptId
    resources: Resources
    run_s: float
    payload: str


class AttemptPhase(enum.Enum):
    """State of an attempt at its worker."""

    RUNNING = 'running'
    ENDED = 'ended'
    BARRED = 'sealed'
    REFUSED = 'refused'


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's report on one attempt.

    ``BARRED`` means that the attempt did not start and never will.
    ``REFUSED`` means that the worker refused the start; ``answer`` holds the
    reason.
    """

    attempt: AttemptId
    phase: AttemptPhase
    resources: Resources
    outcome: Outcome = Outcome.SUCCEEDED
    answer: str = ''


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What an attempt recently used, as measured by the worker."""

    attempt: AttemptId
    used: Resources


class FenceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Fence a worker: it then refuses lower epochs and numbers.

    A fence request doesn't extend the lease, so a delayed one can't keep
    tasks alive that their owner already considers lost.
    """

    epoch: Epoch
    owner: DaemonId
    number: int


class Sync(msgspec.Struct, frozen=True, kw_only=True):
    """One exchange with a worker: lease renewal, commands and reports.

    ``number`` increases with every exchange of an epoch. The worker refuses
    a number that isn't above the last, so a delayed exchange can't take
    effect late.
    ``token`` is the timestamp that the worker put on its last answer; the
    lease is counted from it.
    Attempts in ``stops`` are stopped, or barred if they haven't started.
    Attempts in ``throttles`` are limited to their allocation. Attempts in
    ``checkpoints`` save their progress for the task's next attempt on the
    worker.
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

    The ``reports`` cover all attempts of the worker in the answer to a
    ``FenceRequest``, the commands in the answer to a ``Sync``, and the ends
    after the given cursor in the answer to a ``Watch``.
    """

    boot: BootId
    token: float
    cursor: int = 0
    reports: list[AttemptReport] = []
    usages: list[Usage] = []
    leaving: bool = False


class Watch(msgspec.Struct, frozen=True, kw_only=True):
    """Wait up to ``wait_s`` seconds for attempts that end after ``cursor``."""

    epoch: Epoch
    cursor: int
    wait_s: float


class Lookup(msgspec.Struct, frozen=True, kw_only=True):
    """A short request that a worker answers in the same exchange."""

    epoch: Epoch
    token: float
    id: str
    resources: Resources
    payload: str


class Workers(Protocol):
    """Client of the workers, at their addresses in the instance list.

    Each call raises ``WorkerUnreachableError`` when there is no answer in
    time and ``WorkerRefusedError`` when the epoch, number or token is out of
    date.
    """

    async def fence(
        self, *, instance: Instance, fence: FenceRequest
    ) -> SyncAnswer:
        """Fence lower epochs; return reports of all attempts of the worker."""

    async def sync(self, *, instance: Instance, sync: Sync) -> SyncAnswer:
        """Renew the lease and carry out commands."""

    async def watch(self, *, instance: Instance, watch: Watch) -> SyncAnswer:
        """Wait until attempts end and return their reports."""

    async def lookup(self, *, instance: Instance, lookup: Lookup) -> str:
        """Run a short request and return its answer."""


class Peers(Protocol):
    """Client of the other daemons of the cell."""

    async def call(
        self, *, address: str, message: PeerMessage, timeout_s: float
    ) -> PeerMessage:
        """Send one request and return its reply.

        Raises ``PeerUnreachableError`` after ``timeout_s`` without a reply.
        """
