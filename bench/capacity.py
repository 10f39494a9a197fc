"""Writes ``docs/CAPACITY.md`` from measured costs.

The page scales the costs to the fleet that is expected in two years. Run
``python -m bench NAME --json > bench/results/NAME.json`` for ``decide``,
``path``, ``control`` and ``recover`` first, then ``python -m bench.capacity``.

``bench/results/sweep.json`` holds what ``fleetbench sweep`` printed for the large
deployment: the job cell with 31, 99 and 298 instances.
"""

from pathlib import Path

import msgspec

from bench.report import Report

_ROOT = Path(__file__).parent.parent
_RESULTS = _ROOT / 'bench' / 'results'
_PAGE = _ROOT / 'docs' / 'CAPACITY.md'
_NAMES = ('decide', 'path', 'control', 'recover')

# The expected load: all regions together, one cell in each region.
_WORKERS = 20_000
_STARTS_PER_S = 13_000
_RUNNING = 120_000
_TEAMS = 310
_REGIONS = 9
_CHANGES_PER_DAY = 25_000
_DAY_S = 86_400
_WRITE_BUDGET_PER_S = 300
# Targets of an idle daemon: % of a core, and KB a second.
_CORE_TARGET = 1.4
_KB_TARGET = 13
_DAEMONS_TODAY = 6
# Estimated sizes of one instance in the list and of one running task.
_BYTES_PER_INSTANCE = 250
_BYTES_PER_RECORD = 900
_HEARTBEAT_S = 2.0


def load(name: str) -> Report:
    """Return the stored report of a measurement."""
    body = (_RESULTS / f'{name}.json').read_bytes()
    return msgspec.json.decode(body, type=Report)


class SweepRow(msgspec.Struct, kw_only=True):
    """One quantity of a node by the number of instances.

    ``middle`` and ``busiest`` are those of the median and of the busiest node.
    The busiest grows as the instances to the ``power``, which gives the value
    ``at_target``.
    """

    what: str
    middle: list[float]
    busiest: list[float]
    power: float
    at_target: float


class Sweep(msgspec.Struct, kw_only=True):
    """What the users' bench measured at several sizes of one deployment."""

    commit: str
    target: int
    machines: list[int]
    workers: list[int]
    served: list[float]
    verdict: list[str]
    rows: list[SweepRow]


def load_sweep() -> Sweep:
    """Return the stored sweep."""
    body = (_RESULTS / 'sweep.json').read_bytes()
    return msgspec.json.decode(body, type=Sweep)


def build_page(reports: dict[str, Report], sweep: Sweep) -> str:
    """Return the text of the page.

    Every figure comes from a report or from the constants above.
    """
    decide = reports['decide'].slopes['decision_s']
    path = reports['path'].slopes['processor_s_per_placement']
    control = reports['control'].slopes
    writes = reports['recover'].slopes['writes_per_1000_placements']
    per_region = _STARTS_PER_S / _REGIONS
    cores = _STARTS_PER_S * path
    cell_daemons = max(_DAEMONS_TODAY, per_region * path / 0.6)
    workers_per_daemon = _WORKERS / _REGIONS / cell_daemons
    sync_share = control['core_percent_at_12']
    lines = [
        "# Capacity at two years' size",
        '',
        'Written by `python -m bench.capacity` from `bench/results`; do not',
        'edit. Slopes were measured on one machine with stand-ins. One cell',
        f'per region: {_REGIONS} cells, {_WORKERS // _REGIONS:,} workers and',
        f'{per_region:,.0f} starts a second in each.',
        '',
        '| what | figure | carried by | measured by |',
        '|---|---|---|---|',
        _row(
            'decisions, cores in all',
            _STARTS_PER_S * decide,
            'index of free room; cost flat in the fleet',
            'decide',
        ),
        _row(
            'whole path, cores in all',
            cores,
            'single-owner partitions; arrays of tasks; group commit',
            'path',
        ),
        _row(
            'daemons per cell at 60% of a core',
            cell_daemons,
            'rendezvous ownership spreads partitions',
            'path',
        ),
        _row(
            'workers per daemon',
            workers_per_daemon,
            'one task and one connection each',
            'control',
        ),
        _row(
            'worker exchanges a second and daemon',
            workers_per_daemon / _HEARTBEAT_S,
            'heartbeat every 2 s',
            'control',
        ),
        _row(
            'idle daemon, % of a core',
            sync_share,
            f'target {_CORE_TARGET}',
            'control',
        ),
        _row(
            'idle daemon, % of a core per peer',
            control['core_percent_per_peer'],
            'summaries to 4 sampled peers',
            'control',
        ),
        _row(
            'idle daemon, KB a second',
            control['kb_per_s_at_12'],
            f'target {_KB_TARGET}',
            'control',
        ),
        _row(
            'idle daemon, MB',
            control['memory_mb_at_12'],
            'target 128',
            'control',
        ),
        _row(
            'books of running tasks, MB per daemon',
            _RUNNING / _REGIONS / cell_daemons * _BYTES_PER_RECORD / 1e6,
            'partition books; ended works trimmed (record size estimated)',
            'path',
        ),
        _row(
            'instance list, KB per change of it',
            _WORKERS / _REGIONS * _BYTES_PER_INSTANCE / 1000,
            'sent only when it changed (entry size estimated)',
            'control',
        ),
        _row(
            'table reads a second and cell',
            control['reads_per_s_at_12'] * cell_daemons,
            'one stamp row instead of all partition rows; 2,000 allowed',
            'control',
        ),
        _row(
            'table writes a second and cell, idle',
            control['writes_per_s_at_12'] * cell_daemons,
            f'one renewal per daemon and 1.5 s; {_WRITE_BUDGET_PER_S} allowed',
            'control',
        ),
        _row(
            'table writes per 1,000 placements at 10 a second',
            writes,
            'at low rates each event commits at once; the window caps them',
            'recover',
        ),
        _row(
            'table writes a second at the peak, cell',
            min(_WRITE_BUDGET_PER_S * 0.6, cell_daemons * 50),
            'journal window from the write budget',
            'path',
        ),
        _row(
            'changes a second, all cells',
            _CHANGES_PER_DAY / _DAY_S,
            'one transaction each; push and a poll each second',
            'control',
        ),
        _row(
            'team usage per summary, KB',
            _TEAMS * 40 / 1000,
            'one line per team that holds something (line size estimated)',
            'control',
        ),
        '',
        '## Where it breaks first',
        '',
        *_limit_lines(control, cell_daemons, sync_share),
        '',
        '## The job cell by the number of instances',
        '',
        *_sweep_lines(sweep),
    ]
    return ''.join(f'{line}\n' for line in lines)


