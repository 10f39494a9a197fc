"""Judges by the users' rules what callers and workers saw.

It judges TWICE, LIMIT, ORDER, ROUTE, BUDGET, UNASKED, REFUSED, MIXED, DRAIN and
LOST. In places it asks for less than the rules, as a real clock on a busy
machine says little about short times: while the soak itself is held up nobody
counts as in touch, and a job is neglected after ``NEGLECT_S``. Rules on times
of answers, stops and acknowledgements aren't judged for the same reason. A
process that ends by itself is a FAULT at once, as it mustn't at any moment.
"""

import time
from collections import defaultdict

from features.processes.bounds import (
    CANCEL_S,
    CAPACITY,
    CONTACT_S,
    DRAIN_S,
    MAX_ATTEMPTS,
    VISIBLE_S,
)

# The rules say 3 s; a process may be kept off the processor for seconds.
NEGLECT_S = 10.0
_ACCEPTED = 200
_UNKNOWN = 410
_REJECTED = (400, 404, 422, 429, 503)
_SHOWN_S = 1.0
_EVERYONE = ''


class SubmittedJob:
    """A job as its caller knows it."""

    def __init__(self, name, prefix, body, plans):
        self.name = name
        self.prefix = prefix
        self.body = body
        self.plans = plans
        self.outcomes = []
        self.accepted_at = None
        self.cancel_sent = False
        self.cancelled_at = None
        self.completed_at = None

    @property
    def path(self):
        return f'{self.prefix}{self.name}'

    @property
    def tasks(self):
        return [
            task for step in range(len(self.plans)) for task in self.of(step)
        ]

    def of(self, step):
        count = self.body['Steps'][step]['Count']
        return [f'{self.name}.0.{step}.{index}' for index in range(count)]


class Touch:
    """Which processes have run undisturbed for long enough."""

    def __init__(self):
        self._disturbances = defaultdict(int)
        self._calm_since = {}

    def disturb(self, name=_EVERYONE):
        self._disturbances[name] += 1

    def calm(self, name=_EVERYONE):
        self._disturbances[name] -= 1
        self._calm_since[name] = time.monotonic()

    def holds(self, name):
        """Return whether a process is in touch now."""
        since = time.monotonic() - CONTACT_S
        return not any(
            self._disturbances[one] or self._calm_since.get(one, 0) > since
            for one in (name, _EVERYONE)
        )


