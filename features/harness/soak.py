"""A seeded series of overlapping disruptions of a job cell, and its judge."""

import random

import trio

from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.accounts import AccountName, ClientAccount
from cyclamentrack.jobs.model import Job, JobState, QueueName
from cyclamentrack.jobs.service import RequestOutcome
from cyclamentrack.resources import Resources
from features.harness.cap_watch import CapWatch
from features.harness.jobworld import POOL, JobWorld, make_queue, make_step

_ANNEX = PoolName('annex')
_NODES = 3
_WORKERS = 8
_ANNEX_WORKERS = 3
_UNUSABLE = 70
_ACCOUNT = AccountName('acme')
# The largest gang has 16 cores.
_CAPS_CORES = (16, 24, 40)
_FIRST_ANNEX = 50
_TRAFFIC_S = 40.0
_QUIET_S = 40.0
_TICK_S = 0.2
_DISRUPTION_S = 1.5
_JOB_CHANCE = 0.5
_REPEAT_CHANCE = 0.1
_CANCEL_CHANCE = 0.03
_ATTEMPTS = 30
_PERMIT_S = 0.02
# Callers may ask for 120 s for the state of a job that has ended.
_STATUS_S = 119.0


class Soak:
    """Plays one seed; ``problems`` is what callers or workers saw go wrong.

    A job may be shown as failed if crashes may have made it so, since two
    crashed workers are enough to give a job up.
    """

    def __init__(self, *, seed):
        self.problems = []
        self.played = []
        self._random = random.Random(seed)
        # Permits delay starts, which hides some faults.
        self._permits = _PERMIT_S if seed % 2 == 0 else None
        self._world = JobWorld(seed=seed)
        self._watch = CapWatch(self._world)
        # Its own generator, so that the disruptions of a seed stay the same.
        self._accounts = random.Random(f'accounts/{seed}')
        self._jobs = {}
        self._accepted_at = {}
        self._cancelled = set()
        self._undo = []
        self._clock = 0.0
        self._down = set()

    def play(self):
        """Disturb the cell while jobs come; judge it after a quiet time."""
        self._start()
        next_disruption = _DISRUPTION_S
        while self._clock < _TRAFFIC_S:
            self._submit_some()
            if self._clock >= next_disruption:
                next_disruption += self._random.uniform(0.2, 2 * _DISRUPTION_S)
                self._disrupt()
            self._advance(_TICK_S)
        while self._undo:
            self._advance(_TICK_S)
        self._advance(_QUIET_S)
        self._judge()
        self._world.close()
        return self.problems

    def _start(self):
        world = self._world
        self._configure(POOL)
        for number in range(_WORKERS):
            world.add_worker(number)
        for number in range(_FIRST_ANNEX, _FIRST_ANNEX + _ANNEX_WORKERS):
            world.add_worker(number, pool=_ANNEX)
        for number in range(_NODES):
            world.start_node(f'n{number}')
        world.loop.sleep(4)

    def _configure(self, pool):
        queue = make_queue(
            'lookups', permits=self._permits, attempts=_ATTEMPTS, pool=pool
        )
        self._world.configure(
            queue,
            make_queue('other'),
            pools=(POOL, _ANNEX),
            accounts=self._next_accounts(),
        )

    def _next_accounts(self):
        """Return an account whose cap has changed."""
        cores = self._accounts.choice(_CAPS_CORES)
        cap = Resources(milli_cores=1000 * cores, memory_mib=0)
        return (ClientAccount(name=_ACCOUNT, cap=cap),)

    def _advance(self, seconds):
        self._world.loop.sleep(seconds)
        self._clock += seconds
        due = [one for one in self._undo if one[0] <= self._clock]
        self._undo = [one for one in self._undo if one[0] > self._clock]
        for _, undo in due:
            undo()

    def _after(self, seconds, undo):
        self._undo.append((self._clock + seconds, undo))

    def _submit_some(self):
        chance = self._random.random()
        if chance < _JOB_CHANCE:
            self._submit()
        elif self._jobs and chance < _JOB_CHANCE + _REPEAT_CHANCE:
            self._repeat(self._random.choice(list(self._jobs)))
        elif self._jobs and chance > 1 - _CANCEL_CHANCE:
            self._cancel(self._random.choice(list(self._jobs)))

    def _submit(self):
        node = self._any_node()
        if node is None:
            return
        count = self._random.randint(1, 6)
        kind = self._random.choice(['plain', 'plain', 'steps', 'gang', 'small'])
        match kind:
            case 'steps':
                steps = [make_step(count), make_step(count, after=(0,))]
            case 'gang':
                steps = [make_step(min(count, 4), gang=True, cores=4)]
            case 'small':
                steps = [make_step(40, cores=0.02)]
            case _:
                steps = [make_step(count, cores=self._random.uniform(0.5, 6))]
        work_s = self._random.choice([0.3, 0.6, 1.5, 3.0])
        account = self._accounts.choice(['', _ACCOUNT])
        pool = self._accounts.choice([POOL, _ANNEX]) if account else POOL
        job, outcome = self._world.submit(
            *steps, node=node, work_s=work_s, account=account, pool=pool
        )
        if outcome is RequestOutcome.STORED:
            self._jobs[job] = tuple(steps)
            self._accepted_at[job] = self._now()

    def _repeat(self, job):
        """Send an accepted request again, as the route of now has it."""
        node = self._any_node()
        queue = self._world.queues.get('lookups')
        if node is None or queue is None:
            return
        service = self._world.services[node]

        async def send():
            again = Job(
                id=job,
                queue=QueueName('lookups'),
                pool=queue.pool,
                payload='x',
                steps=self._jobs[job],
                accepted_at_s=trio.current_time(),
                account=self._world.account_of[job],
            )
            return await service.submit(again, caller_timeout_s=3.0)

        self._world.loop.run(send)

    def _cancel(self, job):
        if 'lookups' in self._world.queues and self._any_node():
            self._cancelled.add(job)
            self._world.cancel(job)

    def _now(self):
        return self._world.loop.run(self._world.now)

    def _any_node(self):
        names = sorted(self._world.services)
        return self._random.choice(names) if names else None

    def _disrupt(self):
        kinds = [
            self._lose_power,
            self._lose_power,
            self._cut_off,
            self._fail_all,
            self._slow_down,
            self._kill_owner,
            self._move_queue,
            self._add_unusable,
            self._lose_store,
            self._lose_replies,
            self._delay_starts,
        ]
        kind = self._random.choice(kinds)
        self.played.append((round(self._clock, 1), kind.__name__))
        kind(self._random.uniform(0.3, 3.0))

    def _pick_worker(self):
        free = sorted(set(range(_WORKERS)) - self._down)
        if not free:
            return None
        number = self._random.choice(free)
        self._down.add(number)
        return number

    def _worker(self, number):
        return self._world.workers.workers[f'w{number}']

    def _lose_power(self, seconds):
        number = self._pick_worker()
        if number is None:
            return
        self._worker(number).lose_power()

        def begin_again():
            worker = self._worker(number)
            worker.unreachable = False
            self._world.add_worker(number, incarnation=worker.entry.incarnation)
            self._down.discard(number)

        self._after(seconds, begin_again)

    def _set_for(self, seconds, name, value, usual):
        number = self._pick_worker()
        if number is None:
            return
        setattr(self._worker(number), name, value)

        def reset():
            setattr(self._worker(number), name, usual)
            self._down.discard(number)

        self._after(seconds, reset)

    def _cut_off(self, seconds):
        self._set_for(3 * seconds, 'unreachable', value=True, usual=False)

    def _fail_all(self, seconds):
        self._set_for(seconds, 'fails_all', value=True, usual=False)

    def _slow_down(self, seconds):
        self._set_for(2 * seconds, 'slowness', value=5.0, usual=1.0)

    def _delay_starts(self, seconds):
        del seconds
        number = self._random.randrange(_WORKERS)
        self._worker(number).delayed_starts = 3

    def _kill_owner(self, seconds):
        world = self._world
        name = world.owner()
        if name is None or len(world.cells) == 1:
            return
        world.kill_node(name)
        self._after(seconds, lambda: world.start_node(name))

    def _move_queue(self, seconds):
        """Take the queue out, and add it again with one of the pools."""
        self._world.configure(
            make_queue('other'),
            pools=(POOL, _ANNEX),
            accounts=self._next_accounts(),
        )
        pool = self._random.choice([POOL, _ANNEX])
        self._after(seconds, lambda: self._configure(pool))

    def _add_unusable(self, seconds):
        world = self._world
        world.add_worker(_UNUSABLE).unusable = True
        self._after(seconds, lambda: world.drop_worker_entry(_UNUSABLE))

    def _lose_store(self, seconds):
        rows = self._world.rows
        rows.down = True

        def restore():
            rows.down = False

        self._after(seconds, restore)

    def _lose_replies(self, seconds):
        rows = self._world.rows
        rows.lost_replies += int(3 * seconds)
        rows.delayed_writes += int(seconds)

    def _judge(self):
        world = self._world
        self.problems.extend(world.workers.violations)
        self.problems.extend(self._watch.problems)
        self._configure(POOL)
        world.loop.sleep(2)
        since = self._now() - _STATUS_S
        for job in self._jobs:
            if self._accepted_at[job] < since:
                continue
            state = world.state(job)
            expected = {JobState.COMPLETED, JobState.FAILED}
            if job in self._cancelled:
                expected.add(JobState.CANCELLED)
            if state not in expected:
                self.problems.append(f'{job} is shown as {state}')
