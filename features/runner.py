"""Runs behave in this process and counts its scenarios."""

from pathlib import Path

import msgspec
from behave.configuration import Configuration
from behave.model import Scenario
from behave.runner import Runner

_FOLDER = Path(__file__).parent


class Tally(msgspec.Struct, kw_only=True):
    """Names of the checks that passed and that failed."""

    passed: list[str] = msgspec.field(default_factory=list)
    failed: list[str] = msgspec.field(default_factory=list)

    def add(self, name: str, *, passed: bool) -> None:
        """Count one check."""
        (self.passed if passed else self.failed).append(name)


def run_scenarios(tally: Tally, paths: list[str]) -> None:
    """Run all scenarios, or those under some paths."""
    arguments = ['--format', 'progress', '--no-capture', '--no-summary']
    targets = paths or [str(_FOLDER)]
    configuration = Configuration([*arguments, *targets])
    runner = Runner(configuration)
    runner.run()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if isinstance(scenario, Scenario):
                name = f'{feature.name}: {scenario.name}'
                tally.add(name, passed=scenario.status.name == 'passed')
