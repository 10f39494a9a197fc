"""HTTP server on a real socket with canned answers; it records calls."""

import contextlib
import json
import threading

import trio

_READ_BYTES = 65536
_CLOSE_CHECK_S = 0.005


class WireServer:
    """Answers each path with the status and body that a test has set for it.

    A body of bytes is sent as it is, any other one as JSON. If the answer is
    ``None``, the server closes the connection without a reply; if it is
    ``'silent'``, it never replies. Paths without an answer get status 404. A
    server that ``closes_after_reply`` doesn't keep a connection for more calls.
    The first ``silent_connections`` get no further replies and stay open, and
    the calls whose numbers are in ``unanswered_calls`` get none either. A body
    is sent in ``parts`` with a pause of ``pause_s`` between them, of which only
    the first ``sent_parts`` are sent if that is set.
    """

    def __init__(self):
        self.answers = {}
        self.calls = []
        self.connections = 0
        self.silent_connections = 0
        self.unanswered_calls = set()
        self.closes_after_reply = False
        self.closed = 0
        self.parts = 1
        self.pause_s = 0.0
        self.sent_parts = None
        self.address = ''
        self._started = threading.Event()
        self._token = None
        self._scope = None
        self._thread = threading.Thread(target=self._main, daemon=True)
        self._thread.start()
        self._started.wait()

    async def wait_until_closed(self, count):
        """Wait for the server to close; before, a call can still be sent."""
        while self.closes_after_reply and self.closed < count:
            await trio.sleep(_CLOSE_CHECK_S)

    def close(self):
        trio.from_thread.run_sync(self._scope.cancel, trio_token=self._token)
        self._thread.join()

    def _main(self):
        trio.run(self._serve)

    async def _serve(self):
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            self.address = f'127.0.0.1:{port}'
            self._started.set()
            await trio.serve_listeners(self._answer_all, listeners)

    async def _answer_all(self, stream):
        """Answer the requests of a connection until it is closed or broken."""
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            await self._answer_each(stream, self.connections)

    async def _answer_each(self, stream, number):
        buffer = b''
        while True:
            request = await self._read_request(stream, buffer)
            if request is None:
                return
            head, body, buffer = request
            target = head.split(b'\r\n')[0].split(b' ')[1].decode()
            path = target.partition('?')[0]
            self.calls.append((target, json.loads(body or b'null'), head))
            answer = self.answers.get(path, (404, {}))
            lost = len(self.calls) in self.unanswered_calls
            silent = answer == 'silent' or number <= self.silent_connections
            if silent or lost:
                await trio.sleep_forever()
            if answer is None:
                await stream.aclose()
                return
            await self._send(stream, _response(*answer))
            if self.closes_after_reply:
                await stream.aclose()
                self.closed += 1
                return

    async def _send(self, stream, response):
        size = -(-len(response) // self.parts)
        for number, start in enumerate(range(0, len(response), size)):
            if number == self.sent_parts:
                await trio.sleep_forever()
            if number:
                await trio.sleep(self.pause_s)
            await stream.send_all(response[start : start + size])

    async def _read_request(self, stream, buffer):
        while b'\r\n\r\n' not in buffer:
            chunk = await stream.receive_some(_READ_BYTES)
            if not chunk:
                return None
            buffer += chunk
        head, _, rest = buffer.partition(b'\r\n\r\n')
        length = 0
        for line in head.split(b'\r\n')[1:]:
            name, _, text = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(text)
        while len(rest) < length:
            rest += await stream.receive_some(_READ_BYTES)
        return head, rest[:length], rest[length:]


def _response(status, body):
    payload = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = (
        f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(payload)}\r\n\r\n'
    )
    return head.encode() + payload
