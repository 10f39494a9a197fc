"""Change tickets, which replace the whole state of configuration objects.

A ticket is applied in one transaction. Each object records the ticket that
last set it. A ticket is refused as a whole unless its number is above the
recorded numbers of all its objects. A cell-wide revision orders the accepted
tickets, and daemons only move to higher revisions.
"""

import logging
from itertools import starmap
from typing import Annotated

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import (
    ConditionFailedError,
    ErrorKind,
    Problem,
    Ran,
    StoreUncertainError,
)
from cyclamentrack.ids import Revision, TeamName, TicketNumber
from cyclamentrack.membership import Membership
from cyclamentrack.ports import (
    Absent,
    Condition,
    Put,
    Row,
    Table,
    Transaction,
    VersionIs,
    Write,
)
from cyclamentrack.resources import Resources
from cyclamentrack.store import commit_confirmed
from cyclamentrack.work import Urgency

_log = logging.getLogger(__name__)

_REVISION_KEY = 'config/revision'
_ROWS_PER_PAGE = 200
_MAX_COMMIT_TRIES = 8
_MAX_OBJECTS = 100
_NAME = r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$'

_DEFAULT_WAIT_LIMITS_S = {
    Urgency.URGENT: 60.0,
    Urgency.NORMAL: defaults.QUEUE_WAIT_S,
    Urgency.DEFERRABLE: 12 * defaults.QUEUE_WAIT_S,
}
_DEFAULT_FLOORS = {
    Urgency.URGENT: 0.1,
    Urgency.NORMAL: 0.1,
    Urgency.DEFERRABLE: 0.1,
}

