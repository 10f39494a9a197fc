"""Breaks each rule once, to show that the judge of the soak finds it."""

import time
from types import SimpleNamespace

from features.processes.bounds import CAPACITY, MAX_ATTEMPTS
from features.processes.judge import Judge, SubmittedJob

_LONG_AGO_S = 60.0
_STEPS = [{'Count': 2}, {'Count': 1, 'After': [0]}]


class Breach:
    """A judge with one accepted job of three tasks in two steps."""

    def __init__(self):
        self.judge = Judge()
        self.judge.pools['/q/'].add('pool-a')
        body = {'Spec': 'spec', 'Steps': _STEPS}
        self.job = SubmittedJob('job', '/q/', body, [{}, {}])
        self.job.accepted_at = time.monotonic() - _LONG_AGO_S
        self.judge.jobs['job'] = self.job
        self.life = SimpleNamespace(
            name='w0/1', worker='w0', pool='pool-a', runs={}
        )

    def start(self, task='job.0.0.0', *, number=1, cpu=1):
        run = SimpleNamespace(
            task=task, job='job', number=number, cpu=cpu, gang=0
        )
        self.life.runs[task] = run
        self.judge.begins(self.life, run, 'n0')
        return run

    def end(self, how, number=1):
        """Start a run, end it, and let its end be noted."""
        run = self.start(number=number)
        self.judge.ends(self.life, run, how, time.monotonic())
        self.judge.noted(run.task, number, how, time.monotonic())

    def answer(self, status, answer=None):
        self.judge.answered(self.job, 'GET', 'n0', status, answer)

    def twice(self):
        self.start()
        self.start(number=2)

    def twice_after_done(self):
        self.end('done')
        self.start(number=2)

    def limit(self):
        self.start(cpu=CAPACITY + 1)

    def order(self):
        self.start('job.0.1.0')

    def route(self):
        self.life.pool = 'pool-b'
        self.start()

    def unasked(self):
        self.judge.sent('job.0.0.0', 'another spec')

    def unasked_after_cancel(self):
        self.job.cancelled_at = time.monotonic() - _LONG_AGO_S
        self.start()

    def budget(self):
        for number in range(MAX_ATTEMPTS + 1):
            self.end('failed', number)

    def refused(self):
        self.job.outcomes.append(503)
        self.start()

    def drain(self):
        self.judge.drains(self.life)
        self.judge.draining_since[self.life.name] -= _LONG_AGO_S
        self.start()

    def mixed(self):
        self.answer(200, {'State': 'completed'})

    def lost(self):
        self.answer(410)

    def lost_without_cause(self):
        self.answer(200, {'State': 'failed'})


def broken_rules(name):
    """Break a rule by name; return the names of the rules that are found."""
    breach = Breach()
    breach.job.outcomes.append(200)
    if name == 'refused':
        breach.job.outcomes.clear()
    getattr(breach, name)()
    breach.judge.close()
    return {text.partition(':')[0] for text in breach.judge.broken}
