"""The audit trail: who changed what, when, and with which outcome.

Entries are written to the object store in batches. Recording an entry never
waits. While the store doesn't answer, entries stay in a bounded buffer, and
those that don't fit are counted as dropped.
"""

import enum
import logging
from collections import deque
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import DaemonId, Incarnation
from cyclamentrack.ports import ObjectStore

_log = logging.getLogger(__name__)


class AuditKind(enum.Enum):
    """The kind of thing that an entry is about."""

    TICKET = 'ticket'
    OWNERSHIP = 'ownership'
    WORK = 'work'
    REFUSAL = 'refusal'
    WORKER = 'worker'


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry; ``at`` is the daemon's wall-clock time in seconds."""

    at: float
    daemon: DaemonId
    number: int
    kind: AuditKind
    subject: str
    event: str
    by: str = ''
    detail: str = ''


class _Batch(msgspec.Struct, frozen=True, kw_only=True):
    entries: list[AuditEntry]


class Audit:
    """Writes this daemon's entries and reads those of all daemons."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        daemon: DaemonId,
        incarnation: Incarnation,
        wall_clock: Callable[[], float],
    ) -> None:
        """Start with an empty buffer."""
        self._store = store
        self._daemon = daemon
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._buffer: deque[AuditEntry] = deque()
        self._entry_count = 0
        self._batch_count = 0
        self._flushing = trio.Lock()
        self.dropped = 0

    def record(
        self,
        kind: AuditKind,
        subject: str,
        event: str,
        *,
        by: str = '',
        detail: str = '',
    ) -> None:
        """Add an entry to the buffer, or drop it when the buffer is full."""
        if len(self._buffer) >= defaults.AUDIT_BUFFER:
            self.dropped += 1
            return
        self._entry_count += 1
        self._buffer.append(
            AuditEntry(
                at=self._wall_clock(),
                daemon=self._daemon,
                number=self._entry_count,
                kind=kind,
                subject=subject,
                event=event,
                by=by,
                detail=detail,
            ),
        )

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await trio.sleep(defaults.AUDIT_FLUSH_S)
            await self.flush()

    async def flush(self) -> None:
        """Write the buffered entries; they stay buffered if that fails."""
        async with self._flushing:
            await self._write_batch()

    async def read(
        self, *, subject: str = '', since: float = 0, limit: int = 1000
    ) -> list[AuditEntry]:
        """Return the last ``limit`` entries of all daemons, sorted by time.

        ``since`` is a wall-clock time in seconds.
        """
        await self.flush()
        # A batch is named after the time of its first entry, so one that
        # starts before ``since`` may contain later entries.
        first_key = f'audit/{max(int(since) - 60, 0):012d}'
        names = await self._store.names(prefix='audit/')
        found: list[AuditEntry] = []
        for name in names:
            if name < first_key:
                continue
            body = await self._store.fetch(key=name)
            if body is not None:
                found.extend(_select_entries(body, subject, since))
        unique = {
            (entry.daemon, entry.number, entry.at): entry for entry in found
        }
        ordered = sorted(unique.values(), key=lambda entry: entry.at)
        return ordered[-limit:]

    async def _write_batch(self) -> None:
        entries = list(self._buffer)
        if not entries:
            return
        first = int(entries[0].at)
        key = (
            f'audit/{first:012d}/{self._daemon}/{self._incarnation}/'
            f'{self._batch_count:08d}'
        )
        try:
            await self._store.put(
                key=key,
                body=encode(_Batch(entries=entries)),
            )
        except StoreUncertainError:
            _log.info(
                'cannot write audit entries, keeping them buffered: '
                'the object store does not answer'
            )
            return
        self._batch_count += 1
        for _ in entries:
            self._buffer.popleft()


def _select_entries(
    body: bytes, subject: str, since: float
) -> list[AuditEntry]:
    batch = decode(body, _Batch)
    return [
        entry
        for entry in batch.entries
        if entry.at >= since and (not subject or entry.subject == subject)
    ]
