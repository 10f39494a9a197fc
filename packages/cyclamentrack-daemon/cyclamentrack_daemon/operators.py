"""HTTP routes for operators: tickets, objects, audit, status, metrics."""

from collections.abc import Callable

import msgspec
import trio
from returns.result import Failure, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from cyclamentrack import defaults
from cyclamentrack.audit import AuditEntry
from cyclamentrack.errors import ErrorKind, Problem, Ran, StoreUncertainError
from cyclamentrack.ids import DaemonId, Revision, TicketNumber
from cyclamentrack.membership import MemberState
from cyclamentrack.node import Node
from cyclamentrack.tickets import Ticket, TicketRow
from cyclamentrack_daemon.bodies import decode_as, read_body, read_seconds
from cyclamentrack_daemon.callers import exception_handlers, probe_routes
from cyclamentrack_daemon.problems import json_response, problem_response
from cyclamentrack_daemon.traffic import traffic

_POLL_S = 0.1
_SINCE_MAX_S = 10.0**10


class TicketView(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted ticket, and the daemons that have and lack its changes."""

    ticket: Ticket
    revision: Revision
    in_force: list[DaemonId]
    lacking: list[DaemonId]


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon of the cell."""

    daemon: DaemonId
    zone: str
    state: MemberState
    revision: Revision
    partitions: int


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """The cell as one daemon sees it, and that daemon's own state."""

    daemon: DaemonId
    ready: bool
    revision: Revision
    members: list[MemberView]
    partitions: int
    unowned: int
    workers: int
    workers_open: int
    quarantined: list[str]
    queued: int
    running: int
    journal_lag: int
    placements: int
    audit_dropped: int


class OperatorRoutes:
    """Routes for operators, handled by the daemon's current node."""

    def __init__(self, *, node: Callable[[], Node]) -> None:
        """``node`` returns the current node and is called per request."""
        self._node = node

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/tickets/{n}', self.apply, methods=['PUT']),
                Route('/v1/tickets/{n}', self.show, methods=['GET']),
                Route(
                    '/v1/objects/{kind}/{name}',
                    self.find,
                    methods=['GET'],
                ),
                Route('/v1/audit', self.audit, methods=['GET']),
                Route('/v1/status', self.status, methods=['GET']),
                Route('/v1/metrics', self.metrics, methods=['GET']),
                *probe_routes(self._node),
            ],
            exception_handlers=exception_handlers(),
        )

    async def apply(self, request: Request) -> Response:
        """Apply a change ticket as a whole, or refuse it as a whole."""
        body = await read_body(request)
        match body.bind(lambda text: decode_as(text, Ticket)):
            case Failure(problem):
                return problem_response(problem)
            case Success(ticket):
                if str(ticket.number) != request.path_params['n']:
                    return problem_response(_other_number(request, ticket))
        match await self._node().apply_ticket(ticket):
            case TicketRow() as row:
                return json_response(self._view(row))
            case Problem() as problem:
                return problem_response(problem)

    async def show(self, request: Request) -> Response:
        """Return a ticket once all daemons have it or after ``wait_s``."""
        match read_seconds(request, 'wait_s', max_s=defaults.MAX_WAIT_S):
            case Failure(problem):
                return problem_response(problem)
            case Success(wait_s):
                number = request.path_params['n']
        if not number.isdigit():
            return problem_response(_no_ticket(number))
        try:
            row = await self._node().tickets.show(TicketNumber(int(number)))
        except StoreUncertainError:
            return problem_response(_store_down())
        if row is None:
            return problem_response(_no_ticket(number))
        with trio.move_on_after(wait_s):
            while self._view(row).lacking:
                await trio.sleep(_POLL_S)
        return json_response(self._view(row))

    async def find(self, request: Request) -> Response:
        """Return an object's state in effect at this daemon."""
        kind = request.path_params['kind']
        name = request.path_params['name']
        row = self._node().configuration.find(f'object/{kind}/{name}')
        if row is None:
            return problem_response(_no_object(kind, name))
        return json_response(row)

    async def audit(self, request: Request) -> Response:
        """Return audit entries sorted by time."""
        match read_seconds(request, 'since', max_s=_SINCE_MAX_S):
            case Failure(problem):
                return problem_response(problem)
            case Success(since):
                subject = request.query_params.get('subject', '')
        try:
            entries: list[AuditEntry] = await self._node().audit.read(
                subject=subject,
                since=since,
            )
        except StoreUncertainError:
            return problem_response(_store_down())
        return json_response(entries)

    async def status(self, request: Request) -> Response:
        """Return the cell as this daemon sees it."""
        del request
        return json_response(status_of(self._node()))

    async def metrics(self, request: Request) -> Response:
        """Return the metrics in Prometheus text format."""
        del request
        node = self._node()
        for name, amount in _gauges(node).items():
            node.metrics.gauge(name, amount)
        return PlainTextResponse(node.metrics.exposition())

    def _view(self, row: TicketRow) -> TicketView:
        in_force: list[DaemonId] = []
        lacking: list[DaemonId] = []
        for member in self._node().membership.members:
            has_it = member.revision >= row.revision
            (in_force if has_it else lacking).append(member.daemon)
        return TicketView(
            ticket=row.ticket,
            revision=row.revision,
            in_force=sorted(in_force),
            lacking=sorted(lacking),
        )


