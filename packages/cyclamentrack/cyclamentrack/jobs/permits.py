"""Permits to place: which workers to name, on which lane, and what is known.

The permit service handles one call at a time for each instance that calls,
so every instance of the cell is a lane of its own. Short calls stay on the
owner's lane; long ones go to the least busy other lane, so that a quick
lookup never waits behind a gang's decision.
"""

import logging
from collections.abc import Awaitable, Callable, Sequence

import msgspec
import trio

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import PermitPolicy, StepName
from cyclamentrack.jobs.ports import Permits

_log = logging.getLogger(__name__)

# The objective allows for one call that names 30 workers.
MAX_NAMED = 30
# A permit must outlive the commit and the order that follow the decision.
_USE_MARGIN_S = 0.15
# Calls above this are kept off the owner's own lane.
_SHORT_CALL_S = 0.06
# A call's answer may take so much longer than its own time, by queues.
_CALL_SLACK_S = 1.0
_RETRY_PAUSE_S = 0.25

LaneCall = Callable[
    [StepName, Sequence[WorkerId], float],
    Awaitable[Permits | None],
]


class _Granted(msgspec.Struct, frozen=True, array_like=True):
    permit: str
    until: float
    life: int


class StepPermits(msgspec.Struct, kw_only=True, eq=False):
    """What is known of one step: good workers, bad ones, fresh permits."""

    good: dict[WorkerId, _Granted] = msgspec.field(default_factory=dict)
    bad: set[WorkerId] = msgspec.field(default_factory=set)
    asking: bool = False
    not_before: float = 0.0

    def fresh(self, worker: WorkerId, *, now: float, life: int) -> str:
        """Return a permit that is still good for a start, or nothing."""
        granted = self.good.get(worker)
        if granted is None or granted.life != life:
            return ''
        if now > granted.until - _USE_MARGIN_S:
            return ''
        return granted.permit


class PermitBook:
    """All steps' permits; asks for more over the lanes."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        lanes: Callable[[], dict[str, LaneCall]],
        on_answer: Callable[[], None],
    ) -> None:
        """Call over the lanes, of which ``''`` is the own one."""
        self._nursery = nursery
        self._lanes = lanes
        self._on_answer = on_answer
        self._steps: dict[StepName, StepPermits] = {}
        self._backlog: dict[str, float] = {}

    def of(self, step: StepName) -> StepPermits:
        """Return what is known of a step."""
        known = self._steps.get(step)
        if known is None:
            known = StepPermits()
            self._steps[step] = known
        return known

    def forget(self, step: StepName) -> None:
        """Drop what is known of a step that has ended."""
        self._steps.pop(step, None)

    def ask(
        self,
        *,
        step: StepName,
        policy: PermitPolicy,
        workers: dict[WorkerId, int],
    ) -> None:
        """Ask for permits on some workers, unless that is under way.

        ``workers`` gives each one's life, since a permit ends with it.
        """
        known = self.of(step)
        if known.asking or not workers or trio.current_time() < known.not_before:
            return
        known.asking = True
        self._nursery.start_soon(self._ask, step, policy, workers)

    async def _ask(
        self,
        step: StepName,
        policy: PermitPolicy,
        workers: dict[WorkerId, int],
    ) -> None:
        named = list(workers)[:MAX_NAMED]
        cost = policy.decide_s + policy.each_s * len(named)
        lanes = self._lanes()
        lane = self._pick(lanes, cost)
        self._backlog[lane] = self._backlog.get(lane, 0.0) + cost
        timeout = self._backlog[lane] + _CALL_SLACK_S
        asked_at = trio.current_time()
        try:
            answer = await lanes[lane](step, named, timeout)
        finally:
            self._backlog[lane] -= cost
        self._take_in(step, answer, workers, named)
        _log.debug(
            'permits step=%s lane=%s named=%d good=%s took_ms=%d',
            step,
            lane or 'own',
            len(named),
            len(answer.granted) if answer else 'none',
            int((trio.current_time() - asked_at) * 1000),
        )

    def _take_in(
        self,
        step: StepName,
        answer: Permits | None,
        workers: dict[WorkerId, int],
        named: list[WorkerId],
    ) -> None:
        known = self.of(step)
        known.asking = False
        now = trio.current_time()
        if answer is None:
            known.not_before = now + _RETRY_PAUSE_S
        else:
            for worker, permit in answer.granted.items():
                known.good[worker] = _Granted(
                    permit,
                    now + answer.valid_s,
                    workers.get(worker, 0),
                )
            known.bad.update(set(named) - set(answer.granted))
        self._on_answer()

    def _pick(self, lanes: dict[str, LaneCall], cost: float) -> str:
        others = [lane for lane in lanes if lane]
        if cost <= _SHORT_CALL_S or not others:
            return ''
        return min(others, key=lambda lane: self._backlog.get(lane, 0.0))
