"""A trio event loop whose clock is paused between the steps of a test."""

import random
import threading
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from trio._core import _run  # noqa: PLC2701

_FOREVER = float('inf')
_STEP_LIMIT_S = 100_000


class PausedLoop:
    """Runs async steps on a mock clock, in the same way on each test run."""

    def __init__(self, *, seed: int = 0) -> None:
        """Seed the order in which trio runs tasks."""
        _run._ALLOW_DETERMINISTIC_SCHEDULING = True
        self._seed = seed
        self._steps = 0
        self._clock = trio.testing.MockClock()
        self._started = threading.Event()
        self._token: Any = None
        self._nursery: Any = None
        self._error: BaseException | None = None
        self._thread = threading.Thread(target=self._main, daemon=True)
        self._thread.start()
        self._started.wait()

    @property
    def nursery(self) -> trio.Nursery:
        """Nursery that is open as long as the loop runs."""
        return self._nursery

    def run(self, step: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
        """Run a step with the clock jumping ahead, then pause the clock."""
        if self._error is not None:
            raise self._error
        return trio.from_thread.run(
            self._step, step, *arguments, trio_token=self._token
        )

    def sleep(self, seconds: float) -> None:
        """Run the loop's tasks for so many seconds of the mock clock."""
        self.run(trio.sleep, seconds)

    def block(self, seconds: float) -> None:
        """Advance the clock without running a task, as a blocked loop does."""

        async def jump() -> None:
            self._clock.jump(seconds)
            await trio.lowlevel.checkpoint()

        self.run(jump)

    def close(self) -> None:
        """Cancel all tasks and stop the loop; raise its error, if any."""
        if self._error is None:
            trio.from_thread.run_sync(
                self._nursery.cancel_scope.cancel, trio_token=self._token
            )
        self._thread.join()
        if self._error is not None:
            raise self._error

    async def _step(
        self, step: Callable[..., Awaitable[Any]], *arguments: Any
    ) -> Any:
        """Run a step from one point where all tasks are blocked to the next.

        The call comes from another thread. Without this, the order of tasks
        would depend on when the call arrives.
        """
        self._steps += 1
        _run._r = random.Random(f'{self._seed}/{self._steps}')
        self._clock.autojump_threshold = 0
        try:
            with trio.fail_after(_STEP_LIMIT_S):
                return await step(*arguments)
        finally:
            self._clock.autojump_threshold = _FOREVER
            await trio.testing.wait_all_tasks_blocked()

    def _main(self) -> None:
        try:
            trio.run(self._serve, clock=self._clock)
        except BaseException as error:  # noqa: BLE001
            self._error = error
            self._started.set()

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._token = trio.lowlevel.current_trio_token()
            self._started.set()
            await trio.sleep_forever()
