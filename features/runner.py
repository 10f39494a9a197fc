"""Runs the checks in this process and counts those that pass and fail."""

import sys
import traceback
from pathlib import Path

import msgspec
from behave.configuration import Configuration
from behave.model import Scenario
from behave.runner import Runner

from features.fuzz import run_fuzz
from features.harness.machine import CellMachine
from spec.checks import check_all

_FUZZ_EXAMPLES = 60
_FOLDER = Path(__file__).parent


class Tally(msgspec.Struct, kw_only=True):
    """Names of the checks that passed and that failed."""

    passed: list[str] = msgspec.field(default_factory=list)
    failed: list[str] = msgspec.field(default_factory=list)

    def add(self, name: str, *, passed: bool) -> None:
        """Add the result of one check."""
        (self.passed if passed else self.failed).append(name)


def run_machine(tally: Tally) -> None:
    """Run the stateful fuzzing with the same examples each time."""
    passed = True
    try:
        run_fuzz(CellMachine, examples=_FUZZ_EXAMPLES)
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        passed = False
    tally.add('stateful fuzzing', passed=passed)


def run_specs(tally: Tally) -> None:
    """Check the models, and that each fails without any of its guards."""
    for verdict in check_all():
        sys.stdout.write(f'{verdict.summary}\n')
        tally.add(f'spec: {verdict.name}', passed=verdict.passed)


def run_scenarios(tally: Tally, paths: list[str]) -> None:
    """Run all scenarios, or those under some paths."""
    arguments = ['--format', 'progress3', '--no-capture', '--no-summary']
    targets = paths or [str(_FOLDER)]
    configuration = Configuration([*arguments, *targets])
    runner = Runner(configuration)
    runner.run()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if isinstance(scenario, Scenario):
                name = f'{feature.name}: {scenario.name}'
                tally.add(name, passed=scenario.status.name == 'passed')
