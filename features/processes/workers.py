"""Stand-ins of workers: what one lifetime runs, and the machine around it."""

import asyncio
import json
import time

from features.processes.bounds import (
    CAPACITY,
    GANG_TIMEOUT_S,
    HEARTBEAT_S,
    HOLD_MAX_MS,
)
from features.processes.http import Server, wait_for

_MISSED_HEARTBEATS = 3
_SETTLE_S = 0.02
_STOP_S = 0.5
_FAIL_S = 0.1
_MAX_ENDS = 500
# A worker's clock may be 2% slow.
_SLOWEST = 0.98


class Run:
    """One run of a task; it ends as ``how`` at ``ends_at``."""

    def __init__(self, task, number, spec):
        job, _, step, _ = task.split('.')
        plans = json.loads(spec)['steps']
        plan = plans[int(step) % len(plans)]
        self.task = task
        self.job = job
        self.number = number
        self.began_at = time.monotonic()
        self.work_s = plan['work_s']
        self.cpu = plan['cpu']
        self.gang = plan.get('gang', 0)
        self.stop_at = float('inf')
        self.ends_at = self.began_at + self.work_s
        self.how = 'failed' if number <= plan.get('failures', 0) else 'done'

    @property
    def due_at(self):
        return min(self.ends_at, self.stop_at)

    def fail_soon(self):
        self.ends_at = self.began_at + _FAIL_S
        self.how = 'failed'

    def row(self):
        worked = (time.monotonic() - self.began_at) / self.work_s
        return [self.task, self.number, '', min(99, int(100 * worked)), 0]


class Gangs:
    """Lets the members of a gang work once all of them are there."""

    def __init__(self):
        self._members = {}

    def join(self, life, run):
        run.ends_at = run.began_at + GANG_TIMEOUT_S
        planned = run.how
        run.how = 'alone'
        members = self._members.setdefault(_gang(run), [])
        members.append((life, run))
        if len(members) < run.gang:
            return
        for _, member in members:
            member.ends_at = time.monotonic() + run.work_s
            member.how = planned

    def leave(self, run):
        """End the others, since a member has ended without success."""
        for life, member in self._members.pop(_gang(run), []):
            if life.runs.get(member.task) is member:
                life.end(member, 'broken', time.monotonic())


def _gang(run):
    return run.task.rpartition('.')[0], run.number


class Life:
    """What one lifetime of a worker holds; all of it is lost with its power."""

    def __init__(self, name, pool, rate, judge, gangs):
        self.name = name
        self.worker = name.partition('/')[0]
        self.pool = pool
        self.up = True
        self.token = 0
        self.runs = {}
        self.barred = {}
        self.ends = []
        self.lapsed_at = 0.0
        self.born = int(time.time() * 1000)
        self.ended = asyncio.Event()
        self._judge = judge
        self._gangs = gangs
        self._rate = rate
        self._started_at = time.monotonic()
        self._deadline_ms = 0
        self._ended_at = {}
        self._acknowledged = 0

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._started_at) * 1000 * self._rate)

    def settle(self):
        """End what is over by now, whenever this is called."""
        now = time.monotonic()
        lapse_at = self._started_at + self._deadline_ms / 1000 / self._rate
        for run in list(self.runs.values()):
            if lapse_at < min(run.due_at, now):
                self.end(run, 'lapsed', lapse_at)
            elif run.due_at <= now:
                how = 'stopped' if run.stop_at < run.ends_at else run.how
                self.end(run, how, run.due_at)
        if lapse_at < now:
            self.lapsed_at = max(self.lapsed_at, lapse_at)

    def extend(self, deadline_ms):
        longest = self.clock_ms + HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest))

    def begin(self, run, caller):
        self.runs[run.task] = run
        if run.gang:
            self._gangs.join(self, run)
        self._judge.begins(self, run, caller)

    def end(self, run, how, at):
        if self.runs.pop(run.task, None) is None:
            return
        self._bar(run.task, run.number)
        number = len(self._ended_at) + 1
        self._ended_at[number] = at
        self.ends.append([number, run.task, run.number, how, ''])
        self._judge.ends(self, run, how, at)
        if run.gang and how != 'done':
            self._gangs.leave(run)
        self.ended.set()

    def stop(self, task, number):
        run = self.runs.get(task)
        if run is None or run.number != number:
            self._bar(task, number)
            return
        run.stop_at = min(run.stop_at, time.monotonic() + _STOP_S)

    def is_barred(self, task, number):
        return task in self.runs or number <= self.barred.get(task, 0)

    def acknowledge(self, cursor):
        """Forget ends; an end before a lapse of the lease isn't noted."""
        for number, task, run, how, _ in self.ends:
            at = self._ended_at[number]
            if self._acknowledged < number <= cursor and self.lapsed_at <= at:
                self._judge.noted(task, run, how, at)
        self._acknowledged = max(self._acknowledged, cursor)
        self.ends = [end for end in self.ends if end[0] > cursor]

    def lose_power(self):
        self.settle()
        self.up = False
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            self._judge.ends(self, run, 'lost', time.monotonic())
            if run.gang:
                self._gangs.leave(run)

    def _bar(self, task, number):
        self.barred[task] = max(self.barred.get(task, 0), number)


