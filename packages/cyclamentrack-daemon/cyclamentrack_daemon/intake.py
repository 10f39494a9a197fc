"""Which connections of callers a process keeps, and which it closes.

Decisions only: the connections themselves are behind a port. Times are those
of the sweeps, so that a process that was suspended, or is short of processor
time, doesn't take its callers for slow.
"""

from collections import Counter
from enum import Enum
from typing import Protocol

import msgspec

# A request of at most this size is never closed to free memory: the bound on
# connections limits what such requests take together.
SMALL_BYTES = 16 * 1024
# A request that hasn't grown for this long is closed before those that grow.
_STALLED_S = 1.0
# A sweep counts at most this much time as passed.
_MAX_STEP_S = 1.0


class Reason(Enum):
    """Why a connection was closed by this process."""

    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    SLOW_REQUEST = 'slow_request'
    UNREAD_RESPONSE = 'unread_response'
    IDLE = 'idle'
    FAULT = 'fault'


class IntakeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on what the callers of one listener take of the process.

    ``request_bytes`` limits the requests that are arriving or being served,
    all connections together. A request, head and body, must arrive within
    ``arrival_s`` of its first byte, and the client must take bytes of a
    response within ``response_s``. A connection may stay without a request
    for ``idle_s``.
    """

    connections: int = 1024
    request_bytes: int = 64 * 1024 * 1024
    header_bytes: int = 16 * 1024
    arrival_s: float = 15.0
    response_s: float = 10.0
    idle_s: float = 75.0


class Connection(Protocol):
    """One connection of a caller."""

    @property
    def has_request(self) -> bool:
        """Whether the head of a request has arrived that isn't answered."""

    @property
    def request_is_incomplete(self) -> bool:
        """Whether no request, or not all of one, has arrived."""

    def close(self, reason: Reason) -> None:
        """Close the connection at once; must not raise or wait."""


class Entry:
    """What is known of one connection.

    ``held`` are the bytes of its request that is arriving or being served.
    ``started_at`` is the time of that request's first byte, ``None`` between
    requests; ``sending_since`` that of a write that hasn't ended.
    """

    __slots__ = (
        'connection',
        'held',
        'progress_at',
        'sending_since',
        'started_at',
        'waiting_since',
    )

    def __init__(self, *, connection: Connection, now_s: float) -> None:
        """Begin to wait for the first request."""
        self.connection = connection
        self.held = 0
        self.waiting_since = now_s
        self.progress_at = now_s
        self.started_at: float | None = None
        self.sending_since: float | None = None


class Intake:
    """The connections of one listener and the bytes that they hold."""

    def __init__(self, *, limits: IntakeLimits) -> None:
        """Start without connections."""
        self.limits = limits
        self.now_s = 0.0
        self.held = 0
        self.closed: Counter[Reason] = Counter()
        # Whether a connection was refused, and none has been admitted since.
        self._turned_away = False
        # In the order in which they began to wait for a request.
        self._entries: dict[Entry, None] = {}

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._entries)

    def admit(self, connection: Connection) -> Entry | None:
        """Add a connection; ``None`` if it is one too many.

        At the limit, the connection that has waited longest without a
        complete request, or without taking its response, is closed instead,
        if there is one. Otherwise the next one that sends requests ahead of
        its responses makes room for a later connection.
        """
        if self._is_full():
            longest = next(filter(self._may_yield, self._entries), None)
            if longest is None:
                self.closed[Reason.CONNECTIONS] += 1
                self._turned_away = True
                return None
            self._close(longest, Reason.CONNECTIONS)
        self._turned_away = False
        entry = Entry(connection=connection, now_s=self.now_s)
        self._entries[entry] = None
        return entry

    def received(self, entry: Entry, size: int) -> None:
        """Count bytes that arrived, and free memory if they are too many."""
        if entry not in self._entries:
            return
        if entry.started_at is None:
            entry.started_at = self.now_s
        entry.progress_at = self.now_s
        entry.held += size
        self.held += size
        while self.held > self.limits.request_bytes:
            largest = self._most_dispensable()
            if largest is None:
                break
            self._close(largest, Reason.MEMORY)

    def answered(self, entry: Entry, unread: int) -> None:
        """Count a response as sent; ``unread`` bytes of the next came along."""
        if entry not in self._entries:
            return
        if unread and self._turned_away and self._is_full():
            self._close(entry, Reason.CONNECTIONS)
            return
        self.held += unread - entry.held
        entry.held = unread
        entry.started_at = self.now_s if unread else None
        entry.progress_at = self.now_s
        entry.waiting_since = self.now_s
        self._entries.pop(entry)
        self._entries[entry] = None

    def forget(self, entry: Entry) -> None:
        """Remove a connection that has ended."""
        if entry in self._entries:
            self._entries.pop(entry)
            self.held -= entry.held

    def fail(self, entry: Entry) -> None:
        """Close a connection that can't be served because of a fault."""
        if entry in self._entries:
            self._close(entry, Reason.FAULT)

    def sweep(self, elapsed_s: float) -> None:
        """Let time pass, and close what has reached a time limit."""
        self.now_s += min(elapsed_s, _MAX_STEP_S)
        for entry in list(self._entries):
            reason = self._overdue(entry)
            if reason is not None:
                self._close(entry, reason)

    def close_idle(self) -> None:
        """Close all connections without a request, as the listener ends."""
        for entry in list(self._entries):
            if not entry.connection.has_request:
                self._close(entry, Reason.IDLE)

    def _is_full(self) -> bool:
        return len(self._entries) >= self.limits.connections

    def _may_yield(self, entry: Entry) -> bool:
        """Whether a connection may be closed for a new one."""
        if entry.sending_since is not None:
            return self.now_s - entry.sending_since >= _STALLED_S
        return entry.connection.request_is_incomplete

    def _overdue(self, entry: Entry) -> Reason | None:
        limits = self.limits
        if entry.sending_since is not None:
            late = self.now_s - entry.sending_since > limits.response_s
            return Reason.UNREAD_RESPONSE if late else None
        if entry.started_at is None:
            late = self.now_s - entry.waiting_since > limits.idle_s
            return Reason.IDLE if late else None
        if self.now_s - entry.started_at <= limits.arrival_s:
            return None
        incomplete = entry.connection.request_is_incomplete
        return Reason.SLOW_REQUEST if incomplete else None

    def _most_dispensable(self) -> Entry | None:
        """Return the largest request without progress, else the largest.

        A request that has arrived in full is being served and stays.
        """
        return max(
            (
                entry
                for entry in self._entries
                if entry.held > SMALL_BYTES
                and entry.connection.request_is_incomplete
            ),
            key=self._dispensability,
            default=None,
        )

    def _dispensability(self, entry: Entry) -> tuple[bool, int]:
        stalled = self.now_s - entry.progress_at >= _STALLED_S
        return stalled, entry.held

    def _close(self, entry: Entry, reason: Reason) -> None:
        self.forget(entry)
        self.closed[reason] += 1
        entry.connection.close(reason)
