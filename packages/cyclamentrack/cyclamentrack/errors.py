"""Errors of the scheduler.

Every error states a remedy. A problem that is returned to a caller also has a
typed kind and says whether the work ran.
"""

import enum

import msgspec


class Ran(enum.Enum):
    """Whether the work in question has run."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """Kinds of problems, which are stable and listed in ``docs/api.md``."""

    MALFORMED = 'malformed'
    INVALID = 'invalid'
    TOO_LARGE = 'too-large'
    METHOD = 'method-not-allowed'
    NOT_FOUND = 'not-found'
    ID_REUSED = 'id-reused'
    IMPOSSIBLE = 'impossible'
    OVERLOADED = 'overloaded'
    QUOTA = 'quota-exceeded'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    NO_CONFIG = 'no-configuration'
    NO_OWNER = 'no-owner'
    STORE_DOWN = 'store-unavailable'
    UNSETTLED = 'unsettled'
    TICKET_STALE = 'ticket-stale'
    TICKET_CONFLICT = 'ticket-conflict'
    TICKET_REFUSED = 'ticket-refused'
    INTERNAL = 'internal'


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a request was not carried out, as returned to a caller.

    ``retry_after_s`` is in seconds and set only if a retry can succeed.
    """

    kind: ErrorKind
    detail: str
    remedy: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


class CyclamentrackError(Exception):
    """Base class of all errors of the scheduler."""

    def __init__(self, *, message: str, remedy: str) -> None:
        """Use the message, followed by the remedy, as the error's text."""
        super().__init__(f'{message}; {remedy}')
        self.message = message
        self.remedy = remedy


class SettingsError(CyclamentrackError):
    """The settings have an invalid key or value."""


class ConditionFailedError(CyclamentrackError):
    """A transaction's condition did not hold, so nothing was written."""

    def __init__(self, *, key: str) -> None:
        """Name the row whose condition failed."""
        super().__init__(
            message=f'the condition on row {key!r} did not hold',
            remedy='read the row again and repeat the decision',
        )
        self.key = key


class StoreUncertainError(CyclamentrackError):
    """The platform did not answer; a write may or may not have taken effect."""

    def __init__(self, *, message: str) -> None:
        """Describe the request in ``message``."""
        super().__init__(
            message=message,
            remedy='read back what was written, or retry later',
        )


class FencedError(CyclamentrackError):
    """This daemon's lease expired and a successor fenced it."""

    def __init__(self, *, incarnation: str) -> None:
        """Name the incarnation that was fenced."""
        super().__init__(
            message=f'incarnation {incarnation} is fenced',
            remedy='restart the daemon, which joins as a new incarnation',
        )


class WorkerUnreachableError(CyclamentrackError):
    """A worker did not answer in time.

    ``disconnected`` is set if its address refused or closed the connection, as
    it does after a crash.
    """

    def __init__(self, *, worker: str, disconnected: bool = False) -> None:
        """Name the worker."""
        super().__init__(
            message=f'worker {worker} did not answer',
            remedy='repeat the request on a new connection',
        )
        self.disconnected = disconnected


class WorkerRefusedError(CyclamentrackError):
    """A worker refused a request that is late or from an earlier owner."""

    def __init__(self, *, worker: str, reason: str) -> None:
        """Name the worker and its reason."""
        super().__init__(
            message=f'worker {worker} refused a request: {reason}',
            remedy='fence the worker with the current epoch',
        )
        self.reason = reason


class PeerUnreachableError(CyclamentrackError):
    """A peer did not answer; it may have carried out the request."""

    def __init__(self, *, peer: str) -> None:
        """Name the peer's address."""
        super().__init__(
            message=f'peer {peer} did not answer',
            remedy='check the outcome of the request before repeating it',
        )
