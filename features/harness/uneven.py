"""A load of many accounts on one pool, on a virtual clock without a network.

It plays what was measured on a heavy day: lookups and batch jobs of 20 accounts
in a pool that they use to three quarters. Some accounts send several times
their usual for ten seconds, lookups double for four of these, and for a while
the store records no starts. Callers count by what they got.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.admission import PoolFigures, refusal, retry_after_s
from cyclamentrack.jobs.backlog import Backlog
from cyclamentrack.jobs.capacity_index import total
from cyclamentrack.jobs.critical_path import compute_critical_path
from cyclamentrack.jobs.fair_share import AccountRates
from cyclamentrack.jobs.model import Job, JobId, Queue, Step
from cyclamentrack.jobs.permits import PermitCache, PermitCall
from cyclamentrack.jobs.registry import Placement, TaskRun
from cyclamentrack.resources import Resources
from features.harness.fullpool import POOL, FullPool, Kind, make_kind

_FULL_WORKERS = 128
_PERMIT_ROUTES = 20
_DAY_S = 30.0
# Jobs that haven't ended this long after the last arrival count as worthless.
_AFTER_S = 15.0
_LATE_FACTOR = 3.0
_LATE_VALUE = 0.2
_MIB_PER_CORE = 2900
_MAX_ATTEMPTS = 5
# Share of the usual load that all bursting accounts send together.
_LARGE_SHARE = 0.4
_WEIGHT_FACTOR = 1.5
_RENEW_S = 0.5
_FIGURES_AGE_S = 2.0
_SPEEDS = (1.0, 1.1, 1.2, 1.3)

LOOKUPS = make_kind(
    'lookups', priority=0, decide_s=0.022, weight=19,
    width=10, cores=2.7, work_s=0.56, permitted_share=0.7,
)  # fmt: skip
BATCH = make_kind(
    'batch', priority=2, decide_s=0.25, target_s=3.0, weight=1.5,
    width=22, cores=4.5, work_s=4.5, permitted_share=0.45,
)  # fmt: skip
# Steps of a job: half of the lookups have two.
_STEPS = {LOOKUPS.queue.name: (1, 2), BATCH.queue.name: (2, 2)}
_WRONG_BY = {LOOKUPS.queue.name: 0.3, BATCH.queue.name: 0.9}


class UnevenLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What callers send.

    ``scale`` is the size of the pool and of the load, 1 for 128 workers. The
    first ``bursting`` accounts send ``times`` their usual from second 7 to 17.
    """

    scale: float = 0.25
    accounts: int = 20
    bursting: int = 4
    times: float = 6.0
    outages: tuple[tuple[float, float], ...] = ((13.0, 14.0), (18.0, 22.0))
    doubled: tuple[float, float] = (8.7, 12.7)
    burst: tuple[float, float] = (7.0, 17.0)
    seed: int = 1

    def usual(self, kind: Kind, account: int) -> float:
        """Return the jobs a second that an account usually sends of a kind.

        Bursting accounts are the larger ones: of 20, each of 4 sends a tenth.
        """
        share = _LARGE_SHARE / max(self.bursting, 1)
        if account >= self.bursting:
            large = _LARGE_SHARE if self.bursting else 0.0
            share = (1 - large) / (self.accounts - self.bursting)
        return kind.weight * self.scale * share

    def weight(self, account: int) -> float:
        """Return half more than what an account usually sends a second."""
        usual = sum(self.usual(kind, account) for kind in (LOOKUPS, BATCH))
        return _WEIGHT_FACTOR * usual

    def rate(self, kind: Kind, account: int, at_s: float) -> float:
        """Return the jobs a second that an account sends of a kind."""
        usual = self.usual(kind, account)
        if account < self.bursting and self.burst[0] <= at_s < self.burst[1]:
            usual *= self.times
        if kind is LOOKUPS and self.doubled[0] <= at_s < self.doubled[1]:
            usual *= 2
        return usual


class Request(msgspec.Struct, kw_only=True, eq=False):
    """One job as its caller sees it; times count from the first attempt."""

    job: Job
    queue: Queue
    account: int
    first_at: float
    objective_s: float
    work_s: tuple[float, ...]
    attempts: int = 0
    verdict: str = ''

    @property
    def verdict_if_worthless(self) -> str:
        """What the caller got if the job is worth nothing to it."""
        return 'refused' if self.attempts > 1 else 'worthless'

    def finish(self, now: float) -> None:
        """Note when the job ended."""
        took_s = now - self.first_at
        if took_s <= self.objective_s:
            self.verdict = 'in time'
        elif took_s <= _LATE_FACTOR * self.objective_s:
            self.verdict = 'late'
        else:
            self.verdict = self.verdict_if_worthless


