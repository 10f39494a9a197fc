"""Decisions a second and their times, by the size of the fleet.

Each fleet is filled to about two thirds; then one task ends and one is
placed, over and over.
"""

import itertools
import random
import time
from collections.abc import Iterator

from bench.baselines import FirstFit, RandomOfTwo
from bench.fleets import mixed_instances, mixed_need, open_ledger
from bench.report import Report, percentile
from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest
from cyclamentrack.placement import place

_SIZES = (100, 1000, 5000, 20_000)
_FILL = 0.66
_DECISIONS = 6000
_BASELINE_DECISIONS = 600
_MS = 1000
_P99_TARGET_MS = 5
_RATE_TARGET = 5000
_GROWTH_TARGET = 2


def measure() -> Report:
    """Measure all sizes, with the baselines beside."""
    report = Report(
        name='decide',
        headings=[
            'workers', 'policy', 'decisions/s', 'p50 ms', 'p99 ms', 'placed',
        ],
    )  # fmt: skip
    costs: dict[int, float] = {}
    for size in _SIZES:
        for name, choose, count in (
            ('tight', _place_tight, _DECISIONS),
            ('first fit', FirstFit().place, _BASELINE_DECISIONS),
            ('random of two', RandomOfTwo(seed=1).place, _BASELINE_DECISIONS),
        ):
            times, placed = _run(size, choose, count)
            total = sum(times)
            times.sort()
            report.add(
                size,
                name,
                round(len(times) / total),
                percentile(times, 0.5) * _MS,
                percentile(times, 0.99) * _MS,
                f'{placed / len(times):.0%}',
            )
            if name == 'tight':
                costs[size] = total / len(times)
                _add_targets(report, size, times, total)
    growth = costs[_SIZES[-1]] / costs[_SIZES[0]]
    report.at_most(
        'cost at 20,000 over cost at 100 workers',
        target=_GROWTH_TARGET,
        measured=growth,
        unit='times',
    )
    report.slopes['decision_s'] = costs[_SIZES[-1]]
    return report


def _add_targets(
    report: Report, size: int, times: list[float], total: float
) -> None:
    report.at_most(
        f'p99 of a decision at {size} workers',
        target=_P99_TARGET_MS,
        measured=percentile(times, 0.99) * _MS,
        unit='ms',
    )
    report.at_least(
        f'decisions at {size} workers',
        target=_RATE_TARGET,
        measured=len(times) / total,
        unit='per s and core',
    )


def _run(size: int, choose: object, count: int) -> tuple[list[float], int]:
    """Return the time of each decision and how many found room."""
    chance = random.Random(5)
    ledger = open_ledger(mixed_instances(size))
    numbers = itertools.count()
    held = _fill(ledger, chance, numbers)
    times: list[float] = []
    placed = 0
    for _ in range(count):
        gone = held.pop(chance.randrange(len(held)))
        ledger.release(gone)
        need = mixed_need(next(numbers), chance)
        begin = time.perf_counter()
        found = choose(ledger, need)
        times.append(time.perf_counter() - begin)
        if found:
            placed += 1
            held.append(need.attempt)
        if len(held) < size:
            held.extend(_fill(ledger, chance, numbers))
    return times, placed


def _fill(
    ledger: Ledger, chance: random.Random, numbers: Iterator[int]
) -> list[str]:
    """Put tasks on the workers in turn until two thirds are in use."""
    rows = list(ledger.rows())
    whole = sum(row.capacity.milli_cores for row in rows)
    used = whole - sum(row.cores for row in rows)
    held: list[str] = []
    for row in itertools.cycle(rows):
        if used >= whole * _FILL:
            return held
        need = mixed_need(next(numbers), chance)
        if row.has_free(need.resources):
            ledger.allocate(
                need.attempt, worker=row.id, resources=need.resources
            )
            used += need.resources.milli_cores
            held.append(need.attempt)
    return held


def _place_tight(ledger: Ledger, need: AttemptRequest) -> bool:
    return bool(place(ledger, [need]))
