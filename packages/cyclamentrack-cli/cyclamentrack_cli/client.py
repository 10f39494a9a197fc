"""HTTP client that the commands use to call a daemon."""

from typing import Any

import httpcore
import msgspec
from returns.result import Failure, Result, Success

# Longer than the 60 s that a daemon lets a request wait at most.
_TRANSFER_TIMEOUT_S = 75.0
_FIRST_ERROR_STATUS = 400


class ClientError(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request failed, and the remedy.

    ``ran`` says whether the work may have run: ``no``, ``yes`` or
    ``unknown``.
    """

    title: str
    detail: str
    remedy: str
    ran: str = 'no'
    retry_after_s: float | None = None


def request(
    method: str, address: str, path: str, body: bytes = b''
) -> Result[Any, ClientError]:
    """Send a request and return the decoded JSON body of the reply.

    A failure holds the daemon's problem body, or says that the daemon was
    not reached or that its reply could not be decoded.
    """
    url = f'http://{address}{path}'
    timeouts = {
        'connect': 3.0,
        'read': _TRANSFER_TIMEOUT_S,
        'write': _TRANSFER_TIMEOUT_S,
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
        if response.status >= _FIRST_ERROR_STATUS:
            return Failure(
                msgspec.json.decode(response.content, type=ClientError),
            )
        return Success(msgspec.json.decode(response.content))
    except msgspec.MsgspecError:
        return Failure(
            ClientError(
                title='not a cyclamentrack daemon',
                detail=f'{address} replied with status {response.status} and '
                'a body that is not the JSON of a daemon',
                remedy='check that the address is a listener of a daemon, for '
                'callers or for operators as the command needs',
                ran='unknown',
            ),
        )


def _unreachable(address: str, error: Exception) -> ClientError:
    never_connected = isinstance(error, httpcore.ConnectError)
    return ClientError(
        title='daemon not reached',
        detail=f'no reply from {address}: {type(error).__name__}',
        remedy='check that cyclamentrackd runs there, or name another daemon '
        'with --address',
        ran='no' if never_connected else 'unknown',
    )
