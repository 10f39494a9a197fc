"""Calls to the permit service and a cache of its answers.

The permit service handles one call at a time for each instance that calls,
so every instance of the cell is a permit route of its own. A route carries
one call at a time, always the most urgent request of the latest round, so no
outdated call is queued. Long calls avoid the owner's own route while its pool
has queues with short ones, so that a quick lookup never waits behind a gang's
decision.

A gang needs valid permits for all of its workers at the same time. Its workers
are therefore named at the same time, by calls over several routes: one call
after the other would outlast the first one's permits.
"""

import logging
import math
from collections.abc import Awaitable, Callable, Sequence

import msgspec
import trio

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import PermitPolicy, StepName
from cyclamentrack.jobs.ports import Permits
from cyclamentrack.jobs.registry import Placement
from cyclamentrack.jobs.start_backoff import StartBackoff

_log = logging.getLogger(__name__)

# A job's objective allows for one call that names 30 workers.
MAX_NAMED = 30
# The permit service accepts this many workers in one call.
_MAX_NAMED_TOGETHER = 100
# A permit must stay valid while the placement is committed and the worker is
# ordered to start the task.
_USE_MARGIN_S = 0.15
# Calls that take longer than this avoid the owner's own route.
SHORT_CALL_S = 0.06
# A route carries one call at a time, so a call this late is given up.
_CALL_SLACK_S = 0.6
_RETRY_PAUSE_S = 0.3
# A route without an answer is avoided for this long while others are free: its
# node is probably cut off from the service, and each call to it costs a whole
# timeout. Each further failure in a row doubles that time, since with many such
# routes the first would be due again before one that answers is reached.
_AVOID_ROUTE_S = 6.0
_MAX_AVOID_ROUTE_S = 96.0
# If no worker may run a step, refused workers are requested again after this.
_NONE_PERMITTED_PAUSE_S = 8.0

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
    """Permit decisions known for one step: permitted and refused workers.

    ``backoff`` has the workers that refused the starts themselves.
    """

    permitted: dict[WorkerId, _Granted] = msgspec.field(default_factory=dict)
    refused: dict[WorkerId, _Refused] = msgspec.field(default_factory=dict)
    calls_pending: int = 0
    not_before: float = 0.0
    fresh_until: float = 0.0
    backoff: StartBackoff = msgspec.field(default_factory=StartBackoff)

    def may_call(self, now: float) -> bool:
        """Return whether a call for the step may be made now."""
        return not self.calls_pending and now >= self.not_before

    def none_fresh(self, now: float) -> bool:
        """Return whether no permit can be valid long enough for a start."""
        return not self.permitted or now > self.fresh_until - _USE_MARGIN_S

    def fresh_permit(
        self, worker: WorkerId, *, now: float, incarnation: int
    ) -> str:
        """Return a permit valid long enough for a start, or an empty string."""
        granted = self.permitted.get(worker)
        if granted is None or granted.incarnation != incarnation:
            return ''
        if now > granted.until - _USE_MARGIN_S:
            return ''
        return granted.permit

    def is_refused(
        self, worker: WorkerId, *, now: float, incarnation: int
    ) -> bool:
        """Return whether a worker was refused and isn't requested again yet.

        A refusal holds for one incarnation of the worker, and only for a
        limited time while no worker is permitted. A worker that has refused
        starts is left out for a while too.
        """
        if self.backoff.pauses(worker, incarnation=incarnation, now=now):
            return True
        refused = self.refused.get(worker)
        if refused is None or refused.incarnation != incarnation:
            return False
        return bool(self.permitted) or now < refused.again_at

    def update(
        self, answer: Permits, *, asked: dict[WorkerId, int], now: float
    ) -> None:
        """Record an answer; ``asked`` maps the workers to incarnations."""
        for worker, incarnation in asked.items():
            permit = answer.granted.get(worker)
            if permit is None:
                self.permitted.pop(worker, None)
                self.refused[worker] = _Refused(
                    now + _NONE_PERMITTED_PAUSE_S, incarnation
                )
            else:
                self.refused.pop(worker, None)
                self.permitted[worker] = _Granted(
                    permit, now + answer.valid_s, incarnation
                )


class PermitCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call to the permit service for one step.

    ``workers`` maps each worker to its incarnation, since a permit ends with
    it. A call that is ``ahead`` of its need is made after all others, and
    only if another route stays free. The permits for workers that are named
    ``together`` are of no use one by one.
    """

    step: StepName
    policy: PermitPolicy
    workers: dict[WorkerId, int]
    ahead: bool = False
    together: bool = False

    @property
    def named(self) -> list[WorkerId]:
        """The workers that the call names."""
        limit = _MAX_NAMED_TOGETHER if self.together else MAX_NAMED
        return list(self.workers)[:limit]

    @property
    def cost_s(self) -> float:
        """How long the service takes to answer."""
        return self.policy.decide_s + self.policy.each_s * len(self.named)

    def split(self, routes: int) -> list['PermitCall']:
        """Return the calls that name the workers over some free routes.

        Workers that are named together are spread evenly over as few routes as
        name no more than ``MAX_NAMED`` each, others take one route.
        """
        if not self.together:
            return [self]
        names = list(self.workers)[: routes * _MAX_NAMED_TOGETHER]
        count = min(routes, math.ceil(len(names) / MAX_NAMED))
        size = math.ceil(len(names) / max(count, 1))
        return [
            msgspec.structs.replace(
                self,
                workers={
                    name: self.workers[name]
                    for name in names[start : start + size]
                },
            )
            for start in range(0, len(names), max(size, 1))
        ]


class PermitCache:
    """Permits of all steps; calls the permit service over the routes."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        permit_routes: Callable[[], dict[str, PermitRoute]],
        on_answer: Callable[[], None],
    ) -> None:
        """Call over the permit routes; ``''`` names the owner's own one."""
        self._nursery = nursery
        self._permit_routes = permit_routes
        self._on_answer = on_answer
        self._steps: dict[StepName, StepPermits] = {}
        self._busy: set[str] = set()
        self._avoided_until: dict[str, float] = {}
        self._avoided_s: dict[str, float] = {}
        self._calls: list[PermitCall] = []
        self._keep_own_short = False

    def of(self, step: StepName) -> StepPermits:
        """Return the permit decisions known for a step."""
        known = self._steps.get(step)
        if known is None:
            known = StepPermits()
            self._steps[step] = known
        return known

    def free_permit_routes(self) -> int:
        """Return how many calls can be made now."""
        return len(self._permit_routes()) - len(self._busy)

    def forget(self, step: StepName) -> None:
        """Drop the permit decisions of a step that has ended."""
        self._steps.pop(step, None)

    def note_start_refused(
        self, step: StepName, refused: Placement, *, permit_void: bool
    ) -> None:
        """Hold up a step's starts; a void permit is requested anew."""
        known = self._steps.get(step)
        if known is None:
            return
        known.backoff.note_refused(
            refused.worker,
            incarnation=refused.incarnation,
            now=trio.current_time(),
        )
        if permit_void:
            known.permitted.pop(refused.worker, None)

    def note_started(self, step: StepName, started: Placement) -> None:
        """Let a step's starts go on at full speed."""
        known = self._steps.get(step)
        if known is not None:
            known.backoff.note_started(
                started.worker, incarnation=started.incarnation
            )

    def replace_calls(
        self, calls: list[PermitCall], *, keep_own_short: bool
    ) -> None:
        """Replace the waiting calls by a new round's, most urgent first."""
        self._calls = calls
        self._keep_own_short = keep_own_short
        self._start_calls()

    def record_answer(
        self, call: PermitCall, answer: Permits | None, *, now: float
    ) -> None:
        """Record the answer to a call; ``None`` if there was none."""
        known = self.of(call.step)
        known.calls_pending = max(known.calls_pending - 1, 0)
        if answer is None:
            known.not_before = now + _RETRY_PAUSE_S
            return
        known.fresh_until = now + answer.valid_s
        known.update(
            answer,
            asked={worker: call.workers[worker] for worker in call.named},
            now=now,
        )

    def _start_calls(self) -> None:
        permit_routes = self._permit_routes()
        now = trio.current_time()
        calls = [
            call for call in self._calls if self.of(call.step).may_call(now)
        ]
        calls.sort(key=lambda one: one.ahead)
        usable = self._usable_routes(permit_routes, now)
        for number, call in enumerate(calls):
            known = self.of(call.step)
            free = self._free_routes(usable, call)
            if not free:
                continue
            if call.ahead and len(permit_routes) - len(self._busy) <= 1:
                return
            most = _routes_for_call(
                free=len(free),
                calls=len(calls) - number,
                all_routes=len(permit_routes),
            )
            for part, route_name in zip(call.split(most), free, strict=False):
                known.calls_pending += 1
                self._busy.add(route_name)
                self._nursery.start_soon(
                    self._ask, part, route_name, permit_routes[route_name]
                )

    def _usable_routes(
        self, permit_routes: dict[str, PermitRoute], now: float
    ) -> list[str]:
        """Return the routes that answer, or all if none does, in order."""
        answering = [
            route_name
            for route_name in permit_routes
            if now >= self._avoided_until.get(route_name, now)
        ]
        return sorted(answering or permit_routes)

    def _free_routes(self, usable: list[str], call: PermitCall) -> list[str]:
        """Return the free routes for a call, in the order of preference."""
        found = usable
        if call.cost_s > SHORT_CALL_S and self._keep_own_short:
            found = [route_name for route_name in found if route_name] or found
        return [route for route in found if route not in self._busy]

    def _record_route(
        self, route_name: str, answer: Permits | None, now: float
    ) -> None:
        """Record whether a route answered, so that silent ones are avoided."""
        if answer is not None:
            self._avoided_until.pop(route_name, None)
            self._avoided_s.pop(route_name, None)
            return
        avoid_s = self._avoided_s.get(route_name, _AVOID_ROUTE_S)
        self._avoided_until[route_name] = now + avoid_s
        self._avoided_s[route_name] = min(2 * avoid_s, _MAX_AVOID_ROUTE_S)
        _log.warning(
            'permit route gave no answer lane=%s avoided_s=%g',
            route_name or 'own',
            avoid_s,
        )

    async def _ask(
        self, call: PermitCall, route_name: str, route: PermitRoute
    ) -> None:
        asked_at = trio.current_time()
        named = call.named
        try:
            answer = await route(call.step, named, call.cost_s + _CALL_SLACK_S)
        finally:
            self._busy.discard(route_name)
        self._record_route(route_name, answer, trio.current_time())
        _log.info(
            'permits step=%s lane=%s named=%d good=%s after_ms=%d',
            call.step,
            route_name or 'own',
            len(named),
            len(answer.granted) if answer else 'none',
            int((trio.current_time() - asked_at) * 1000),
        )
        self.record_answer(call, answer, now=trio.current_time())
        self._on_answer()


def _routes_for_call(*, free: int, calls: int, all_routes: int) -> int:
    """Return how many of the free routes the next of some calls may take.

    Each call gets its share, so that a gang names more workers in one call
    where routes are scarce, and half of all routes stay free for later calls.
    """
    return min(math.ceil(free / calls), math.ceil(all_routes / 2))
