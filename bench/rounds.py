"""Measures the processor time of one round by workers and open jobs.

A full pool is simulated without a network: runs end, permits are granted, and
each round assigns the capacity that became free.
"""

import time

from bench.report import Report, percentile
from cyclamentrack_platform.process import set_up_collector
from features.harness.fullpool import FullPool

_WORKERS = (20, 126, 250)
_JOBS = (50, 200, 600)
_WARM_ROUNDS = 100
_ROUNDS = 60
_MS = 1000
# While a round computes, all other requests of its node have to wait.
_P99_TARGET_MS = 10
# With 12 times the jobs and workers a round may cost 12 times as much.
_GROWTH_TARGET = 12


def measure() -> Report:
    """Measure all sizes with the platform's garbage collector settings."""
    set_up_collector()
    report = Report(
        name='rounds',
        headings=[
            'workers', 'jobs', 'steps waiting', 'placed', 'mean ms', 'p99 ms',
        ],
    )  # fmt: skip
    means: list[float] = []
    times: list[float] = []
    for workers in _WORKERS:
        for jobs in _JOBS:
            pool = FullPool(workers=workers, jobs=jobs)
            pool.play(_WARM_ROUNDS)
            placed = pool.placed
            times = sorted(_time_round(pool) for _ in range(_ROUNDS))
            means.append(sum(times) / len(times))
            report.add(
                workers,
                jobs,
                pool.waiting_steps,
                pool.placed - placed,
                means[-1] * _MS,
                percentile(times, 0.99) * _MS,
            )
    report.at_most(
        f'p99 of a round at {_WORKERS[-1]} workers and {_JOBS[-1]} jobs',
        target=_P99_TARGET_MS,
        measured=percentile(times, 0.99) * _MS,
        unit='ms',
    )
    report.at_most(
        f'cost at {_WORKERS[-1]} workers and {_JOBS[-1]} jobs '
        f'over that at {_WORKERS[0]} and {_JOBS[0]}',
        target=_GROWTH_TARGET,
        measured=means[-1] / means[0],
        unit='times',
    )
    return report


def _time_round(pool: FullPool) -> float:
    pool.advance()
    started_at = time.process_time()
    pool.decide()
    return time.process_time() - started_at
