"""Run a soak of the job cell by hand: ``python -m features.soak --seeds N``."""

import asyncio
import functools
import logging
import sys
from typing import Annotated

import typer

from features.harness.soak import Soak
from features.processes.crowd_soak import CrowdSoak
from features.processes.soak import ProcessSoak


def main(
    *,
    seeds: Annotated[int, typer.Option(help='Number of seeds to run.')] = 50,
    first: Annotated[int, typer.Option(help='The first seed.')] = 1,
    processes: Annotated[
        bool, typer.Option(help='Play real processes on a real clock.')
    ] = False,
    crowds: Annotated[
        bool, typer.Option(help='Play crowds of clients on real processes.')
    ] = False,
) -> None:
    """Play several seeds; print what went wrong, and fail if anything did."""
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + seeds):
        play = _play
        if processes or crowds:
            play = functools.partial(
                _play_processes, CrowdSoak if crowds else ProcessSoak
            )
        problems, played = play(seed)
        failed += bool(problems)
        sys.stdout.write(f'seed {seed}: {problems or "whole"}\n')
        if problems:
            sys.stdout.write(f'  {played}\n')
        sys.stdout.flush()
    sys.exit(1 if failed else 0)


def _play(seed):
    soak = Soak(seed=seed)
    return soak.play(), soak.played


def _play_processes(kind, seed):
    soak = kind(seed=seed)
    return asyncio.run(soak.play()), (str(soak.folder), soak.played)


if __name__ == '__main__':
    typer.run(main)
