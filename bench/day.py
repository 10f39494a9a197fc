"""Where a day's jobs lost their time, from the logs of all nodes.

Reads lines as ``fleetbench run SITE DAY --log all`` prints them: the second
of the day, the node, and one JSON object. Each job's time from its acceptance
to its end is split into waiting for the first permit, waiting for a worker,
and work; causes of repeated and refused work are counted.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from bench.report import Report, percentile

_LINE = re.compile(r'\s*(-?[\d.]+)\s+(\S+)\s+(\{.*\})\s*$')
_FIELD = re.compile(r'(\w+)=(\S+)')
_CAUSE = re.compile(r'(?:why|reason)=(.+?)(?: (?:free|for_s)=.*)?$')
_HALF = 0.5
_MOST = 0.95
_CAUSES = ('run lost', 'start refused', 'moving', 'worker quarantined')


class _Message(msgspec.Struct):
    message: str


class Trace(msgspec.Struct, kw_only=True):
    """What the logs say of one job; times are seconds of the day."""

    queue: str = ''
    accepted: float | None = None
    permitted: float | None = None
    started: float | None = None
    closed: float | None = None
    state: str = 'open'
    starts: int = 0
    tasks: set[str] = msgspec.field(default_factory=set)

    def split(self) -> tuple[float, float, float] | None:
        """Return the waits for permit and worker, and the work, seconds."""
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
    """All jobs of a day, answers by outcome, and causes by their count."""

    jobs: dict[str, Trace] = msgspec.field(
        default_factory=lambda: defaultdict(Trace),
    )
    outcomes: Counter[str] = msgspec.field(default_factory=Counter)
    causes: Counter[str] = msgspec.field(default_factory=Counter)


def read_day(lines: Iterable[str]) -> Day:
    """Read a day's lines; what isn't one of ours is left out."""
    day = Day()
    for at, message in _messages(lines):
        _take(day, at, message)
    return day


def measure(path: Path) -> Report:
    """Return one row a queue, and one a cause."""
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
    queues: dict[str, list[Trace]] = defaultdict(list)
    for job in day.jobs.values():
        if job.accepted is not None:
            queues[job.queue].append(job)
    for queue, jobs in sorted(queues.items()):
        report.add(queue, *_figures(jobs))
    for cause, count in (day.outcomes + day.causes).most_common():
        report.add(cause, count, *[''] * (len(report.headings) - 2))
    return report


def _messages(lines: Iterable[str]) -> Iterator[tuple[float, str]]:
    for line in lines:
        found = _LINE.match(line)
        if found is None:
            continue
        try:
            entry = msgspec.json.decode(found[3], type=_Message)
        except msgspec.MsgspecError:
            continue
        yield float(found[1]), entry.message


def _take(day: Day, at: float, message: str) -> None:
    fields = dict(_FIELD.findall(message))
    named = fields.get('job') or fields.get('task') or fields.get('step') or ''
    job = day.jobs[named.split('.')[0]] if named else Trace()
    match message.split('=', maxsplit=1)[0]:
        case 'submit job':
            _take_answer(day, job, at, fields)
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
    for kind in _CAUSES:
        found = _CAUSE.search(message)
        if message.startswith(kind) and found is not None:
            day.causes[f'{kind}: {found[1]}'] += 1


def _take_answer(
    day: Day, job: Trace, at: float, fields: dict[str, str]
) -> None:
    outcome = fields.get('outcome', 'bad input')
    day.outcomes[f'answered: {outcome}'] += 1
    if outcome == 'kept' and job.accepted is None:
        job.accepted = at
        job.queue = fields['queue']


def _figures(jobs: list[Trace]) -> list[object]:
    splits = [split for job in jobs if (split := job.split()) is not None]
    totals = sorted(sum(split) for split in splits)
    tasks = sum(len(job.tasks) for job in jobs)
    starts = sum(job.starts for job in jobs)
    return [
        len(jobs),
        sum(job.closed is None for job in jobs),
        *(_mean(part) for part in zip(*splits, strict=True)),
        *([] if splits else [0.0, 0.0, 0.0]),
        percentile(totals, _HALF),
        percentile(totals, _MOST),
        starts / max(tasks, 1),
    ]


def _mean(amounts: tuple[float, ...]) -> float:
    return sum(amounts) / len(amounts)
