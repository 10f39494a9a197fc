"""HTTP client of the command line."""

from typing import Any

import httpcore
import msgspec
from returns.result import Failure, Result, Success

_TIMEOUT_S = 75.0
_BAD_STATUS = 400


class ClientError(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request did not succeed, and what to do."""

    title: str
    detail: str
    remedy: str
    ran: str = 'no'
    retry_after_s: float | None = None


def request(
    method: str, address: str, path: str, body: bytes = b''
) -> Result[Any, ClientError]:
    """Send a request and return the decoded JSON answer."""
    url = f'http://{address}{path}'
    timeouts = {
        'connect': 3.0,
        'read': _TIMEOUT_S,
        'write': _TIMEOUT_S,
        'pool': 3.0,
    }
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                url,
                headers=[(b'Content-Type', b'application/json')],
                content=body,
                extensions={'timeout': timeouts},
            )
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        return Failure(_unreachable(address, error))
    except httpcore.ProtocolError as error:
        return Failure(_unreachable(address, error))
    return _decode(response, address)


def _decode(
    response: httpcore.Response, address: str
) -> Result[Any, ClientError]:
    try:
        if response.status >= _BAD_STATUS:
            return Failure(
                msgspec.json.decode(response.content, type=ClientError),
            )
        return Success(msgspec.json.decode(response.content))
    except msgspec.MsgspecError:
        return Failure(
            ClientError(
                title='not a cyclamentrack daemon',
                detail=f'{address} gave an answer that is not JSON',
                remedy='check the address and the listener',
                ran='unknown',
            ),
        )


def _unreachable(address: str, error: Exception) -> ClientError:
    silent = isinstance(error, httpcore.ConnectError)
    return ClientError(
        title='daemon not reached',
        detail=f'no answer from {address}: {type(error).__name__}',
        remedy='check that cyclamentrackd runs there, or name another one '
        'with --address',
        ran='no' if silent else 'unknown',
    )
