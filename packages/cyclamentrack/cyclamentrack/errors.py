"""Errors of the scheduler.

Every error has a typed kind and names its remedy. An error that reaches a
caller also says whether the work ran.
"""

import enum

import msgspec


class Ran(enum.Enum):
    """Whether the work that an answer is about has run."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """Kinds of error; each is stable and documented in ``docs/api.md``."""

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
    """What a caller is told when its request was not carried out.

    ``retry_after_s`` is in seconds and present where a later try can succeed.
    """

    kind: ErrorKind
    detail: str
    remedy: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


class CyclamentrackError(Exception):
    """Base of all errors that the scheduler raises on purpose."""

    def __init__(self, *, message: str, remedy: str) -> None:
        """Keep the message and the remedy that it ends with."""
        super().__init__(f'{message}; {remedy}')
        self.message = message
        self.remedy = remedy


class SettingsError(CyclamentrackError):
    """A settings file has a key or a value that can't be used."""


class ConditionFailedError(CyclamentrackError):
    """A transaction's condition did not hold, so nothing was written."""

    def __init__(self, *, key: str) -> None:
        """Name the row whose condition failed."""
        super().__init__(
            message=f'the condition on row {key!r} did not hold',
            remedy='read the row again and decide anew',
        )
        self.key = key


class StoreUncertainError(CyclamentrackError):
    """The platform gave no answer; a write may or may not have happened."""

    def __init__(self, *, message: str) -> None:
        """Say what was asked."""
        super().__init__(
            message=message,
            remedy='read back what was written, or wait until it answers',
        )


class FencedError(CyclamentrackError):
    """This daemon lost its ownership to a successor."""

    def __init__(self, *, incarnation: str) -> None:
        """Name the incarnation that was fenced."""
        super().__init__(
            message=f'incarnation {incarnation} is fenced',
            remedy='restart the daemon, which then joins as a new one',
        )


class WorkerUnreachableError(CyclamentrackError):
    """A worker gave no answer within its deadline."""

    def __init__(self, *, worker: str) -> None:
        """Name the worker."""
        super().__init__(
            message=f'worker {worker} did not answer',
            remedy='ask it again on a new connection',
        )


class WorkerRefusedError(CyclamentrackError):
    """A worker refused a request because of a newer owner or a late one."""

    def __init__(self, *, worker: str, reason: str) -> None:
        """Name the worker and its reason."""
        super().__init__(
            message=f'worker {worker} refused: {reason}',
            remedy='seal the worker with the current epoch',
        )
        self.reason = reason


class PeerUnreachableError(CyclamentrackError):
    """A peer gave no answer; it may have carried the request out."""

    def __init__(self, *, peer: str) -> None:
        """Name the peer's address."""
        super().__init__(
            message=f'peer {peer} did not answer',
            remedy='ask about the request before it is sent again',
        )
