"""Change tickets: the whole new state of all that they touch.

A ticket is applied in one transaction. Each object remembers the ticket that
last set it; a ticket whose number isn't above all of those is refused whole.
A cell-wide revision orders the accepted tickets, and daemons only ever apply
forward.
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
_PAGE = 200
_RACES = 8
_MAX_OBJECTS = 100
_NAME = r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$'

_WAIT_LIMITS_S = {
    Urgency.URGENT: 60.0,
    Urgency.NORMAL: defaults.QUEUE_WAIT_S,
    Urgency.DEFERRABLE: 12 * defaults.QUEUE_WAIT_S,
}
_FLOORS = {
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
    """A team: its quota over the whole cell, and its weight."""

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
    """The part of the capacity that each urgency gets before the others."""

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
    """How long work of each urgency may wait, in seconds, to be admitted."""

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
    """A numbered change: the whole new state of each object it names."""

    number: Annotated[TicketNumber, msgspec.Meta(ge=1, le=10**12)]
    by: Name
    objects: Annotated[
        list[ConfigObject],
        msgspec.Meta(min_length=1, max_length=_MAX_OBJECTS),
    ]


class TicketRow(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted ticket and its place in the order of changes."""

    ticket: Ticket
    revision: Revision


class ObjectRow(msgspec.Struct, frozen=True, kw_only=True):
    """An object and the ticket that last set it."""

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
    """The configuration in force at this daemon.

    Objects are applied forward only: an older state never replaces a newer.
    """

    def __init__(self) -> None:
        """Start without any ticket, on the defaults."""
        self._objects: dict[str, ObjectRow] = {}
        self.revision = Revision(0)
        self.loaded = False

    def take(self, key: str, row: ObjectRow) -> bool:
        """Apply an object's state unless a newer one is in force."""
        known = self._objects.get(key)
        if known is not None and known.revision >= row.revision:
            return False
        self._objects[key] = row
        return True

    def find(self, key: str) -> ObjectRow | None:
        """Return an object's state in force, or ``None``."""
        return self._objects.get(key)

    def quota(self, team: TeamName) -> Resources | None:
        """Return a team's quota; ``None`` means that it has no limit."""
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
        """Return the floor of an urgency as a part of the capacity."""
        row = self._objects.get('object/floors/cell')
        match row:
            case ObjectRow(state=Floors() as floors):
                return float(getattr(floors, urgency.value))
        return _FLOORS[urgency]

    def wait_limit_s(self, urgency: Urgency) -> float:
        """Return how long work of an urgency may be predicted to wait."""
        row = self._objects.get('object/wait-limits/cell')
        match row:
            case ObjectRow(state=WaitLimits() as limits):
                return float(getattr(limits, urgency.value))
        return _WAIT_LIMITS_S[urgency]


class TicketService:
    """Accepts tickets and follows those that other daemons accepted."""

    def __init__(
        self,
        *,
        table: Table,
        membership: Membership,
        configuration: Configuration,
    ) -> None:
        """Serve the given configuration."""
        self._table = table
        self._membership = membership
        self._configuration = configuration
        self._wake = trio.Event()

    async def apply(self, ticket: Ticket) -> TicketRow | Problem:
        """Apply a ticket whole, or refuse it whole.

        The same ticket sent again is the same ticket.
        """
        problem = _refuse_twice_named(ticket)
        if problem is not None:
            return problem
        try:
            for _ in range(_RACES):
                answer = await self._try(ticket)
                if answer is not None:
                    return answer
        except StoreUncertainError:
            return _store_down(ticket)
        return _busy(ticket)

    async def show(self, number: TicketNumber) -> TicketRow | None:
        """Return an accepted ticket, or ``None``."""
        rows = await self._table.read(keys=[ticket_key(number)])
        row = rows[0]
        return decode(row.body, TicketRow) if row else None

    def hurry(self) -> None:
        """Look for new tickets at once: a peer accepted one."""
        self._wake.set()

    async def run(self) -> None:
        """Follow the order of changes until cancelled."""
        while True:
            try:
                await self.refresh()
            except StoreUncertainError:
                _log.info('the configuration could not be read')
            with trio.move_on_after(defaults.CONFIG_POLL_S):
                await self._wake.wait()
            self._wake = trio.Event()

    async def refresh(self) -> None:
        """Apply all that was accepted since the revision in force."""
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
                limit=_PAGE,
                after=after,
            )
            for row in page:
                self._configuration.take(row.key, decode(row.body, ObjectRow))
            if len(page) < _PAGE:
                return
            after = page[-1].key

    async def _try(self, ticket: Ticket) -> TicketRow | Problem | None:
        """Try once; ``None`` means that another ticket came between."""
        keys = [object_key(state) for state in ticket.objects]
        rows = await self._table.read(
            keys=[ticket_key(ticket.number), _REVISION_KEY, *keys],
        )
        known, revision_row, *objects = rows
        if known is not None:
            return _judge_known(decode(known.body, TicketRow), ticket)
        problem = _refuse_stale(ticket, keys, objects)
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
            conditions=[*conditions, self._membership.alive()],
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


def _judge_known(known: TicketRow, ticket: Ticket) -> TicketRow | Problem:
    if known.ticket == ticket:
        return known
    return Problem(
        kind=ErrorKind.TICKET_CONFLICT,
        detail=(
            f'ticket {ticket.number} was accepted with another content, '
            f'by {known.ticket.by}'
        ),
        remedy='look at it with "ticket show" and use a new number',
        ran=Ran.NO,
    )


def _refuse_stale(
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
                    f'{key} was set by ticket {known.ticket}, which is above '
                    f'{ticket.number}; nothing was changed'
                ),
                remedy=(
                    f'see "ticket show {known.ticket}" and send the change '
                    'under a higher number'
                ),
            )
    return None


def _refuse_twice_named(ticket: Ticket) -> Problem | None:
    keys = [object_key(state) for state in ticket.objects]
    twice = {key for key in keys if keys.count(key) > 1}
    if not twice:
        return None
    return Problem(
        kind=ErrorKind.INVALID,
        detail=f'the ticket names {", ".join(sorted(twice))} twice',
        remedy='name each object once, with its whole new state',
    )


def _store_down(ticket: Ticket) -> Problem:
    return Problem(
        kind=ErrorKind.STORE_DOWN,
        detail=f'ticket {ticket.number}: the table service gives no answer',
        remedy='send the same ticket again later; it is applied once',
        ran=Ran.UNKNOWN,
        retry_after_s=1,
    )


def _busy(ticket: Ticket) -> Problem:
    return Problem(
        kind=ErrorKind.OVERLOADED,
        detail=f'ticket {ticket.number} lost to other tickets {_RACES} times',
        remedy='send the same ticket again',
        retry_after_s=1,
    )