Name = Annotated[str, msgspec.Meta(pattern=_NAME)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Team(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag='team',
    tag_field='object',
):
    """A team with its quota over the whole cell and its fair-share weight."""

    name: Name
    quota: Resources | None = None
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0


class Floors(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag='floors',
    tag_field='object',
):
    """The share of the capacity, from 0 to 1, guaranteed to each urgency."""

    name: Name
    urgent: Share
    normal: Share
    deferrable: Share


class WaitLimits(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag='wait-limits',
    tag_field='object',
):
    """The longest predicted wait, in seconds, with which work is admitted.

    There is one limit for each urgency.
    """

    name: Name
    urgent: Annotated[float, msgspec.Meta(gt=0)]
    normal: Annotated[float, msgspec.Meta(gt=0)]
    deferrable: Annotated[float, msgspec.Meta(gt=0)]


ConfigObject = Team | Floors | WaitLimits


class Ticket(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A numbered change with the whole new state of each object it sets."""

    number: Annotated[TicketNumber, msgspec.Meta(ge=1, le=10**12)]
    by: Name
    objects: Annotated[
        list[ConfigObject],
        msgspec.Meta(min_length=1, max_length=_MAX_OBJECTS),
    ]


class TicketRow(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted ticket and its revision."""

    ticket: Ticket
    revision: Revision


class ObjectRow(msgspec.Struct, frozen=True, kw_only=True):
    """An object's state and the ticket that last set it."""

    state: ConfigObject
    ticket: TicketNumber
    revision: Revision


class _RevisionRow(msgspec.Struct, frozen=True, kw_only=True):
    revision: Revision
    ticket: TicketNumber


def object_key(state: ConfigObject) -> str:
    """Return the key of an object's row."""
    match state:
        case Team(name=name):
            return f'object/team/{name}'
        case Floors(name=name):
            return f'object/floors/{name}'
        case WaitLimits(name=name):
            return f'object/wait-limits/{name}'


def ticket_key(number: TicketNumber) -> str:
    """Return the key of a ticket's row."""
    return f'ticket/{number:012d}'


class Configuration:
    """The configuration in effect at this daemon.

    An object's state is never replaced by an older one.
    """

    def __init__(self) -> None:
        """Start with the defaults."""
        self._objects: dict[str, ObjectRow] = {}
        self.revision = Revision(0)
        self.loaded = False

    def apply_newer(self, key: str, row: ObjectRow) -> bool:
        """Apply an object's state if it is newer than the one in effect."""
        known = self._objects.get(key)
        if known is not None and known.revision >= row.revision:
            return False
        self._objects[key] = row
        return True

    def find(self, key: str) -> ObjectRow | None:
        """Return an object's state in effect, or ``None``."""
        return self._objects.get(key)

    def quota(self, team: TeamName) -> Resources | None:
        """Return a team's quota; ``None`` means unlimited."""
        row = self._objects.get(f'object/team/{team}')
        match row:
            case ObjectRow(state=Team(quota=quota)):
                return quota
        return None

    def weight(self, team: TeamName) -> float:
        """Return a team's weight."""
        row = self._objects.get(f'object/team/{team}')
        match row:
            case ObjectRow(state=Team(weight=weight)):
                return weight
        return 1

    def floor(self, urgency: Urgency) -> float:
        """Return the guaranteed share of an urgency, from 0 to 1."""
        row = self._objects.get('object/floors/cell')
        match row:
            case ObjectRow(state=Floors() as floors):
                return float(getattr(floors, urgency.value))
        return _DEFAULT_FLOORS[urgency]

    def wait_limit_s(self, urgency: Urgency) -> float:
        """Return the longest predicted wait to admit work with, in seconds."""
        row = self._objects.get('object/wait-limits/cell')
        match row:
            case ObjectRow(state=WaitLimits() as limits):
                return float(getattr(limits, urgency.value))
        return _DEFAULT_WAIT_LIMITS_S[urgency]


class TicketService:
    """Accepts tickets and loads those that other daemons accepted."""

    def __init__(
        self,
        *,
        table: Table,
        membership: Membership,
        configuration: Configuration,
    ) -> None:
        """Keep the given configuration up to date."""
        self._table = table
        self._membership = membership
        self._configuration = configuration
        self._wake = trio.Event()

    async def apply(self, ticket: Ticket) -> TicketRow | Problem:
        """Apply a ticket as a whole, or refuse it as a whole.

        Applying the same ticket again returns the first result.
        """
        problem = _check_duplicates(ticket)
        if problem is not None:
            return problem
        try:
            for _ in range(_MAX_COMMIT_TRIES):
                answer = await self._try_commit(ticket)
                if answer is not None:
                    return answer
        except StoreUncertainError:
            return _store_down(ticket)
        return _too_many_conflicts(ticket)

    async def show(self, number: TicketNumber) -> TicketRow | None:
        """Return an accepted ticket, or ``None``."""
        rows = await self._table.read(keys=[ticket_key(number)])
        row = rows[0]
        return decode(row.body, TicketRow) if row else None

    def poll_now(self) -> None:
        """Check for new tickets now, because one was just accepted."""
        self._wake.set()

    async def run(self) -> None:
        """Load accepted tickets until cancelled."""
        while True:
            try:
                await self.refresh()
            except StoreUncertainError:
                _log.info('cannot read the configuration; will retry')
            with trio.move_on_after(defaults.CONFIG_POLL_S):
                await self._wake.wait()
            self._wake = trio.Event()

    async def refresh(self) -> None:
        """Load all changes accepted since the revision in effect."""
        rows = await self._table.read(keys=[_REVISION_KEY])
        if rows[0] is not None:
            latest = decode(rows[0].body, _RevisionRow)
            if latest.revision > self._configuration.revision:
                await self._read_objects()
                self._configuration.revision = latest.revision
                self._membership.set_revision(latest.revision)
        self._configuration.loaded = True

    async def _read_objects(self) -> None:
        after = ''
        while True:
            page = await self._table.scan(
                prefix='object/',
                limit=_ROWS_PER_PAGE,
                after=after,
            )
            for row in page:
                self._configuration.apply_newer(
                    row.key, decode(row.body, ObjectRow)
                )
            if len(page) < _ROWS_PER_PAGE:
                return
            after = page[-1].key

    async def _try_commit(self, ticket: Ticket) -> TicketRow | Problem | None:
        """Try to commit once.

        Returns ``None`` if another ticket was committed in the meantime.
        """
        keys = [object_key(state) for state in ticket.objects]
        rows = await self._table.read(
            keys=[ticket_key(ticket.number), _REVISION_KEY, *keys],
        )
        known, revision_row, *objects = rows
        if known is not None:
            return _check_known(decode(known.body, TicketRow), ticket)
        problem = _check_stale(ticket, keys, objects)
        if problem is not None:
            return problem
        revision = Revision(1)
        if revision_row is not None:
            revision = Revision(
                decode(revision_row.body, _RevisionRow).revision + 1,
            )
        accepted = TicketRow(ticket=ticket, revision=revision)
        proof = Put(key=ticket_key(ticket.number), body=encode(accepted))
        touched = [proof.key, _REVISION_KEY, *keys]
        conditions = list(
            starmap(_unchanged, zip(touched, rows, strict=True)),
        )
        transaction = Transaction(
            conditions=[*conditions, self._membership.row_exists_condition()],
            writes=[proof, *_writes(ticket, revision)],
        )
        try:
            await commit_confirmed(
                table=self._table,
                transaction=transaction,
                proof=proof,
            )
        except ConditionFailedError:
            return None
        return accepted


def _writes(ticket: Ticket, revision: Revision) -> list[Write]:
    writes: list[Write] = [
        Put(
            key=_REVISION_KEY,
            body=encode(
                _RevisionRow(revision=revision, ticket=ticket.number),
            ),
        ),
    ]
    for state in ticket.objects:
        row = ObjectRow(
            state=state,
            ticket=ticket.number,
            revision=revision,
        )
        writes.append(Put(key=object_key(state), body=encode(row)))
    return writes


def _unchanged(key: str, row: Row | None) -> Condition:
    if row is None:
        return Absent(key=key)
    return VersionIs(key=key, version=row.version)


def _check_known(known: TicketRow, ticket: Ticket) -> TicketRow | Problem:
    if known.ticket == ticket:
        return known
    return Problem(
        kind=ErrorKind.TICKET_CONFLICT,
        detail=(
            f'ticket {ticket.number} was already accepted with other content, '
            f'by {known.ticket.by}'
        ),
        remedy='see it with "ticket show" and use a new number',
        ran=Ran.NO,
    )


def _check_stale(
    ticket: Ticket, keys: list[str], rows: list[Row | None]
) -> Problem | None:
    for key, row in zip(keys, rows, strict=True):
        if row is None:
            continue
        known = decode(row.body, ObjectRow)
        if known.ticket >= ticket.number:
            return Problem(
                kind=ErrorKind.TICKET_STALE,
                detail=(
                    f'{key} was set by ticket {known.ticket}, which is not '
                    f'below {ticket.number}; nothing was changed'
                ),
                remedy=(
                    f'see "ticket show {known.ticket}" and send the change '
                    'with a higher number'
                ),
            )
    return None


def _check_duplicates(ticket: Ticket) -> Problem | None:
    keys = [object_key(state) for state in ticket.objects]
    duplicates = {key for key in keys if keys.count(key) > 1}
    if not duplicates:
        return None
    return Problem(
        kind=ErrorKind.INVALID,
        detail=f'the ticket names {", ".join(sorted(duplicates))} twice',
        remedy='list each object once, with its whole new state',
    )


def _store_down(ticket: Ticket) -> Problem:
    return Problem(
        kind=ErrorKind.STORE_DOWN,
        detail=f'ticket {ticket.number}: the table service does not answer',
        remedy='send the same ticket again later; it is applied only once',
        ran=Ran.UNKNOWN,
        retry_after_s=1,
    )


def _too_many_conflicts(ticket: Ticket) -> Problem:
    return Problem(
        kind=ErrorKind.OVERLOADED,
        detail=(
            f'ticket {ticket.number} conflicted with other tickets '
            f'{_MAX_COMMIT_TRIES} times in a row'
        ),
        remedy='send the same ticket again',
        retry_after_s=1,
    )
