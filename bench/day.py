"""Reports how the jobs of a day spent their time, from the nodes' logs.

Reads the lines that ``fleetbench run SITE DAY --log all`` prints: the second
of the day, the node, and one JSON object. Each job's time from acceptance to
end is split into the wait for its first permit, the wait for its first start
on a worker, and the run. The causes of repeated and refused runs are counted.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

import msgspec

from bench.loglines import LogLine, log_lines
from bench.report import Report, percentile

_CAUSE = re.compile(r'(?:why|reason)=(.+?)(?: (?:free|for_s)=.*)?$')
_P50 = 0.5
_P95 = 0.95
_CAUSE_PREFIXES = ('run lost', 'start refused', 'moving', 'worker quarantined')


class JobTrace(msgspec.Struct, kw_only=True):
    """The events of one job in the logs; times are seconds of the day."""

    queue: str = ''
    accepted: float | None = None
    permitted: float | None = None
    started: float | None = None
    closed: float | None = None
    state: str = 'open'
    starts: int = 0
    tasks: set[str] = msgspec.field(default_factory=set)

    def split(self) -> tuple[float, float, float] | None:
        """Return the waits for permit and worker and the run, in seconds.

        Return ``None`` for a job that the logs don't show from acceptance
        to end.
        """
        if None in {self.accepted, self.started, self.closed}:
            return None
        accepted = self.accepted or 0.0
        started = self.started or 0.0
        permitted = min(max(self.permitted or accepted, accepted), started)
        return (
            permitted - accepted,
            started - permitted,
            (self.closed or 0.0) - started,
        )


class Day(msgspec.Struct, kw_only=True):
    """The jobs of a day, and the counts of submit outcomes and causes."""

    jobs: dict[str, JobTrace] = msgspec.field(
        default_factory=lambda: defaultdict(JobTrace),
    )
    outcomes: Counter[str] = msgspec.field(default_factory=Counter)
    causes: Counter[str] = msgspec.field(default_factory=Counter)


def read_day(lines: Iterable[str]) -> Day:
    """Read the lines of a day; lines in another format are skipped."""
    day = Day()
    for line in log_lines(lines):
        _apply_message(day, line)
    return day


def measure(path: Path) -> Report:
    """Return a report with one row per queue, outcome and cause."""
    day = read_day(
        path.read_text(encoding='utf-8', errors='replace').splitlines()
    )
    report = Report(
        name='day',
        headings=[
            'queue',
            'jobs',
            'open',
            'permit s',
            'worker s',
            'work s',
            'p50 s',
            'p95 s',
            'starts a task',
        ],
    )
    queues: dict[str, list[JobTrace]] = defaultdict(list)
    for job in day.jobs.values():
        if job.accepted is not None:
            queues[job.queue].append(job)
    for queue, jobs in sorted(queues.items()):
        report.add(queue, *_queue_cells(jobs))
    for cause, count in (day.outcomes + day.causes).most_common():
        report.add(cause, count, *[''] * (len(report.headings) - 2))
    return report


def _apply_message(day: Day, line: LogLine) -> None:
    at, message, fields = line.at, line.message, line.fields
    named = fields.get('job') or fields.get('task') or fields.get('step') or ''
    job = day.jobs[named.split('.')[0]] if named else JobTrace()
    match message.split('=', maxsplit=1)[0]:
        case 'submit job':
            _apply_submit_answer(day, job, at, fields)
        case 'permits step':
            if job.permitted is None:
                job.permitted = at
        case 'run started task':
            job.starts += 1
            job.tasks.add(fields['task'])
            if job.started is None:
                job.started = at
        case 'job closed job':
            job.closed = at
            job.state = fields['state']
    for kind in _CAUSE_PREFIXES:
        found = _CAUSE.search(message)
        if message.startswith(kind) and found is not None:
            day.causes[f'{kind}: {found[1]}'] += 1


def _apply_submit_answer(
    day: Day, job: JobTrace, at: float, fields: dict[str, str]
) -> None:
    outcome = fields.get('outcome', 'bad input')
    day.outcomes[f'answered: {outcome}'] += 1
    if outcome == 'kept' and job.accepted is None:
        job.accepted = at
        job.queue = fields['queue']


def _queue_cells(jobs: list[JobTrace]) -> list[object]:
    durations = [split for job in jobs if (split := job.split()) is not None]
    totals = sorted(sum(split) for split in durations)
    tasks = sum(len(job.tasks) for job in jobs)
    starts = sum(job.starts for job in jobs)
    return [
        len(jobs),
        sum(job.closed is None for job in jobs),
        *(_mean(part) for part in zip(*durations, strict=True)),
        *([] if durations else [0.0, 0.0, 0.0]),
        percentile(totals, _P50),
        percentile(totals, _P95),
        starts / max(tasks, 1),
    ]


def _mean(amounts: tuple[float, ...]) -> float:
    return sum(amounts) / len(amounts)
