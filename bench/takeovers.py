"""Reports how long each takeover left a pool without starts, from the logs.

Reads the lines that ``fleetbench run SITE DAY --log all`` prints. Each claim of
a pool is a row: when and by whom, the time since the last start under the former
owner, the time until the jobs were read and until the first start, and what the
owner did until the next claim: starts, start orders without an answer, and its
worst event loop lag.
"""

from pathlib import Path

import msgspec

from bench.loglines import LogLine, log_lines
from bench.report import Report

_UNKNOWN = '-'


class Ownership(msgspec.Struct, kw_only=True):
    """What one owner of a pool did; times are seconds of the day."""

    pool: str
    node: str
    claimed_at: float
    idle_before: float | None = None
    recovered_at: float | None = None
    first_start_at: float | None = None
    last_start_at: float | None = None
    starts: int = 0
    unanswered: int = 0
    worst_lag_ms: int = 0


def ownerships(lines: list[LogLine]) -> list[Ownership]:
    """Return the ownerships of all pools in the order of their claims.

    Starts are counted for the last pool that their node claimed.
    """
    found: list[Ownership] = []
    by_node: dict[str, Ownership] = {}
    by_pool: dict[str, Ownership] = {}
    for line in lines:
        if line.message.startswith('slice claimed'):
            owner = _claimed(line, by_pool)
            by_node[line.node] = owner
            by_pool[owner.pool] = owner
            found.append(owner)
        elif line.node in by_node:
            _apply_line(by_node[line.node], line)
    return found


def measure(path: Path) -> Report:
    """Return a report with one row per claim."""
    report = Report(
        name='takeovers',
        headings=[
            'pool',
            'claimed at s',
            'by',
            'idle before s',
            'read after s',
            'first start after s',
            'starts',
            'unanswered',
            'worst lag ms',
        ],
    )
    text = path.read_text(encoding='utf-8', errors='replace')
    for one in ownerships(list(log_lines(text.splitlines()))):
        report.add(
            one.pool,
            one.claimed_at,
            one.node,
            _or_unknown(one.idle_before),
            _since(one.claimed_at, one.recovered_at),
            _since(one.claimed_at, one.first_start_at),
            one.starts,
            one.unanswered,
            one.worst_lag_ms,
        )
    return report


def _claimed(line: LogLine, by_pool: dict[str, Ownership]) -> Ownership:
    pool = line.fields['pool']
    former = by_pool.get(pool)
    last = former and former.last_start_at
    return Ownership(
        pool=pool,
        node=line.node,
        claimed_at=line.at,
        idle_before=None if last is None else line.at - last,
    )


def _apply_line(owner: Ownership, line: LogLine) -> None:
    match line.message.split('=', maxsplit=1)[0]:
        case 'slice recovered pool':
            owner.recovered_at = line.at
        case 'run started task':
            owner.starts += 1
            owner.last_start_at = line.at
            if owner.first_start_at is None:
                owner.first_start_at = line.at
        case 'no reply to start order task':
            owner.unanswered += 1
        case 'owner lags pool':
            lag_ms = int(line.fields['lag_ms'])
            owner.worst_lag_ms = max(owner.worst_lag_ms, lag_ms)


def _since(begin: float, end: float | None) -> object:
    return _or_unknown(None if end is None else end - begin)


def _or_unknown(seconds: float | None) -> object:
    return _UNKNOWN if seconds is None else seconds