def status_of(node: Node) -> StatusView:
    """Return the cell as a node sees it."""
    owners = [
        node.ownership.owner(partition) for partition in node.ownership.epochs()
    ]
    counts: dict[DaemonId, int] = {}
    for owner in owners:
        if owner is not None:
            counts[owner.daemon] = counts.get(owner.daemon, 0) + 1
    ledger = node.fleet.ledger
    upstreams = node.fleet.upstreams
    return StatusView(
        daemon=node.me.daemon,
        ready=node.ready,
        revision=node.configuration.revision,
        members=[
            MemberView(
                daemon=member.daemon,
                zone=member.zone,
                state=member.state,
                revision=member.revision,
                partitions=counts.get(member.daemon, 0),
            )
            for member in node.membership.members
        ],
        partitions=len(node.ownership.owned_partitions),
        unowned=owners.count(None),
        workers=len(upstreams),
        workers_open=sum(
            1 for one in upstreams if ledger.is_open(one.instance.id)
        ),
        quarantined=[str(worker) for worker in node.fleet.health.quarantined],
        queued=len(node.queue),
        running=node.fleet.running,
        journal_lag=node.journal.appended - node.journal.durable_position,
        placements=node.dispatcher.placements,
        audit_dropped=node.audit.dropped,
    )


def _gauges(node: Node) -> dict[str, float]:
    view = status_of(node)
    return {
        'partitions': view.partitions,
        'workers': view.workers,
        'workers_open': view.workers_open,
        'works_queued': view.queued,
        'attempts_running': view.running,
        'journal_lag_events': view.journal_lag,
        'journal_commits': node.journal.commits,
        'placements': view.placements,
        'config_revision': view.revision,
        'audit_dropped': view.audit_dropped,
        'bytes_sent': traffic.sent,
        'bytes_received': traffic.received,
    }


def _other_number(request: Request, ticket: Ticket) -> Problem:
    return Problem(
        kind=ErrorKind.INVALID,
        detail=(
            f'the path has ticket number {request.path_params["n"]}, but the '
            f'body has {ticket.number}'
        ),
        remedy='use the same number in both',
    )


def _no_ticket(number: str) -> Problem:
    return Problem(
        kind=ErrorKind.NOT_FOUND,
        detail=f'there is no accepted ticket {number}',
        remedy='check the number, or apply the ticket',
    )


def _no_object(kind: str, name: str) -> Problem:
    return Problem(
        kind=ErrorKind.NOT_FOUND,
        detail=f'no ticket has set {kind} {name}; its defaults apply',
        remedy='set it with a ticket, or see docs/operators.md for defaults',
    )


def _store_down() -> Problem:
    return Problem(
        kind=ErrorKind.STORE_DOWN,
        detail='the platform does not answer',
        remedy='try again later',
        ran=Ran.NO,
        retry_after_s=1,
    )