class Worker:
    """A machine with a worker; ``name`` stays through all its lifetimes."""

    def __init__(self, name, pool, cell, rate=1.0):
        self.name = name
        self.pool = pool
        self.id = f'i-{name}'
        self.fails_all = False
        self.draining = False
        self.server = Server(self._answer, cell.links)
        self._rate = max(rate, _SLOWEST)
        self._cell = cell
        self._lives = 0
        self._seen_at = 0.0
        self.life = self._new_life()

    async def open(self):
        await self.server.open()
        self._tasks = [
            asyncio.create_task(self._settle()),
            asyncio.create_task(self._keep_registered()),
        ]

    def lose_power(self):
        """End all at once; connections of before are lost, not reset."""
        self.life.lose_power()
        for link in self._cell.links.of(target=self.name):
            link.lose()

    def begin_again(self, *, new_id=False):
        self.draining = False
        if new_id:
            self._cell.store.remove('servers', self.id)
            self.id = f'i-{self.name}-{self._lives + 1}'
        self.life = self._new_life()
        self.register()

    def register(self):
        """Write the entry if it isn't there as it should be."""
        self._seen_at = time.monotonic()
        body = json.dumps(self._entry()).encode()
        known = self._cell.store.rows.get(('servers', '', self.id))
        if known is None or known[0] != body:
            self._cell.store.put('servers', self.id, body)

    def _new_life(self):
        self._lives += 1
        judge = self._cell.judge
        name = f'{self.name}/{self._lives}'
        judge.record(f'{name} begins as {self.id}')
        return Life(name, self.pool, self._rate, judge, self._cell.gangs)

    def _entry(self):
        return {
            'Service': self.pool,
            'Address': self.server.address,
            'Zone': 'z1',
            'Version': 'v1',
            'Slots': 8,
            'State': 'draining' if self.draining else 'ready',
            'ColdRemainingMs': 0,
            'Capacity': {'Cpu': CAPACITY, 'MemMb': 65536, 'Gpu': 0},
            'Labels': ['a', 'r1'],
            'Machine': f'm-{self.name}',
            'born': self.life.born,
            'Sequence': self._lives,
        }

    async def _settle(self):
        while True:
            await asyncio.sleep(_SETTLE_S)
            self.life.settle()

    async def _keep_registered(self):
        """Check in, or let the platform remove an entry that is silent."""
        while True:
            joined = self._cell.links.joined(self.name, 'store')
            if self.life.up and joined:
                self.register()
            silent_s = time.monotonic() - self._seen_at
            known = ('servers', '', self.id) in self._cell.store.rows
            if known and silent_s > _MISSED_HEARTBEATS * HEARTBEAT_S:
                self._cell.judge.record(f'{self.name} is removed, silent')
                self._cell.store.remove('servers', self.id)
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, request):
        life = self.life
        if not life.up:
            return None
        wanted = request.headers.get('cyclamentrack-expected-instance')
        if wanted not in {None, self.id}:
            return 421, {}
        self._cell.settle()
        asked = request.body
        if asked.get('FencingToken', 0) < life.token:
            return self._reject(life, 'fence')
        life.token = asked.get('FencingToken', 0)
        match request.target:
            case '/-/run-start':
                return self._start(life, asked, request.caller)
            case '/-/run-stop':
                life.stop(asked['Task'], asked['Run'])
            case '/-/hold':
                return await self._hold(life, asked)
            case '/-/pace':
                return 200, {'ClockMs': life.clock_ms}
            case _:
                return 404, {}
        return 200, {'ClockMs': life.clock_ms}

    def _reject(self, life, reason):
        return 409, {'ClockMs': life.clock_ms, 'Reason': reason}

    def _start(self, life, asked, caller):
        task, number = asked['Task'], asked['Run']
        current = life.runs.get(task)
        if current is not None and current.number == number:
            return 200, {'ClockMs': life.clock_ms}
        if life.is_barred(task, number):
            life.extend(asked['DeadlineMs'])
            return self._reject(life, 'old')
        if asked['DeadlineMs'] < life.clock_ms:
            return self._reject(life, 'late')
        if not self._cell.advice.permits(task, asked.get('Ticket'), life):
            return self._reject(life, 'ticket')
        life.extend(asked['DeadlineMs'])
        self._cell.judge.sent(task, asked['Spec'])
        run = Run(task, number, asked['Spec'])
        if self.fails_all:
            run.fail_soon()
        life.begin(run, caller)
        return 200, {'ClockMs': life.clock_ms}

    async def _hold(self, life, asked):
        if 'DeadlineMs' in asked:
            life.extend(asked['DeadlineMs'])
        life.acknowledge(asked.get('AckCursor', 0))
        wait_s = asked.get('WaitMs', 0) / 1000
        if wait_s and not life.ends:
            life.ended.clear()
            await wait_for(life.ended, wait_s)
        if not life.up:
            return None
        if len(life.ends) > _MAX_ENDS:
            self._cell.judge.record(
                f'{len(life.ends)} ends wait at {self.name}'
            )
        life.settle()
        return 200, {
            'ClockMs': life.clock_ms,
            'Running': [run.row() for run in life.runs.values()],
            'Finished': life.ends[:_MAX_ENDS],
            'born': life.born,
        }
