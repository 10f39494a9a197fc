"""A simulated network with delays, losses, duplicates, cuts and freezes.

As on a real network, a message is still delivered after its sender gave up:
deliveries run in the network's own nursery.
"""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

_Reply = TypeVar('_Reply')


class NoReplyError(Exception):
    """The request or its reply was lost."""


class NetworkFaults(msgspec.Struct, kw_only=True):
    """Faults that can be switched while the network runs.

    ``lost``, ``lost_replies``, ``doubled`` and ``late`` are shares of all
    requests. A late request is delayed by ``late_s`` seconds; the sender of a
    lost one gets its error after as many. Every request takes up to
    ``delay_s`` seconds.
    """

    lost: float = 0
    lost_replies: float = 0
    doubled: float = 0
    late: float = 0
    late_s: float = 3.0
    delay_s: float = 0.001


class Network:
    """Delivers requests between named endpoints."""

    def __init__(self, *, nursery: trio.Nursery, seed: int) -> None:
        """Create a network whose only fault is a short delay."""
        self._nursery = nursery
        self._random = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        self._thaw_events: dict[str, trio.Event] = {}
        self._cut_pairs: set[frozenset[str]] = set()
        self._request_delays_s: dict[tuple[str, str], float] = {}
        self._killed: set[str] = set()
        self.faults = NetworkFaults()

    def freeze(self, endpoint: str) -> None:
        """Hold back all messages of an endpoint until it is thawed."""
        self._thaw_events.setdefault(endpoint, trio.Event())

    def thaw(self, endpoint: str) -> None:
        """Resume the messages of a frozen endpoint."""
        event = self._thaw_events.pop(endpoint, None)
        if event is not None:
            event.set()

    def cut(self, first: str, second: str) -> None:
        """Lose every message between two endpoints."""
        self._cut_pairs.add(frozenset((first, second)))

    def slow(self, first: str, second: str, seconds: float) -> None:
        """Delay every request from the first endpoint to the second."""
        self._request_delays_s[first, second] = seconds

    def mend(self) -> None:
        """Undo all cuts and delays."""
        self._cut_pairs.clear()
        self._request_delays_s.clear()

    def kill(self, endpoint: str) -> None:
        """Lose every message to and from an endpoint for good."""
        self._killed.add(endpoint)
        self.thaw(endpoint)

    async def wait_thawed(self, endpoint: str) -> None:
        """Wait while an endpoint is frozen."""
        while endpoint in self._thaw_events:
            await self._thaw_events[endpoint].wait()

    async def call(
        self,
        source: str,
        target: str,
        handler: Callable[[], Awaitable[_Reply]],
    ) -> _Reply:
        """Deliver a request and return its reply.

        Raises ``NoReplyError`` when the request or the reply is lost, and
        the handler's exception when it fails. A frozen sender gets either
        once it is thawed.
        """
        await self.wait_thawed(source)
        send, receive = trio.open_memory_channel(2)
        self._nursery.start_soon(
            self._deliver,
            source,
            target,
            handler,
            send,
        )
        reply = await receive.receive()
        await self.wait_thawed(source)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def _deliver(
        self,
        source: str,
        target: str,
        handler: Callable[[], Awaitable[_Reply]],
        send: trio.MemorySendChannel,
    ) -> None:
        faults = self.faults
        if self._is_cut(source, target) or self._draw(faults.lost):
            await trio.sleep(faults.late_s)
            send.send_nowait(NoReplyError())
            return
        late = self._request_delays_s.get((source, target), 0)
        if self._draw(faults.late):
            late += faults.late_s
        await trio.sleep(faults.delay_s * self._random.random() + late)
        duplicated = self._draw(faults.doubled)
        reply = await self._handle(source, target, handler)
        if self._draw(faults.lost_replies) or self._is_cut(source, target):
            reply = NoReplyError()
        send.send_nowait(reply)
        if duplicated:
            await trio.sleep(faults.late_s * self._random.random())
            await self._handle(source, target, handler)

    async def _handle(
        self,
        source: str,
        target: str,
        handler: Callable[[], Awaitable[_Reply]],
    ) -> _Reply | Exception:
        """Run the handler, even if the sender was killed after sending."""
        await self.wait_thawed(target)
        if target in self._killed:
            return NoReplyError()
        try:
            return await handler()
        except Exception as error:
            return error

    def _draw(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def _is_cut(self, source: str, target: str) -> bool:
        return (
            frozenset((source, target)) in self._cut_pairs
            or source in self._killed
            or target in self._killed
        )