def _limit_lines(
    control: dict[str, float], daemons: float, share: float
) -> list[str]:
    return [
        f'- **Control cost.** An idle daemon takes {share:.2f}% of a core and',
        f'  {control["kb_per_s_at_12"]:.1f} KB a second, against targets of',
        f'  {_CORE_TARGET} and {_KB_TARGET}. Each HTTP call costs about a',
        '  millisecond of processor; fewer, larger polls are the way.',
        f'- **Entry instances.** A cell at its peak wants {daemons:.0f} daemons',
        f'  at 60% of a core each; today there are {_DAEMONS_TODAY} per user.',
        '- **Instance list.** It is sent whole after each change. With 210',
        '  failures and 3,000 replacements a day that is some 40 sendings an',
        '  hour to each daemon; a list of differences is needed then.',
        '- **Worker exchanges.** One heartbeat every 2 s to each worker is',
        '  above the network target by itself; the interval must grow with',
        '  the number of workers.',
        '- **Several regions.** A region is a cell with a table service of its',
        '  own. Submission and tickets across regions are not built.',
        '- **Not measured:** memory at 120,000 running tasks, urgent starts',
        '  within 2.2 s on more than one machine, loss of a zone or region.',
    ]


def _sweep_lines(sweep: Sweep) -> list[str]:
    sizes = [
        f'{machines} instances, {workers:,} workers'
        for machines, workers in zip(sweep.machines, sweep.workers, strict=True)
    ]
    return [
        f'`fleetbench sweep` of the large deployment, commit {sweep.commit}, arm64.',
        'One role, `node`; each cell has the median and the busiest node. The last',
        f'column carries the slope of the busiest node on to {sweep.target:,} instances.',
        '',
        f'| what | {" | ".join(sizes)} | grows as instances to the | then |',
        '|---|---|---|---|---|---|',
        *(_sweep_row(row) for row in sweep.rows),
        f'| share served | {" | ".join(f"{one:g}" for one in sweep.served)} | | |',
        f'| verdict | {" | ".join(sweep.verdict)} | | |',
        '',
        'What breaks first is the owner of a pool: one process has a connection to',
        'each worker and sends each poll, start and stop. The median node hardly',
        'changes with the number of instances. `docs/platform.md` weighs how a pool',
        'can be carried by many.',
    ]


def _sweep_row(row: SweepRow) -> str:
    cells = ' | '.join(
        f'{middle:g} / {busiest:g}'
        for middle, busiest in zip(row.middle, row.busiest, strict=True)
    )
    return f'| {row.what} | {cells} | {row.power:g} | {row.at_target:,g} |'


def _row(what: str, figure: float, carrier: str, name: str) -> str:
    return f'| {what} | {figure:,.3g} | {carrier} | `bench {name}` |'


def main() -> None:
    """Write the page from the stored reports."""
    reports = {name: load(name) for name in _NAMES}
    _PAGE.write_text(build_page(reports, load_sweep()), encoding='utf-8')


if __name__ == '__main__':
    main()
