"""Command line of the measurements."""

import importlib
import logging
import sys
from pathlib import Path
from typing import Annotated

import typer

from bench.day import measure as read_logs

_NAMES = (
    'decide',
    'pack',
    'flood',
    'recover',
    'path',
    'control',
    'tombstones',
    'rounds',
    'routes',
)
_READS_LOGS = 'day'


def main(
    name: Annotated[
        str, typer.Argument(help=', '.join((*_NAMES, _READS_LOGS)))
    ],
    path: Annotated[
        Path | None,
        typer.Argument(help='Log file of a simulated day, for "day".'),
    ] = None,
    json: Annotated[bool, typer.Option(help='Print JSON.')] = False,
) -> None:
    """Run a measurement; exit with 1 if a target isn't met, 2 if unknown."""
    if name == _READS_LOGS and path is not None and path.is_file():
        sys.exit(read_logs(path).print(as_json=json))
    if name not in _NAMES:
        typer.echo(
            f'no measurement {name!r}; use one of {_NAMES}, '
            f'or {_READS_LOGS} with a log file',
            err=True,
        )
        raise typer.Exit(2)
    logging.disable(logging.CRITICAL)
    module = importlib.import_module(f'bench.{name}')
    report = module.measure()
    sys.exit(report.print(as_json=json))


if __name__ == '__main__':
    typer.run(main)
