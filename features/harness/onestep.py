"""One waiting step beside workers that it can't use, without a network.

All permits of the step were granted before and have expired, and it has waited
long enough to be neglected. Permit calls are answered in the next round.
"""

import random

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import (
    Job,
    JobId,
    PermitPolicy,
    Queue,
    QueueName,
    Step,
    StepName,
    TaskName,
)
from cyclamentrack.jobs.ports import Permits
from cyclamentrack.jobs.registry import Placement, StepRun
from features.harness.fullpool import POOL, FullPool
from features.harness.jobworld import make_step

_JOB = JobId('00000000000000aa')
_OTHERS = JobId('00000000000000bb')
_OVERDUE = JobId('00000000000000cc')
_PERMIT_S = 2.0
_WAITED_S = 2.0
_ROUND_S = 0.1
_LONG_S = 60.0
_ESTIMATE_S = 0.5
_QUEUE = Queue(
    name=QueueName('blocks'),
    host='h',
    path_prefix='/blocks/',
    pool=POOL,
    priority=1,
    max_attempts=3,
    stretch=2.2,
    target_s=2.5,
    permits=PermitPolicy(decide_s=0.2, each_s=0.01, valid_s=_PERMIT_S),
)


class OneStepPool(FullPool):
    """A pool with one step, some tasks of which may be placed already."""

    def __init__(self, *, workers: int, step: Step) -> None:
        """Submit a job of one step whose permits have expired."""
        super().__init__(workers=workers, jobs=0, round_s=_ROUND_S)
        self.worker_list = list(self.fleet.workers.values())
        for worker in self.worker_list:
            capacity = msgspec.structs.replace(
                worker.entry.capacity, milli_cores=16000, memory_mib=65536
            )
            worker.entry = msgspec.structs.replace(
                worker.entry, capacity=capacity
            )
        self._others = 0
        self.step = self._submit_step(_JOB, step)
        self.now += _WAITED_S
        self._grant(worker.entry.id for worker in self.worker_list)
        self.now += 2 * _PERMIT_S

    def put_at_limit(self, number):
        """Let a worker run as many tasks of the step as it may."""
        worker = self.worker_list[number]
        for task in self.step.idle[: self.step.step.max_per_worker]:
            worker.charge_run(task=task.name, run=1, step=self.step.step)
            self._place(task, worker.entry.id, 'p')

    def quarantine(self, number):
        """Quarantine a worker for longer than any quarantine lasts."""
        self.worker_list[number].quarantined_until = self.now + _LONG_S
        self.worker_list[number].probing = True

    def probe(self, number):
        """Let a worker be probed, and the step have one attempt left."""
        self.worker_list[number].probing = True
        self.worker_list[number].quarantined_until = self.now
        for task in self.step.tasks:
            task.failures = _QUEUE.max_attempts - 1

    def refuse_starts(self, number):
        """Let a worker refuse starts of the step each second."""
        worker = self.worker_list[number]
        known = self.permits.of(self.step.name)
        known.backoff.note_refused(worker.entry.id, incarnation=1, now=self.now)

    def fill(self, number):
        """Let a run that doesn't end take all processors of a worker."""
        worker = self.worker_list[number]
        self._others += 1
        task = TaskName(_OTHERS, 0, 0, self._others)
        work = make_step(cores=16, lasting=True)
        worker.charge_run(task=task, run=1, step=work)

    def run_overdue(self, number):
        """Let a run fill a worker that lasts longer than was estimated."""
        work = make_step(cores=16, estimate=_ESTIMATE_S)
        run = self._submit_step(_OVERDUE, work)
        worker = self.worker_list[number]
        worker.charge_run(task=run.tasks[0].name, run=1, step=work)
        self._place(run.tasks[0], worker.entry.id, 'p')
        self.placed -= 1

    def release(self, number):
        """End all runs of other jobs on a worker."""
        worker = self.worker_list[number]
        for task, run in list(worker.charges):
            worker.release(task=task, run=run)

    def leave_sound(self, number):
        """Leave a worker as it is."""

    def work_s(self, placement: Placement) -> float:
        """Return how long a run takes."""
        del placement
        return _LONG_S

    def record_call(self, call, queue) -> None:
        """Grant all permits that a call asks for."""
        del queue
        self._grant(call.named)

    def _submit_step(self, name: JobId, step: Step) -> StepRun:
        job = Job(
            id=name,
            queue=_QUEUE.name,
            pool=POOL,
            payload='',
            steps=(step,),
            accepted_at_s=self.now,
        )
        entry = self.registry.admit(job=job, queue=_QUEUE, now=self.now)
        self.registry.open_due_steps(entry, now=self.now, wall_s=self.now)
        return self.registry.open_steps[StepName(name, 0, 0)]

    def _grant(self, names) -> None:
        granted = dict.fromkeys(names, 'p')
        self.permits.of(self.step.name).update(
            Permits(granted=granted, valid_s=_PERMIT_S),
            asked=dict.fromkeys(granted, 1),
            now=self.now,
        )
        self.permits.of(self.step.name).fresh_until = self.now + _PERMIT_S


CONDITIONS = {
    'at the limit of the step': OneStepPool.put_at_limit,
    'quarantined': OneStepPool.quarantine,
    'probed before the last attempt': OneStepPool.probe,
    'refusing starts': OneStepPool.refuse_starts,
    'full': OneStepPool.fill,
    'sound': OneStepPool.leave_sound,
}


def play_conditions(
    names: list[str], *, step: Step, seconds: float
) -> OneStepPool:
    """Play a pool whose workers have some conditions; return it afterwards."""
    pool = OneStepPool(workers=len(names), step=step)
    for number, name in enumerate(names):
        CONDITIONS[name](pool, number)
    before = pool.placed
    pool.play(round(seconds / _ROUND_S))
    pool.placed -= before
    return pool


def draw_conditions(draw: random.Random) -> tuple[list[str], Step]:
    """Draw the conditions of some workers, two of them sound, and a step."""
    lasting = draw.choice((False, True))
    others = [
        name
        for name in CONDITIONS
        if not (lasting and name == 'probed before the last attempt')
        and not (not lasting and name == 'at the limit of the step')
    ]
    names = ['sound', 'sound', *draw.choices(others, k=draw.randint(1, 6))]
    draw.shuffle(names)
    limit = draw.choice((1, 2))
    step = make_step(
        names.count('at the limit of the step') * limit + draw.randint(1, 2),
        cores=draw.choice((1, 5, 8)),
        lasting=lasting,
        max_per_worker=limit,
        estimate=draw.choice((0.5, 4.0)),
    )
    return names, step


def sound_workers(names: list[str]) -> set[WorkerId]:
    """Return the ids of the sound workers."""
    return {
        WorkerId(f'w{number:03}')
        for number, name in enumerate(names)
        if name == 'sound'
    }