class Judge:
    """Records what happens; ``broken`` is what broke a rule."""

    def __init__(self):
        self.broken = []
        self.lines = []
        self.jobs = {}
        self.touch = Touch()
        self.pools = defaultdict(set)
        self.advised = set()
        self.draining_since = {}
        self.active = defaultdict(list)
        self.starts = defaultdict(list)
        self._done_at = {}
        self._failed_runs = defaultdict(set)
        self._noted_done = {}
        self._noted_failures = defaultdict(list)
        self._began_at = time.monotonic()

    def record(self, text):
        elapsed = time.monotonic() - self._began_at
        self.lines.append(f'{elapsed:8.3f} {text}')

    def breaks(self, text):
        self.broken.append(text)
        self.record(f'BROKEN {text}')

    def is_advised(self, job):
        known = self.jobs.get(job)
        return known is not None and known.prefix in self.advised

    def sent(self, task, spec):
        """Check that a client sent what a worker is told to start."""
        job = self.jobs.get(task.partition('.')[0])
        if job is None or job.body['Spec'] != spec or task not in job.tasks:
            self.breaks(f'UNASKED: {task} was not sent so')

    def begins(self, life, run, caller):
        """Check one start; the run is already among those of the worker."""
        text = f'{run.task} run {run.number} starts on {life.name} by {caller}'
        self.record(text)
        job = self.jobs[run.job]
        others = self.active[run.task]
        if others:
            self.breaks(f'TWICE: {text} while it runs as {others}')
        if sum(one.cpu for one in life.runs.values()) > CAPACITY:
            self.breaks(f'LIMIT: {text}, which is over its capacity')
        if life.pool not in self.pools[job.prefix]:
            self.breaks(f'ROUTE: {text}, of pool {life.pool}')
        step = job.body['Steps'][int(run.task.split('.')[2])]
        for earlier in step.get('After', ()):
            if any(task not in self._done_at for task in job.of(earlier)):
                self.breaks(f'ORDER: {text} before step {earlier} is done')
        if self.touch.holds(caller) and self.touch.holds(life.worker):
            self._check_timely(life, job, text)
        others.append((life.name, run.number))
        self.starts[run.task].append((time.monotonic(), text))

    def drains(self, life):
        self.record(f'{life.name} drains')
        self.draining_since[life.name] = time.monotonic()

    def ends(self, life, run, how, at):
        self.record(f'{run.task} run {run.number} ends on {life.name}: {how}')
        self.active[run.task].remove((life.name, run.number))
        if how == 'done':
            self._done_at.setdefault(run.task, at)
        if how == 'failed':
            name = run.task.rpartition('.')[0] if run.gang else run.task
            self._failed_runs[name].add(run.number)

    def noted(self, task, run, how, ended_at):
        """An end is taken note of: a worker's cursor has reached it."""
        self.record(f'{task} run {run} is noted: {how}')
        if how == 'done':
            known = self._noted_done.get(task, ended_at)
            self._noted_done[task] = min(known, ended_at)
        if how == 'failed':
            self._noted_failures[task].append(ended_at)

    def answered(self, job, method, node, status, answer):
        """Check what a caller was answered about a job."""
        self.record(f'{method} {job.path} at {node}: {status} {answer}')
        now = time.monotonic()
        if method == 'POST':
            job.outcomes.append(status)
            if status == _ACCEPTED:
                job.accepted_at = job.accepted_at or now
        if method == 'DELETE' and status in {_ACCEPTED, _UNKNOWN}:
            job.cancelled_at = job.cancelled_at or now
        if method == 'GET' and status == _ACCEPTED:
            self._check_state(job, node, answer['State'])
        if method == 'GET' and status == _UNKNOWN:
            self._check_unknown(job, node, now)

    def runs(self, job):
        """Return how many runs of a job there are now."""
        return sum(len(self.active[task]) for task in job.tasks)

    def close(self):
        """Check what shows only at the end."""
        for task, done_at in self._noted_done.items():
            self._check_starts(f'TWICE: {task} is done', task, done_at)
        for task, failures in self._noted_failures.items():
            if len(failures) >= MAX_ATTEMPTS:
                last = sorted(failures)[MAX_ATTEMPTS - 1]
                self._check_starts(f'BUDGET: {task} has failed', task, last)
        for job in self.jobs.values():
            rejected = all(one in _REJECTED for one in job.outcomes)
            if rejected and any(self.starts[task] for task in job.tasks):
                self.breaks(f'REFUSED: {job.name} runs, {job.outcomes}')

    def _check_starts(self, reason, task, since):
        for at, text in self.starts[task]:
            if at > since:
                self.breaks(f'{reason}, noted then or later: {text}')

    def _check_timely(self, life, job, text):
        now = time.monotonic()
        if job.cancelled_at and now > job.cancelled_at + CANCEL_S:
            self.breaks(f'UNASKED: {text}, cancelled before')
        if job.completed_at and now > job.completed_at + _SHOWN_S:
            self.breaks(f'TWICE: {text}, shown as completed before')
        if now > self.draining_since.get(life.name, now) + DRAIN_S:
            self.breaks(f'DRAIN: {text}, which is draining')

    def _check_state(self, job, node, state):
        if state == 'completed':
            job.completed_at = job.completed_at or time.monotonic()
            missing = [task for task in job.tasks if task not in self._done_at]
            if missing:
                self.breaks(f'MIXED: {job.name} is completed without {missing}')
        if state == 'cancelled' and not job.cancel_sent:
            self.breaks(f'LOST: {job.name} is cancelled, nobody asked')
        if state == 'failed' and not self._has_failed(job):
            self.breaks(f'LOST: {job.name} is failed without cause at {node}')

    def _has_failed(self, job):
        steps = [f'{job.name}.0.{step}' for step in range(len(job.plans))]
        return any(
            len(self._failed_runs[name]) >= MAX_ATTEMPTS
            for name in (*job.tasks, *steps)
        )

    def _check_unknown(self, job, node, now):
        if job.accepted_at is None or job.cancel_sent:
            return
        visible = now > job.accepted_at + VISIBLE_S
        if visible and self.touch.holds(node) and self.touch.holds('store'):
            self.breaks(f'LOST: {job.name} was accepted, is 410 at {node}')
