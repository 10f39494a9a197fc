"""Run the job cell's soak by hand: ``python -m features.soak --seeds N``."""

import logging
import sys
from typing import Annotated

import typer

from features.harness.soak import Soak


def main(
    seeds: Annotated[int, typer.Option(help='Number of seeds to run.')] = 50,
    first: Annotated[int, typer.Option(help='The first seed.')] = 1,
) -> None:
    """Play several seeds; print what went wrong, and fail if anything did."""
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + seeds):
        soak = Soak(seed=seed)
        problems = soak.play()
        failed += bool(problems)
        sys.stdout.write(f'seed {seed}: {problems or "whole"}\n')
        if problems:
            sys.stdout.write(f'  {soak.played}\n')
        sys.stdout.flush()
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    typer.run(main)
