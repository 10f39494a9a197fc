"""Scheduling rounds over a full pool, without a network.

In each round some runs end, the dispatcher decides, and some permit requests
are answered. New jobs replace completed ones, so that the number of open jobs
stays the same.
"""

import heapq
import random

import msgspec

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.dispatch import Dispatcher
from cyclamentrack.jobs.fair_share import AccountWeight, no_weight
from cyclamentrack.jobs.fleet import Fleet
from cyclamentrack.jobs.model import (
    Job,
    JobId,
    JobState,
    PermitPolicy,
    Queue,
    QueueName,
    Step,
    StepName,
    WorkerEntry,
    WorkerState,
)
from cyclamentrack.jobs.permits import PermitCache, PermitCall
from cyclamentrack.jobs.ports import Permits
from cyclamentrack.jobs.registry import JobRegistry, Phase, Placement, TaskRun
from cyclamentrack.jobs.rounds import PermitRequest
from cyclamentrack.resources import Resources

POOL = PoolName('full')
_PERMIT_S = 2.0
_PER_RACK = 12
_LABELS = ('a', 'a', 'b')
_SIZES = (16, 16, 8, 32)
_MIB_PER_CORE = 4096
# Permit calls that the permit routes carry in one round.
_CALLS_PER_ROUND = 2


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of job: its queue and the shape of its only step.

    ``permitted_share`` is the share of workers that may run the job.
    """

    queue: Queue
    weight: float
    width: int
    cores: float
    work_s: float
    permitted_share: float
    gang: bool = False


def make_kind(
    name: str,
    *,
    priority: int,
    decide_s: float,
    target_s: float = 0.25,
    **shape,
) -> Kind:
    """Return a kind of job and its queue."""
    queue = Queue(
        name=QueueName(name),
        host='h',
        path_prefix=f'/{name}/',
        pool=POOL,
        priority=priority,
        stretch=1.5 if priority == 0 else 4.0,
        target_s=target_s,
        permits=PermitPolicy(
            decide_s=decide_s, each_s=decide_s / 70, valid_s=_PERMIT_S
        ),
    )
    return Kind(queue=queue, **shape)


LOOKUPS = make_kind(
    'lookups', priority=0, decide_s=0.022, weight=6,
    width=10, cores=2.7, work_s=0.7, permitted_share=0.7,
)  # fmt: skip
BATCH = make_kind(
    'batch', priority=2, decide_s=0.21, weight=3,
    width=22, cores=4.5, work_s=4.5, permitted_share=0.45,
)  # fmt: skip
GANGS = make_kind(
    'gangs', priority=1, decide_s=0.7, weight=1,
    width=4, cores=7.0, work_s=4.5, permitted_share=0.3, gang=True,
)  # fmt: skip


class FullPool:
    """A registry, a fleet and a dispatcher, in rounds of a fixed length."""

    def __init__(
        self,
        *,
        workers: int,
        jobs: int,
        kinds: tuple[Kind, ...] = (LOOKUPS, BATCH, GANGS),
        account_weight: AccountWeight = no_weight,
        round_s: float = 0.01,
        seed: int = 1,
    ) -> None:
        """Submit the jobs; nothing runs before the first round."""
        self._account_weight = account_weight
        self.now = 100.0
        self.max_starts = 1000
        self.requested: list[StepName] = []
        self.placed = 0
        self.ended = 0
        self.log: list[tuple[str, str]] = []
        self.registry = JobRegistry()
        self.fleet = Fleet()
        self.permits = self.make_permits()
        self.dispatcher = Dispatcher(
            registry=self.registry,
            fleet=self.fleet,
            permits=self.permits,
            urgent_queues=lambda: True,
            account_weight=self._account_weight,
        )
        self._chance = random.Random(seed)
        self._kinds = kinds
        self._round_s = round_s
        self._jobs = jobs
        self._submitted = 0
        self._ends: list[tuple[float, int, Placement]] = []
        for number in range(workers):
            self.fleet.update_entry(_entry(number))
        self.registry.update_pool_capacity(self.fleet.task_capacity)
        self.submit_due()

    @property
    def waiting_steps(self) -> int:
        """How many steps have a waiting task."""
        return sum(
            bool(step.idle) for step in self.registry.open_steps.values()
        )

    def advance(self) -> None:
        """Advance the time by one round and end the runs that are due."""
        self.now += self._round_s
        for worker in self.fleet.workers.values():
            worker.contacted = True
            worker.incarnation = worker.entry.incarnation
            worker.heard_at = self.now
        while self._ends and self._ends[0][0] <= self.now:
            self._end(heapq.heappop(self._ends)[-1])
        self.submit_due()

    def decide(self) -> int:
        """Run one round and return how many tasks it placed."""
        outcome = self.dispatcher.decide(self.now, max_starts=self.max_starts)
        self.requested = [
            request.step.name for request in outcome.permit_requests
        ]
        for assignment in outcome.assignments:
            self._place(
                assignment.task, assignment.worker.entry.id, assignment.permit
            )
        self.answer_permits(outcome.permit_requests)
        self.log.extend(
            (str(assignment.task.name), assignment.worker.entry.id)
            for assignment in outcome.assignments
        )
        self.log.extend(
            (
                str(request.step.name),
                ','.join(one.entry.id for one in request.workers),
            )
            for request in outcome.permit_requests
        )
        return len(outcome.assignments)

    def play(self, rounds: int) -> None:
        """Play some rounds."""
        for _ in range(rounds):
            self.advance()
            self.decide()

    def make_permits(self) -> PermitCache:
        """Return the permit cache with its routes."""
        return PermitCache(
            nursery=None,
            permit_routes=lambda: dict.fromkeys(('', 'peer')),
            on_answer=lambda: None,
        )

    def answer_permits(self, requests: list[PermitRequest]) -> None:
        """Answer a round's permit requests, most urgent first."""
        for request in requests[:_CALLS_PER_ROUND]:
            call = self.call_for(request)
            self.record_call(call, request.entry.queue)

    def submit_due(self) -> None:
        """Replace the jobs that have ended."""
        while len(self.registry.jobs) < self._jobs:
            self._submit()

    def _submit(self) -> None:
        weights = [kind.weight for kind in self._kinds]
        kind = self._chance.choices(self._kinds, weights)[0]
        self._submitted += 1
        spread = self._chance.uniform(0.5, 1.5)
        milli_cores = int(kind.cores * spread * 1000)
        step = Step(
            count=max(round(kind.width * self._chance.uniform(0.1, 2)), 1),
            need=Resources(
                milli_cores=milli_cores,
                memory_mib=int(milli_cores * 3.5),
            ),
            estimate_s=kind.work_s * self._chance.uniform(0.5, 1.5),
            gang=kind.gang,
        )
        job = Job(
            id=JobId(f'{self._submitted:016x}'),
            queue=kind.queue.name,
            pool=POOL,
            payload='',
            steps=(step,),
            accepted_at_s=self.now,
        )
        entry = self.registry.admit(job=job, queue=kind.queue, now=self.now)
        self.registry.open_due_steps(entry, now=self.now, wall_s=self.now)

    def _place(self, task: TaskRun, worker: WorkerId, permit: str) -> None:
        task.run += 1
        task.placement = Placement(
            task=task.name,
            run=task.run,
            worker=worker,
            incarnation=1,
            phase=Phase.RUNNING,
            since=self.now,
            confirmed_at=self.now,
            permit=permit,
        )
        self.placed += 1
        self.task_started(task)
        self.registry.jobs[task.name.job].started = True
        ends_at = self.now + self.work_s(task.placement)
        heapq.heappush(self._ends, (ends_at, self.placed, task.placement))

    def _end(self, placement: Placement) -> None:
        self.ended += 1
        name = placement.task
        self.fleet.workers[placement.worker].release(
            task=name, run=placement.run
        )
        task = self.registry.task(name)
        task.placement = None
        task.done = True
        step = self.registry.step_of(name)
        entry = self.registry.jobs[name.job]
        entry.idle_since = self.now
        if not step.done:
            return
        self.registry.open_steps.pop(step.name, None)
        self.permits.forget(step.name)
        self.registry.open_due_steps(entry, now=self.now, wall_s=self.now)
        if self.registry.all_done(entry):
            self.registry.close(
                entry, state=JobState.COMPLETED, wall_s=self.now
            )
            self.registry.drop(entry)
            self.job_ended(entry.job.id)

    def work_s(self, placement: Placement) -> float:
        """Return how long a run takes."""
        return self.registry.step_of(placement.task).step.estimate_s

    def task_started(self, task: TaskRun) -> None:
        """Note that a task has started."""

    def job_ended(self, job: JobId) -> None:
        """Note that a job has ended."""

    def call_for(self, request: PermitRequest) -> PermitCall:
        """Return the call that a permit request makes."""
        return PermitCall(
            step=request.step.name,
            policy=request.entry.queue.permits,
            workers={
                worker.entry.id: worker.incarnation
                for worker in request.workers
            },
            together=request.together,
        )

    def record_call(self, call: PermitCall, queue: Queue) -> None:
        """Answer a call by its queue's share of permitted workers."""
        kind = next(one for one in self._kinds if one.queue == queue)
        known = self.permits.of(call.step)
        granted = {
            name: 'p'
            for name in call.named
            if name in known.permitted
            or self._chance.random() < kind.permitted_share
        }
        answer = Permits(granted=granted, valid_s=_PERMIT_S)
        self.permits.record_answer(call, answer, now=self.now)


def _entry(number: int) -> WorkerEntry:
    cores = _SIZES[number % len(_SIZES)]
    return WorkerEntry(
        id=WorkerId(f'w{number:03}'),
        pool=POOL,
        address=f'w{number}:80',
        zone='z',
        capacity=Resources(
            milli_cores=cores * 1000, memory_mib=cores * _MIB_PER_CORE
        ),
        labels=(_LABELS[number % len(_LABELS)], f'r{number // _PER_RACK}'),
        state=WorkerState.READY,
        incarnation=1,
    )
