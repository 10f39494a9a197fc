"""Reading and checking request bodies and query values."""

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from starlette.requests import Request

from cyclamentrack import defaults
from cyclamentrack.errors import ErrorKind, Problem

_Typed = TypeVar('_Typed')


class Items(msgspec.Struct, frozen=True, kw_only=True):
    """The items of a body; ``is_array`` is true if the body was an array."""

    entries: list[msgspec.Raw]
    is_array: bool


async def read_body(request: Request) -> Result[bytes, Problem]:
    """Read a body, and stop reading as soon as it exceeds the size limit."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > defaults.MAX_BODY_BYTES:
            return Failure(_too_large())
        chunks.append(chunk)
    return Success(b''.join(chunks))


def split_items(body: bytes) -> Result[Items, Problem]:
    """Split a body into its items: one object, or an array of them."""
    is_array = body.lstrip()[:1] == b'['
    try:
        if is_array:
            entries = msgspec.json.decode(body, type=list[msgspec.Raw])
        else:
            msgspec.json.decode(body)
            entries = [msgspec.Raw(body)]
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(
            Problem(
                kind=ErrorKind.MALFORMED,
                detail=f'the body is not JSON: {error}',
                remedy='send one JSON object, or an array of objects',
            ),
        )
    if len(entries) > defaults.MAX_ARRAY_ITEMS:
        return Failure(_too_many(len(entries)))
    return Success(Items(entries=entries, is_array=is_array))


def decode_as(body: bytes, into: type[_Typed] | Any) -> Result[Any, Problem]:
    """Decode JSON into a type, or return a problem that names the key."""
    try:
        return Success(msgspec.json.decode(body, type=into))
    except msgspec.ValidationError as error:
        return Failure(
            Problem(
                kind=ErrorKind.INVALID,
                detail=str(error),
                remedy='correct that key; docs/api.md lists fields and units',
            ),
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(
            Problem(
                kind=ErrorKind.MALFORMED,
                detail=f'the body is not JSON: {error}',
                remedy='send a JSON object',
            ),
        )


def read_seconds(
    request: Request, name: str, *, max_s: float
) -> Result[float, Problem]:
    """Read a query parameter in seconds, from 0 to ``max_s``; default 0."""
    text = request.query_params.get(name, '0')
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1
    if 0 <= seconds <= max_s:
        return Success(seconds)
    return Failure(
        Problem(
            kind=ErrorKind.INVALID,
            detail=f'{name} is {text!r}',
            remedy=f'use a number of seconds from 0 to {max_s:.0f}',
        ),
    )


def _too_large() -> Problem:
    return Problem(
        kind=ErrorKind.TOO_LARGE,
        detail=f'the body is larger than {defaults.MAX_BODY_BYTES} bytes',
        remedy='send the items in several requests',
    )


def _too_many(count: int) -> Problem:
    return Problem(
        kind=ErrorKind.TOO_LARGE,
        detail=f'the array has {count} items',
        remedy=f'send at most {defaults.MAX_ARRAY_ITEMS} items per request',
    )
