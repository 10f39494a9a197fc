"""Measures how full the fleet is when the first job can't be placed.

Two fleets are filled with jobs of mixed sizes: today's four services as one
pool, and a thousand workers. The share in use is that of the resource that is
used most. The bound is the share of the workers that the placed jobs need at
least, which a perfect packing could reach.
"""

import random
from collections.abc import Callable

import msgspec

from bench.baselines import FirstFit, RandomOfTwo
from bench.fleets import (
    POOL,
    mixed_instances,
    mixed_request,
    open_ledger,
    todays_instances,
)
from bench.report import Report
from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest
from cyclamentrack.placement import place
from cyclamentrack.ports import Instance

_TARGET = 0.95
_DEVICE_SHARES = (0.0, 0.05, 0.2)
_SEEDS = (1, 2, 3)


def measure() -> Report:
    """Fill both fleets with each policy and several seeds."""
    report = Report(
        name='pack',
        headings=[
            'fleet, jobs with accelerators',
            'policy',
            'in use',
            'jobs placed',
        ],
    )
    fleets = {
        'today': [
            msgspec.structs.replace(one, pool=POOL)
            for one in todays_instances()
        ],
        '1000 workers': mixed_instances(1000),
    }
    for name, instances in fleets.items():
        for accelerator_share in _DEVICE_SHARES:
            _compare(
                report,
                f'{name}, {accelerator_share:.0%}',
                instances,
                accelerator_share,
            )
    return report


def _compare(
    report: Report,
    name: str,
    instances: list[Instance],
    accelerator_share: float,
) -> None:
    shares = {
        policy: _mean_share(report, name, policy, instances, accelerator_share)
        for policy in _policies()
    }
    report.at_least(
        f'in use at the first refusal, {name} with accelerators',
        target=_TARGET,
        measured=shares['tight'],
        unit='of the bound',
    )
    report.at_least(
        f'not below the best baseline, {name} with accelerators',
        target=max(shares['first fit'], shares['random of two']),
        measured=shares['tight'],
        unit='of the bound',
    )


def _policies() -> dict[str, Callable[[Ledger, AttemptRequest], bool]]:
    return {
        'tight': lambda ledger, need: bool(place(ledger, [need])),
        'first fit': FirstFit().place,
        'random of two': RandomOfTwo(seed=1).place,
    }


def _mean_share(
    report: Report,
    fleet: str,
    policy: str,
    instances: list[Instance],
    accelerator_share: float,
) -> float:
    shares: list[float] = []
    placed = 0
    for seed in _SEEDS:
        ledger = open_ledger(instances)
        choose = _policies()[policy]
        placed += _place_until_full(
            ledger, choose, random.Random(seed), accelerator_share
        )
        shares.append(_share_in_use(ledger))
    mean = sum(shares) / len(shares)
    report.add(fleet, policy, f'{mean:.1%}', placed // len(_SEEDS))
    return mean


def _place_until_full(
    ledger: Ledger,
    choose: Callable[[Ledger, AttemptRequest], bool],
    rng: random.Random,
    accelerator_share: float,
) -> int:
    """Place jobs until one doesn't fit; return how many were placed."""
    number = 0
    while choose(
        ledger, mixed_request(number, rng, accelerator_share=accelerator_share)
    ):
        number += 1
    return number


def _share_in_use(ledger: Ledger) -> float:
    """Return the share in use of the resource that is used most.

    The reserve for lookups counts as free, although no job may use it.
    """
    rows = list(ledger.rows())
    shares: list[float] = []
    for name, total in (
        ('cores', sum(row.capacity.milli_cores for row in rows)),
        ('memory', sum(row.capacity.memory_mib for row in rows)),
        ('accelerators', sum(row.capacity.accelerators for row in rows)),
    ):
        free = sum(getattr(row, name) for row in rows)
        free += sum(getattr(row, f'lookup_{name}', 0) for row in rows)
        shares.append(1 - free / total if total else 0)
    return max(shares)
