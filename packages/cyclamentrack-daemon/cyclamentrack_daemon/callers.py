"""HTTP routes for callers: submit, show, cancel and fetch results."""

import logging
from collections.abc import Awaitable, Callable

import msgspec
import trio
from returns.result import Failure, Success
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cyclamentrack import defaults
from cyclamentrack.errors import ErrorKind, Problem, Ran
from cyclamentrack.ids import WorkId
from cyclamentrack.node import Node
from cyclamentrack.work import (
    FINAL_STAGES,
    Answer,
    Kind,
    Stage,
    Work,
    WorkView,
)
from cyclamentrack_daemon.bodies import (
    decode_as,
    read_body,
    read_seconds,
    split_items,
)
from cyclamentrack_daemon.problems import (
    ProblemBody,
    json_response,
    problem_body,
    problem_response,
)

_log = logging.getLogger(__name__)

_ACCEPTED = 202
_OK = 200


class ItemAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to one item of an array."""

    id: str
    view: WorkView | None = None
    answer: str | None = None
    problem: ProblemBody | None = None


class LookupAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a lookup."""

    id: WorkId
    answer: str


class WorkResult(msgspec.Struct, frozen=True, kw_only=True):
    """The complete result of a work, with one answer per task in order."""

    id: WorkId
    answers: list[str]


class CallerRoutes:
    """Routes for callers, handled by the daemon's current node."""

    def __init__(
        self, *, node: Callable[[], Node], draining: trio.Event
    ) -> None:
        """``draining`` ends long waits early, with the state at that time."""
        self._node = node
        self._draining = draining

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/work', self.submit, methods=['POST']),
                Route('/v1/work/{id}', self.show, methods=['GET']),
                Route('/v1/work/{id}', self.cancel, methods=['DELETE']),
                Route('/v1/work/{id}/result', self.fetch, methods=['GET']),
                *probe_routes(self._node),
            ],
            exception_handlers=exception_handlers(),
        )

    async def submit(self, request: Request) -> Response:
        """Accept one work, or an array of works with one answer each."""
        match read_seconds(request, 'wait_s', max_s=defaults.MAX_WAIT_S):
            case Success(seconds):
                wait_s = seconds
            case Failure(problem):
                return problem_response(problem)
        body = await read_body(request)
        match body.bind(split_items):
            case Failure(problem):
                return problem_response(problem)
            case Success(items):
                answers = await self._submit_items(items.entries, wait_s)
        if items.is_array:
            return json_response(answers)
        return _single_response(answers[0])

    async def show(self, request: Request) -> Response:
        """Return a work's state once it ended or after ``wait_s`` seconds."""
        match read_seconds(request, 'wait_s', max_s=defaults.MAX_WAIT_S):
            case Failure(problem):
                return problem_response(problem)
            case Success(wait_s):
                work = WorkId(request.path_params['id'])
                return _view_response(await self._await_end(work, wait_s))

    async def cancel(self, request: Request) -> Response:
        """Cancel a work."""
        work = WorkId(request.path_params['id'])
        answers = await self._node().router.cancel([work])
        return _view_response(answers[0])

    async def fetch(self, request: Request) -> Response:
        """Return the result of a work that succeeded."""
        work = WorkId(request.path_params['id'])
        answer = await self._node().router.show(work, 0)
        match answer:
            case Answer(view=WorkView(stage=Stage.SUCCEEDED) as view):
                return json_response(
                    WorkResult(id=work, answers=view.answers),
                )
            case Answer(view=WorkView() as view):
                return problem_response(_no_result(view))
        return _view_response(answer)

    async def _submit_items(
        self, entries: list[msgspec.Raw], wait_s: float
    ) -> list[ItemAnswer]:
        answers: list[ItemAnswer | None] = [None] * len(entries)
        durable: dict[int, Work] = {}
        async with trio.open_nursery() as nursery:
            for index, entry in enumerate(entries):
                match decode_as(bytes(entry), Work):
                    case Failure(problem):
                        answers[index] = _refused(_id_of(entry), problem)
                    case Success(Work(kind=Kind.LOOKUP) as work):
                        nursery.start_soon(
                            self._lookup,
                            work,
                            answers,
                            index,
                        )
                    case Success(work):
                        durable[index] = work
            nursery.start_soon(self._submit_durable, durable, answers, wait_s)
        return [answer for answer in answers if answer is not None]

    async def _lookup(
        self, work: Work, answers: list[ItemAnswer | None], index: int
    ) -> None:
        node = self._node()
        problem = node.admission.refuse(work)
        if problem is None:
            done = await node.router.lookup(work)
            if done.problem is None:
                answers[index] = ItemAnswer(id=work.id, answer=done.answer)
                return
            problem = done.problem
        answers[index] = _refused(work.id, problem)

    async def _submit_durable(
        self,
        works: dict[int, Work],
        answers: list[ItemAnswer | None],
        wait_s: float,
    ) -> None:
        if not works:
            return
        submitted = await self._node().router.submit(
            list(works.values()),
            defaults.ACCEPT_DEADLINE_S,
        )
        for index, answer in zip(works, submitted, strict=True):
            latest = answer
            if wait_s and answer.view is not None:
                latest = await self._await_end(answer.id, wait_s)
            answers[index] = _item(latest)

    async def _await_end(self, work: WorkId, wait_s: float) -> Answer:
        """Wait for a work's end, but stop waiting when this daemon drains."""
        found: list[Answer] = []
        router = self._node().router

        async def stop_waiting(scope: trio.CancelScope) -> None:
            await self._draining.wait()
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_waiting, nursery.cancel_scope)
            found.append(await router.show(work, wait_s))
            nursery.cancel_scope.cancel()
        return found[0] if found else await router.show(work, 0)


