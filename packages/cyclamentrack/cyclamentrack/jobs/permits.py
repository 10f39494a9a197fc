"""Permits to place: which step to ask for, on which lane, and what is known.

The permit service handles one call at a time for each instance that calls,
so every instance of the cell is a lane of its own. A lane is given one call
at a time, always the most urgent wish of the latest round: what waits is
never a call that nobody needs any more. Long calls keep off the owner's own
lane while its pool has queues with short ones, so that a quick lookup never
waits behind a gang's decision.
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
SHORT_CALL_S = 0.06
# A lane has one call at a time, so an answer is this late only if it is lost.
_CALL_SLACK_S = 0.6
_RETRY_PAUSE_S = 0.3
# Workers of a step that no worker may run are asked for again after this.
_NONE_GOOD_PAUSE_S = 8.0

PermitRoute = Callable[
    [StepName, Sequence[WorkerId], float],
    Awaitable[Permits | None],
]


class _Granted(msgspec.Struct, frozen=True, array_like=True):
    permit: str
    until: float
    incarnation: int


class _Refused(msgspec.Struct, frozen=True, array_like=True):
    again_at: float
    incarnation: int


class StepPermits(msgspec.Struct, kw_only=True, eq=False):
    """What is known of one step: good workers, bad ones, fresh permits."""

    good: dict[WorkerId, _Granted] = msgspec.field(default_factory=dict)
    bad: dict[WorkerId, _Refused] = msgspec.field(default_factory=dict)
    asking: bool = False
    not_before: float = 0.0
    fresh_until: float = 0.0

    def may_ask(self, now: float) -> bool:
        """Tell whether a call for the step would be made now."""
        return not self.asking and now >= self.not_before

    def none_fresh(self, now: float) -> bool:
        """Tell whether no permit can be good for a start any more."""
        return not self.good or now > self.fresh_until - _USE_MARGIN_S

    def fresh(self, worker: WorkerId, *, now: float, incarnation: int) -> str:
        """Return a permit that is still good for a start, or nothing."""
        granted = self.good.get(worker)
        if granted is None or granted.incarnation != incarnation:
            return ''
        if now > granted.until - _USE_MARGIN_S:
            return ''
        return granted.permit

    def barred(self, worker: WorkerId, *, now: float, incarnation: int) -> bool:
        """Tell whether a worker was refused and need not be asked for again.

        A refusal holds for one life of the worker, and while no other worker
        is good only for a time.
        """
        refused = self.bad.get(worker)
        if refused is None or refused.incarnation != incarnation:
            return False
        return bool(self.good) or now < refused.again_at

    def take_in(
        self, answer: Permits, *, asked: dict[WorkerId, int], now: float
    ) -> None:
        """Note an answer for the workers that were asked for, with lives."""
        for worker, incarnation in asked.items():
            permit = answer.granted.get(worker)
            if permit is None:
                self.good.pop(worker, None)
                self.bad[worker] = _Refused(
                    now + _NONE_GOOD_PAUSE_S, incarnation
                )
            else:
                self.bad.pop(worker, None)
                self.good[worker] = _Granted(
                    permit, now + answer.valid_s, incarnation
                )


class PermitCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that a step wishes for.

    ``workers`` gives each one's life, since a permit ends with it. A call
    that is ``ahead`` of its need waits for all others, and for a second lane.
    """

    step: StepName
    policy: PermitPolicy
    workers: dict[WorkerId, int]
    ahead: bool = False

    @property
    def named(self) -> list[WorkerId]:
        """The workers that the call names."""
        return list(self.workers)[:MAX_NAMED]

    @property
    def cost_s(self) -> float:
        """How long the service takes."""
        return self.policy.decide_s + self.policy.each_s * len(self.named)


class PermitCache:
    """All steps' permits; asks for more over the lanes."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        permit_routes: Callable[[], dict[str, PermitRoute]],
        on_answer: Callable[[], None],
    ) -> None:
        """Call over the lanes, of which ``''`` is the own one."""
        self._nursery = nursery
        self._permit_routes = permit_routes
        self._on_answer = on_answer
        self._steps: dict[StepName, StepPermits] = {}
        self._busy: set[str] = set()
        self._permit_planner: list[PermitCall] = []
        self._keep_own_short = False

    def of(self, step: StepName) -> StepPermits:
        """Return what is known of a step."""
        known = self._steps.get(step)
        if known is None:
            known = StepPermits()
            self._steps[step] = known
        return known

    def free_permit_routes(self) -> int:
        """Return how many calls could begin now."""
        return len(self._permit_routes()) - len(self._busy)

    def forget(self, step: StepName) -> None:
        """Drop what is known of a step that has ended."""
        self._steps.pop(step, None)

    def offer(
        self, permit_requests: list[PermitCall], *, keep_own_short: bool
    ) -> None:
        """Replace the wishes by those of a new round, most urgent first."""
        self._permit_planner = permit_requests
        self._keep_own_short = keep_own_short
        self._use_lanes()

    def learn(
        self, wish: PermitCall, answer: Permits | None, *, now: float
    ) -> None:
        """Take in the answer to a call, ``None`` if there was none."""
        known = self.of(wish.step)
        known.asking = False
        if answer is None:
            known.not_before = now + _RETRY_PAUSE_S
            return
        known.fresh_until = now + answer.valid_s
        known.take_in(
            answer,
            asked={worker: wish.workers[worker] for worker in wish.named},
            now=now,
        )

    def _use_lanes(self) -> None:
        permit_routes = self._permit_routes()
        now = trio.current_time()
        for wish in sorted(self._permit_planner, key=lambda one: one.ahead):
            known = self.of(wish.step)
            if not known.may_ask(now):
                continue
            lane = self._free_lane(permit_routes, wish)
            if lane is None:
                continue
            if wish.ahead and len(permit_routes) - len(self._busy) <= 1:
                return
            known.asking = True
            self._busy.add(lane)
            self._nursery.start_soon(self._ask, wish, lane, permit_routes[lane])

    def _free_lane(
        self, permit_routes: dict[str, PermitRoute], wish: PermitCall
    ) -> str | None:
        short = wish.cost_s <= SHORT_CALL_S
        others = sorted(lane for lane in permit_routes if lane)
        allowed = others
        if short or not self._keep_own_short or not others:
            allowed = ['', *others]
        for lane in allowed:
            if lane not in self._busy:
                return lane
        return None

    async def _ask(
        self, wish: PermitCall, lane: str, call: PermitRoute
    ) -> None:
        asked_at = trio.current_time()
        named = wish.named
        try:
            answer = await call(wish.step, named, wish.cost_s + _CALL_SLACK_S)
        finally:
            self._busy.discard(lane)
        _log.info(
            'permits step=%s lane=%s named=%d good=%s after_ms=%d',
            wish.step,
            lane or 'own',
            len(named),
            len(answer.granted) if answer else 'none',
            int((trio.current_time() - asked_at) * 1000),
        )
        self.learn(wish, answer, now=trio.current_time())
        self._on_answer()
