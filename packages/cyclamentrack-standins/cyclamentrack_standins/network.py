"""A stand-in for the network: delays, losses, duplicates, cuts and freezes.

A message that its sender gave up may still be delivered, as on a real
network: deliveries run in the network's own nursery.
"""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

_Reply = TypeVar('_Reply')


class SilenceError(Exception):
    """There was no reply."""


class NetworkFaults(msgspec.Struct, kw_only=True):
    """Faults that can be switched while messages flow.

    Shares are of all messages; delays are in seconds.
    """

    lost: float = 0
    lost_replies: float = 0
    doubled: float = 0
    late: float = 0
    late_s: float = 3.0
    delay_s: float = 0.001


class Network:
    """Delivers requests between named ends."""

    def __init__(self, *, nursery: trio.Nursery, seed: int) -> None:
        """Start without faults but a short delay."""
        self._nursery = nursery
        self._random = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        self._resumed: dict[str, trio.Event] = {}
        self._cut: set[frozenset[str]] = set()
        self._slow: dict[tuple[str, str], float] = {}
        self._dead: set[str] = set()
        self.faults = NetworkFaults()

    def freeze(self, end: str) -> None:
        """Let nothing in or out of an end until it is thawed."""
        self._resumed.setdefault(end, trio.Event())

    def thaw(self, end: str) -> None:
        """Let an end go on where it stopped."""
        event = self._resumed.pop(end, None)
        if event is not None:
            event.set()

    def cut(self, one: str, other: str) -> None:
        """Lose every message between two ends."""
        self._cut.add(frozenset((one, other)))

    def slow(self, one: str, other: str, seconds: float) -> None:
        """Delay every request from one end to another."""
        self._slow[one, other] = seconds

    def mend(self) -> None:
        """Undo all cuts and delays."""
        self._cut.clear()
        self._slow.clear()

    def kill(self, end: str) -> None:
        """Lose every message to and from an end for good."""
        self._dead.add(end)
        self.thaw(end)

    async def thawed(self, end: str) -> None:
        """Wait while an end is frozen."""
        while end in self._resumed:
            await self._resumed[end].wait()

    async def call(
        self,
        source: str,
        target: str,
        handler: Callable[[], Awaitable[_Reply]],
    ) -> _Reply:
        """Deliver a request and return its reply.

        Raises ``SilenceError`` after a loss, once the sender is not frozen.
        """
        await self.thawed(source)
        send, receive = trio.open_memory_channel(2)
        self._nursery.start_soon(
            self._deliver,
            source,
            target,
            handler,
            send,
        )
        reply = await receive.receive()
        await self.thawed(source)
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
        if self._is_cut(source, target) or self._happens(faults.lost):
            await trio.sleep(faults.late_s)
            send.send_nowait(SilenceError())
            return
        late = self._slow.get((source, target), 0)
        if self._happens(faults.late):
            late += faults.late_s
        await trio.sleep(faults.delay_s * self._random.random() + late)
        twice = self._happens(faults.doubled)
        reply = await self._handle(source, target, handler)
        if self._happens(faults.lost_replies) or self._is_cut(source, target):
            reply = SilenceError()
        send.send_nowait(reply)
        if twice:
            await trio.sleep(faults.late_s * self._random.random())
            await self._handle(source, target, handler)

    async def _handle(
        self,
        source: str,
        target: str,
        handler: Callable[[], Awaitable[_Reply]],
    ) -> _Reply | Exception:
        """Run the handler: what is on its way outlives a dead sender."""
        await self.thawed(target)
        if target in self._dead:
            return SilenceError()
        try:
            return await handler()
        except Exception as error:
            return error

    def _happens(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def _is_cut(self, source: str, target: str) -> bool:
        return (
            frozenset((source, target)) in self._cut
            or source in self._dead
            or target in self._dead
        )