def probe_routes(node: Callable[[], Node]) -> list[Route]:
    """Return the routes that the load balancer probes."""

    async def ready(request: Request) -> Response:
        del request
        if node().ready:
            return json_response('ready')
        return problem_response(
            Problem(
                kind=ErrorKind.DRAINING,
                detail='this daemon does not accept new requests now',
                remedy='send requests to another daemon',
                ran=Ran.NO,
                retry_after_s=1,
            ),
        )

    async def live(request: Request) -> Response:
        del request
        return json_response('live')

    return [
        Route('/ready', ready, methods=['GET']),
        Route('/live', live, methods=['GET']),
    ]


def exception_handlers() -> dict[
    int | type[Exception], Callable[..., Awaitable[Response]]
]:
    """Return handlers that turn each exception into a problem response."""

    async def refuse(request: Request, error: HTTPException) -> Response:
        match error.status_code:
            case 405:
                problem = Problem(
                    kind=ErrorKind.METHOD,
                    detail=f'{request.method} is not allowed on this route',
                    remedy='see docs/api.md for the methods of each route',
                )
            case _:
                problem = Problem(
                    kind=ErrorKind.NOT_FOUND,
                    detail=f'there is no route {request.url.path}',
                    remedy='see docs/api.md for the routes',
                )
        return problem_response(problem)

    async def fail(request: Request, error: Exception) -> Response:
        _log.error('request to %s failed', request.url.path, exc_info=error)
        return problem_response(
            Problem(
                kind=ErrorKind.INTERNAL,
                detail='the request failed with an internal error',
                remedy='look up the work by its id before sending it again',
                ran=Ran.UNKNOWN,
            ),
        )

    return {HTTPException: refuse, Exception: fail}


def _single_response(answer: ItemAnswer) -> Response:
    if answer.problem is not None:
        retry_s = answer.problem.retry_after_s
        headers = {} if retry_s is None else {'Retry-After': f'{retry_s:.0f}'}
        return Response(
            msgspec.json.encode(answer.problem),
            status_code=answer.problem.status,
            media_type='application/problem+json',
            headers=headers,
        )
    if answer.view is None:
        return json_response(
            LookupAnswer(id=WorkId(answer.id), answer=answer.answer or ''),
        )
    ended = answer.view.stage in FINAL_STAGES
    return json_response(answer.view, _OK if ended else _ACCEPTED)


def _view_response(answer: Answer) -> Response:
    if answer.problem is not None:
        return problem_response(answer.problem)
    return json_response(answer.view)


def _item(answer: Answer) -> ItemAnswer:
    if answer.problem is not None:
        return _refused(answer.id, answer.problem)
    return ItemAnswer(id=answer.id, view=answer.view)


def _refused(work: str, problem: Problem) -> ItemAnswer:
    return ItemAnswer(id=work, problem=problem_body(problem))


class _IdOnly(msgspec.Struct, frozen=True):
    id: str = ''


def _id_of(entry: msgspec.Raw) -> str:
    """Return the id of an invalid item, or an empty string without one."""
    match decode_as(bytes(entry), _IdOnly):
        case Success(found):
            return str(found.id)
    return ''


def _no_result(view: WorkView) -> Problem:
    return Problem(
        kind=ErrorKind.NOT_FOUND,
        detail=f'work {view.id} is {view.stage.value} and has no result',
        remedy='wait until it ends with GET /v1/work/{id}?wait_s=SECONDS',
        ran=view.ran,
    )
