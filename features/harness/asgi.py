"""Calls ASGI applications directly, without a network."""

from typing import Any

import msgspec
from starlette.types import ASGIApp


class Reply(msgspec.Struct, kw_only=True):
    """An HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


async def call_app(
    app: ASGIApp,
    method: str,
    target: str,
    body: bytes = b'',
    host: str = '127.0.0.1',
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> Reply:
    """Send one request to an application and return its complete reply."""
    path, _, query = target.partition('?')
    sent: list[dict[str, Any]] = []
    parts = [{'type': 'http.request', 'body': body, 'more_body': False}]

    async def receive() -> dict[str, Any]:
        return parts.pop() if parts else {'type': 'http.disconnect'}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    scope = {
        'type': 'http',
        'asgi': {'version': '3.0'},
        'http_version': '1.1',
        'method': method,
        'path': path,
        'raw_path': path.encode(),
        'root_path': '',
        'scheme': 'http',
        'query_string': query.encode(),
        'headers': [
            (b'content-type', b'application/json'),
            (b'host', host.encode()),
            *headers,
        ],
        'server': ('127.0.0.1', 80),
        'client': ('127.0.0.1', 1),
    }
    try:
        await app(scope, receive, send)
    except Exception:  # noqa: BLE001
        if not sent:
            raise
    return Reply(
        status=sent[0]['status'],
        headers={
            key.decode(): text.decode() for key, text in sent[0]['headers']
        },
        body=b''.join(part.get('body', b'') for part in sent[1:]),
    )