def value(verdicts: Counter) -> float:
    """Return the share of the value that callers got of what they wanted."""
    got = verdicts['in time'] + _LATE_VALUE * verdicts['late']
    return got / max(verdicts.total(), 1)


class UnevenDay(FullPool):
    """Plays a load with accounts and records what each caller got."""

    def __init__(
        self,
        load: UnevenLoad,
        *,
        weight: Callable[[int], float] | None = None,
        admission: bool = False,
    ) -> None:
        """Start an empty pool; ``weight`` is by number of the account.

        Without ``admission`` every job is accepted.
        """
        self._admission = admission
        self._figures: PoolFigures | None = None
        self._published_at = 0.0
        self.refusals: Counter[str] = Counter()
        self.errors_s: list[float] = []
        self._load = load
        self._began_at = 100.0
        self._draws = random.Random(load.seed)
        self._arrivals: list[tuple[float, int, Request]] = []
        self._answers: list[tuple[float, int, PermitCall]] = []
        self.requests: list[Request] = []
        self.by_job: dict[JobId, Request] = {}
        self.waits: list[tuple[Request, float]] = []
        self.rates = AccountRates(weight=self.account_weight)
        self._weight = weight
        super().__init__(
            workers=int(_FULL_WORKERS * load.scale),
            jobs=0,
            kinds=(LOOKUPS, BATCH),
            account_weight=self.account_weight,
            round_s=0.04,
            seed=load.seed,
        )
        self.backlog = Backlog(registry=self.registry)
        self._routes = max(int(_PERMIT_ROUTES * load.scale), 2)
        self._draw_arrivals()

    @property
    def _recording(self) -> bool:
        """Whether the store answers, so that starts may be decided."""
        return not any(
            since <= self.at_s < until for since, until in self._load.outages
        )

    @property
    def at_s(self) -> float:
        """Seconds since the day began."""
        return self.now - self._began_at

    def make_permits(self) -> PermitCache:
        """Return a cache whose free routes are those without a call."""
        return PermitCache(
            nursery=None,
            permit_routes=lambda: dict.fromkeys(
                range(self._routes - len(self._answers))
            ),
            on_answer=lambda: None,
        )

    def account_weight(self, name: AccountName) -> float | None:
        """Return an account's weight, ``None`` if there are no accounts."""
        return None if self._weight is None else self._weight(int(name[1:]))

    def play_day(self) -> None:
        """Play until the last job's caller has lost interest."""
        while self.at_s < _DAY_S + _AFTER_S:
            self.advance()
            if self._recording:
                self._publish()
                self.decide()
        for request in self.requests:
            request.verdict = request.verdict or request.verdict_if_worthless

    def verdicts(self, chosen: Callable[[Request], bool]) -> Counter:
        """Count what the callers of some requests got."""
        return Counter(one.verdict for one in self.requests if chosen(one))

    def sends_usual(self, request: Request) -> bool:
        """Return whether a request is one of an account without a burst."""
        return request.account >= self._load.bursting

    def account_values(self) -> list[float]:
        """Return for each account the share of its value that it got."""
        verdicts = [Counter() for _ in range(self._load.accounts)]
        for request in self.requests:
            verdicts[request.account][request.verdict] += 1
        return [value(one) for one in verdicts]

    def answer_permits(self, requests: list) -> None:
        """Start calls over the free routes, most urgent first."""
        for request in requests:
            if len(self._answers) >= self._routes:
                return
            known = self.permits.of(request.step.name)
            if not known.may_call(self.now):
                continue
            known.calls_pending += 1
            call = self.call_for(request)
            heapq.heappush(
                self._answers,
                (self.now + call.cost_s, self._draws.getrandbits(40), call),
            )

    def submit_due(self) -> None:
        """Submit what arrives, and answer the permit calls that are due."""
        while self._answers and self._answers[0][0] <= self.now:
            self._finish_call(heapq.heappop(self._answers)[-1])
        while self._arrivals and self._arrivals[0][0] <= self.now:
            self._submit_request(heapq.heappop(self._arrivals)[-1])

    def work_s(self, placement: Placement) -> float:
        """Return how long a run takes on its worker."""
        worker = int(placement.worker[1:])
        task = placement.task
        true_s = self.by_job[task.job].work_s[task.step]
        return true_s * _SPEEDS[worker // len(_SPEEDS) % len(_SPEEDS)]

    def task_started(self, task: TaskRun) -> None:
        """Count the start towards the rate, and the error of its job."""
        entry = self.registry.jobs[task.name.job]
        step = entry.job.steps[task.name.step]
        error_s = self.backlog.note_start(entry, step, self.now)
        if error_s is not None:
            self.errors_s.append(error_s)

    def job_ended(self, job: JobId) -> None:
        """Tell the job's caller."""
        self.by_job[job].finish(self.now)
        self.backlog.forget(job)

    def _finish_call(self, call: PermitCall) -> None:
        entry = self.registry.jobs.get(call.step.job)
        if entry is not None and call.step in self.registry.open_steps:
            self.record_call(call, entry.queue)

    def _submit_request(self, request: Request) -> None:
        request.attempts += 1
        current = self.now - self._published_at <= _FIGURES_AGE_S
        figures = self._figures if self._admission and current else None
        why = refusal(request.job, figures)
        if why is not None:
            self.refusals[why.value] += 1
            self._refuse(request)
            return
        entry = self.registry.admit(
            job=request.job, queue=request.queue, now=self.now
        )
        entry.within_rate = self.rates.admit(
            request.job.account, arrived_at=self.now
        )
        self.backlog.note_arrival(entry)
        self.registry.open_due_steps(entry, now=self.now, wall_s=self.now)

    def _refuse(self, request: Request) -> None:
        if request.attempts >= _MAX_ATTEMPTS:
            request.verdict = 'refused'
            return
        again_at = self.now + retry_after_s(request.job.id, self._figures)
        heapq.heappush(
            self._arrivals, (again_at, self._draws.getrandbits(40), request)
        )

    def _publish(self) -> None:
        """Publish the owner's figures as often as it renews its lease."""
        if self.now < self._published_at + _RENEW_S:
            return
        self._published_at = self.now
        workers = self.fleet.workers.values()
        self._figures = self.backlog.figures(
            self.now,
            whole=total(one.entry.capacity for one in workers),
            used=total(one.used for one in workers),
            far_beyond=self.rates.far_beyond(self.now),
        )

    def _draw_arrivals(self) -> None:
        step_s = 0.1
        for tick in range(int(_DAY_S / step_s)):
            at_s = tick * step_s
            for kind in (LOOKUPS, BATCH):
                for account in range(self._load.accounts):
                    rate = self._load.rate(kind, account, at_s)
                    expected = rate * step_s
                    while self._draws.random() < expected:
                        self._draw_request(kind, account, at_s)
                        expected -= 1
        heapq.heapify(self._arrivals)

    def _draw_request(self, kind: Kind, account: int, at_s: float) -> None:
        draw = self._draws
        name = kind.queue.name
        true_s = []
        steps = []
        for number in range(draw.randint(*_STEPS[name])):
            work_s = kind.work_s * draw.uniform(0.5, 1.5)
            wrong = 1 + draw.uniform(0, _WRONG_BY[name])
            true_s.append(work_s)
            milli_cores = int(kind.cores * draw.uniform(0.5, 1.5) * 1000)
            steps.append(
                Step(
                    count=max(round(kind.width * draw.uniform(0.3, 1.7)), 1),
                    need=Resources(
                        milli_cores=milli_cores,
                        memory_mib=milli_cores * _MIB_PER_CORE // 1000,
                    ),
                    estimate_s=work_s * draw.choice((wrong, 1 / wrong)),
                    after=(number - 1,) if number else (),
                )
            )
        job = Job(
            id=JobId(f'{len(self.requests):016x}'),
            queue=name,
            pool=POOL,
            payload='',
            steps=tuple(steps),
            accepted_at_s=0,
            terms=kind.queue,
            account=AccountName(f'a{account}'),
        )
        path = compute_critical_path(
            job,
            permits=kind.queue.permits,
            capacity=self.fleet.task_capacity,
            task_s=true_s,
        )
        first_at = self._began_at + at_s + draw.uniform(0, 0.1)
        request = Request(
            job=job,
            queue=kind.queue,
            account=account,
            first_at=first_at,
            objective_s=kind.queue.target_s + kind.queue.stretch * path.total_s,
            work_s=tuple(true_s),
        )
        self.by_job[job.id] = request
        self.requests.append(request)
        self._arrivals.append((first_at, len(self.requests), request))
