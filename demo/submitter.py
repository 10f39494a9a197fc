"""The demonstration's submitter: sends work and keeps count of answers."""

import time

import httpcore
import msgspec
import trio

from cyclamentrack.work import Kind, Work

_BATCH = 100
_TIMEOUTS = {'connect': 2.0, 'read': 40.0, 'write': 5.0, 'pool': 30.0}
_TRIES = 30
_RETRY_S = 0.5
_WAIT_S = 10
_LOOKUPS_AT_ONCE = 16
_ENDED = frozenset(('succeeded', 'failed', 'cancelled', 'outcome-unknown'))


class Told(msgspec.Struct, kw_only=True):
    """What the submitter was told of one work; times are monotonic."""

    work: Work
    sent_at: float
    answered_at: float = 0
    stage: str = ''
    ran: str = ''
    problem: str = ''


class Submitter:
    """Sends works to any daemon, as the balancer would."""

    def __init__(self, *, addresses: list[str]) -> None:
        """Send to the addresses in turn."""
        self._addresses = addresses
        self._turn = 0
        self._pool = httpcore.AsyncConnectionPool(max_connections=32)
        self.told: dict[str, Told] = {}

    def drop(self, address: str) -> None:
        """Send nothing more to an address, as a balancer's probe would."""
        self._addresses.remove(address)

    async def submit(self, works: list[Work]) -> None:
        """Send works in arrays, again under the same ids when unsettled."""
        durable = [work for work in works if work.kind is not Kind.LOOKUP]
        async with trio.open_nursery() as nursery:
            for start in range(0, len(durable), _BATCH):
                batch = durable[start : start + _BATCH]
                nursery.start_soon(self._submit_batch, batch)

    async def lookups(self, works: list[Work]) -> None:
        """Send lookups one by one, a few at the same time."""
        limit = trio.CapacityLimiter(_LOOKUPS_AT_ONCE)
        async with trio.open_nursery() as nursery:
            for work in works:
                await limit.acquire_on_behalf_of(work.id)
                nursery.start_soon(self._lookup, work, limit)

    async def await_ends(self) -> None:
        """Wait until each accepted work has ended, services apart."""
        for told in list(self.told.values()):
            while self._is_open(told):
                view = await self._get(told.work.id)
                if view is not None:
                    told.stage = view['stage']
                    told.ran = view['ran']

    def _is_open(self, told: Told) -> bool:
        return (
            not told.problem
            and told.work.kind in {Kind.BATCH, Kind.GANG}
            and told.stage not in _ENDED
        )

    async def _submit_batch(self, works: list[Work]) -> None:
        now = time.monotonic()
        waiting = {work.id: work for work in works}
        for work in works:
            self.told[work.id] = Told(work=work, sent_at=now)
        for _ in range(_TRIES):
            answers = await self._post(list(waiting.values()))
            for answer in answers:
                if self._take(answer):
                    waiting.pop(answer['id'])
            if not waiting:
                return
            await trio.sleep(_RETRY_S)

    def _take(self, answer: dict) -> bool:
        """Keep an answer; tell whether it settles the work."""
        told = self.told[answer['id']]
        told.answered_at = time.monotonic()
        problem = answer.get('problem')
        if problem is not None:
            if problem['ran'] == 'unknown':
                return False
            told.problem = problem['title']
            told.ran = problem['ran']
            return True
        view = answer['view']
        told.stage = view['stage']
        return True

    async def _lookup(self, work: Work, limit: trio.CapacityLimiter) -> None:
        told = Told(work=work, sent_at=time.monotonic())
        self.told[work.id] = told
        try:
            for _ in range(_TRIES):
                answers = await self._post([work])
                if answers and not answers[0].get('problem'):
                    told.stage = 'succeeded'
                    told.ran = 'yes'
                    told.answered_at = time.monotonic()
                    return
                await trio.sleep(_RETRY_S)
            told.problem = 'no answer'
        finally:
            limit.release_on_behalf_of(work.id)

    async def _post(self, works: list[Work]) -> list[dict]:
        reply = await self._request('POST', '/v1/work', works)
        return reply if isinstance(reply, list) else []

    async def _get(self, work: str) -> dict | None:
        reply = await self._request(
            'GET',
            f'/v1/work/{work}?wait_s={_WAIT_S}',
            None,
        )
        if isinstance(reply, dict) and 'stage' in reply:
            return reply
        await trio.sleep(_RETRY_S)
        return None

    async def _request(
        self, method: str, path: str, works: list[Work] | None
    ) -> object:
        self._turn += 1
        address = self._addresses[self._turn % len(self._addresses)]
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
