"""Command line of the measurements."""

import importlib
import logging
import sys
from pathlib import Path
from typing import Annotated

import typer

from bench import day, takeovers

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
    'wide',
)
_LOG_REPORTS = {'day': day.measure, 'takeovers': takeovers.measure}


def main(
    name: Annotated[
        str, typer.Argument(help=', '.join((*_NAMES, *_LOG_REPORTS)))
    ],
    path: Annotated[
        Path | None,
        typer.Argument(
            help='Log file of a played day, for "day" and "takeovers".'
        ),
    ] = None,
    json: Annotated[bool, typer.Option(help='Print JSON.')] = False,
) -> None:
    """Run a measurement; exit with 1 if a target isn't met, 2 if unknown."""
    if name in _LOG_REPORTS and path is not None and path.is_file():
        sys.exit(_LOG_REPORTS[name](path).print(as_json=json))
    if name not in _NAMES:
        typer.echo(
            f'no measurement {name!r}; use one of {_NAMES}, '
            f'or one of {list(_LOG_REPORTS)} with a log file',
            err=True,
        )
        raise typer.Exit(2)
    logging.disable(logging.CRITICAL)
    module = importlib.import_module(f'bench.{name}')
    report = module.measure()
    sys.exit(report.print(as_json=json))


if __name__ == '__main__':
    typer.run(main)
