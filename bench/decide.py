"""Measures the rate and the times of placement decisions by fleet size.

Each fleet is filled to about two thirds; then one task ends and another is
placed, repeatedly.
"""

import itertools
import random
import time
from collections.abc import Iterator

from bench.baselines import FirstFit, RandomOfTwo
from bench.fleets import mixed_instances, mixed_request, open_ledger
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
    """Measure all fleet sizes, with the policy and the baselines."""
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
    """Return the time of each decision and the number of tasks placed."""
    rng = random.Random(5)
    ledger = open_ledger(mixed_instances(size))
    numbers = itertools.count()
    held_attempts = _fill(ledger, rng, numbers)
    times: list[float] = []
    placed = 0
    for _ in range(count):
        released = held_attempts.pop(rng.randrange(len(held_attempts)))
        ledger.release(released)
        request = mixed_request(next(numbers), rng)
        started_at = time.perf_counter()
        found = choose(ledger, request)
        times.append(time.perf_counter() - started_at)
        if found:
            placed += 1
            held_attempts.append(request.attempt)
        if len(held_attempts) < size:
            held_attempts.extend(_fill(ledger, rng, numbers))
    return times, placed


def _fill(
    ledger: Ledger, rng: random.Random, numbers: Iterator[int]
) -> list[str]:
    """Place tasks on the workers in turn until ``_FILL`` is in use."""
    rows = list(ledger.rows())
    capacity_milli_cores = sum(row.capacity.milli_cores for row in rows)
    used_milli_cores = capacity_milli_cores - sum(row.cores for row in rows)
    held_attempts: list[str] = []
    for row in itertools.cycle(rows):
        if used_milli_cores >= capacity_milli_cores * _FILL:
            return held_attempts
        request = mixed_request(next(numbers), rng)
        if row.has_free(request.resources):
            ledger.allocate(
                request.attempt, worker=row.id, resources=request.resources
            )
            used_milli_cores += request.resources.milli_cores
            held_attempts.append(request.attempt)
    return held_attempts


def _place_tight(ledger: Ledger, request: AttemptRequest) -> bool:
    return bool(place(ledger, [request]))
