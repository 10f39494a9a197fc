"""Sends the demonstration's work to the daemons and records the answers."""

import time

import httpcore
import msgspec
import trio

from cyclamentrack.work import Kind, Work

_BATCH_WORKS = 100
_TIMEOUTS = {'connect': 2.0, 'read': 40.0, 'write': 5.0, 'pool': 30.0}
_MAX_TRIES = 30
_RETRY_S = 0.5
_LONG_POLL_S = 10
_MAX_CONCURRENT_LOOKUPS = 16
_FINAL_STAGES = frozenset(
    ('succeeded', 'failed', 'cancelled', 'outcome-unknown')
)


class SentWork(msgspec.Struct, kw_only=True):
    """A submitted work and the latest answer to it.

    Times are in seconds of the monotonic clock.
    """

    work: Work
    sent_at: float
    answered_at: float = 0
    stage: str = ''
    ran: str = ''
    problem: str = ''


class Submitter:
    """Sends works to all daemons in turn, as a load balancer does."""

    def __init__(self, *, addresses: list[str]) -> None:
        """Send to the daemons' caller addresses."""
        self._addresses = addresses
        self._request_count = 0
        self._pool = httpcore.AsyncConnectionPool(max_connections=32)
        self.sent: dict[str, SentWork] = {}

    def drop(self, address: str) -> None:
        """Stop sending to an address, as after a failed health check."""
        self._addresses.remove(address)

    async def submit(self, works: list[Work]) -> None:
        """Send works in arrays; repeat those whose outcome is unknown.

        A repeated work keeps its id, so that it isn't accepted twice.
        """
        durable = [work for work in works if work.kind is not Kind.LOOKUP]
        async with trio.open_nursery() as nursery:
            for start in range(0, len(durable), _BATCH_WORKS):
                batch = durable[start : start + _BATCH_WORKS]
                nursery.start_soon(self._submit_batch, batch)

    async def send_lookups(self, works: list[Work]) -> None:
        """Send each lookup as its own request, some of them concurrently."""
        limit = trio.CapacityLimiter(_MAX_CONCURRENT_LOOKUPS)
        async with trio.open_nursery() as nursery:
            for work in works:
                await limit.acquire_on_behalf_of(work.id)
                nursery.start_soon(self._send_lookup, work, limit)

    async def wait_ended(self) -> None:
        """Wait until all accepted batch and gang works have ended."""
        for sent in list(self.sent.values()):
            while self._is_open(sent):
                view = await self._get(sent.work.id)
                if view is not None:
                    sent.stage = view['stage']
                    sent.ran = view['ran']

    def _is_open(self, sent: SentWork) -> bool:
        return (
            not sent.problem
            and sent.work.kind in {Kind.BATCH, Kind.GANG}
            and sent.stage not in _FINAL_STAGES
        )

    async def _submit_batch(self, works: list[Work]) -> None:
        now = time.monotonic()
        waiting = {work.id: work for work in works}
        for work in works:
            self.sent[work.id] = SentWork(work=work, sent_at=now)
        for _ in range(_MAX_TRIES):
            answers = await self._post(list(waiting.values()))
            for answer in answers:
                if self._apply_answer(answer):
                    waiting.pop(answer['id'])
            if not waiting:
                return
            await trio.sleep(_RETRY_S)

    def _apply_answer(self, answer: dict) -> bool:
        """Record an answer; return whether the work is accepted or refused.

        A problem with an unknown outcome means that it is sent again.
        """
        sent = self.sent[answer['id']]
        sent.answered_at = time.monotonic()
        problem = answer.get('problem')
        if problem is not None:
            if problem['ran'] == 'unknown':
                return False
            sent.problem = problem['title']
            sent.ran = problem['ran']
            return True
        view = answer['view']
        sent.stage = view['stage']
        return True

    async def _send_lookup(
        self, work: Work, limit: trio.CapacityLimiter
    ) -> None:
        sent = SentWork(work=work, sent_at=time.monotonic())
        self.sent[work.id] = sent
        try:
            for _ in range(_MAX_TRIES):
                answers = await self._post([work])
                if answers and not answers[0].get('problem'):
                    sent.stage = 'succeeded'
                    sent.ran = 'yes'
                    sent.answered_at = time.monotonic()
                    return
                await trio.sleep(_RETRY_S)
            sent.problem = 'no answer'
        finally:
            limit.release_on_behalf_of(work.id)

    async def _post(self, works: list[Work]) -> list[dict]:
        reply = await self._request('POST', '/v1/work', works)
        return reply if isinstance(reply, list) else []

    async def _get(self, work: str) -> dict | None:
        reply = await self._request(
            'GET',
            f'/v1/work/{work}?wait_s={_LONG_POLL_S}',
            None,
        )
        if isinstance(reply, dict) and 'stage' in reply:
            return reply
        await trio.sleep(_RETRY_S)
        return None

    async def _request(
        self, method: str, path: str, works: list[Work] | None
    ) -> object:
        self._request_count += 1
        address = self._addresses[self._request_count % len(self._addresses)]
        body = b'' if works is None else msgspec.json.encode(works)
        try:
            reply = await self._pool.request(
                method,
                f'http://{address}{path}',
                headers=[(b'Content-Type', b'application/json')],
                content=body,
                extensions={'timeout': _TIMEOUTS},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return None
        return msgspec.json.decode(reply.content)
