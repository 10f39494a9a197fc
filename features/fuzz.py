"""Run only the stateful fuzzing: ``python -m features.fuzz --seeds N``."""

import logging
import random
import sys
from typing import Annotated

import typer
from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis import seed as set_seed
from hypothesis.stateful import run_state_machine_as_test

from features.harness.machine import CellMachine

_STEPS_PER_EXAMPLE = 25
_CI_EXAMPLES = 25


def fuzz_settings(examples: int, *, derandomize: bool) -> settings:
    """Return settings without a wall-clock deadline or example database."""
    return settings(
        max_examples=examples,
        stateful_step_count=_STEPS_PER_EXAMPLE,
        derandomize=derandomize,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate, Phase.shrink),
        print_blob=False,
        verbosity=Verbosity.normal,
    )


def run_fuzz(machine: type[CellMachine], *, examples: int) -> None:
    """Run the same examples on every call; raise on the first failure."""
    run_state_machine_as_test(
        machine, settings=fuzz_settings(examples, derandomize=True)
    )


def main(
    seeds: Annotated[int, typer.Option(help='Number of seeds to run.')] = 20,
    first: Annotated[int, typer.Option(help='The first seed.')] = 1,
    examples: Annotated[int, typer.Option(help='Examples per seed.')] = 25,
) -> None:
    """Fuzz with several seeds; stop at the first failure."""
    logging.disable(logging.CRITICAL)
    for number in range(first, first + seeds):
        random.seed(number)
        machine = set_seed(number)(CellMachine.TestCase)
        machine.settings = fuzz_settings(examples, derandomize=False)
        sys.stdout.write(f'seed {number}\n')
        sys.stdout.flush()
        machine().runTest()


if __name__ == '__main__':
    typer.run(main)
