"""Problems as ``problem+json`` responses (RFC 9457)."""

import math

import msgspec
from starlette.responses import Response

from cyclamentrack.errors import ErrorKind, Problem, Ran

_STATUS = {
    ErrorKind.MALFORMED: 400,
    ErrorKind.INVALID: 422,
    ErrorKind.TOO_LARGE: 413,
    ErrorKind.METHOD: 405,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.ID_REUSED: 409,
    ErrorKind.IMPOSSIBLE: 422,
    ErrorKind.OVERLOADED: 429,
    ErrorKind.QUOTA: 403,
    ErrorKind.DEADLINE: 504,
    ErrorKind.DRAINING: 503,
    ErrorKind.NO_CONFIG: 503,
    ErrorKind.NO_OWNER: 503,
    ErrorKind.STORE_DOWN: 503,
    ErrorKind.UNSETTLED: 504,
    ErrorKind.TICKET_STALE: 409,
    ErrorKind.TICKET_CONFLICT: 409,
    ErrorKind.TICKET_REFUSED: 422,
    ErrorKind.INTERNAL: 500,
}


class ProblemBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a ``problem+json`` response."""

    type: str
    title: str
    status: int
    detail: str
    remedy: str
    ran: Ran
    retry_after_s: float | None = None


def problem_body(problem: Problem) -> ProblemBody:
    """Return a problem as the body of a response."""
    return ProblemBody(
        type=f'urn:cyclamentrack:problem:{problem.kind.value}',
        title=problem.kind.value.replace('-', ' '),
        status=_STATUS[problem.kind],
        detail=problem.detail,
        remedy=problem.remedy,
        ran=problem.ran,
        retry_after_s=problem.retry_after_s,
    )


def problem_response(problem: Problem) -> Response:
    """Return the HTTP response for a problem."""
    headers = {}
    if problem.retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(problem.retry_after_s))
    return Response(
        msgspec.json.encode(problem_body(problem)),
        status_code=_STATUS[problem.kind],
        media_type='application/problem+json',
        headers=headers,
    )


def json_response(message: object, status: int = 200) -> Response:
    """Return the HTTP response for a typed message."""
    return Response(
        msgspec.json.encode(message),
        status_code=status,
        media_type='application/json',
    )
