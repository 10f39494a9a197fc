"""Command line of the measurements."""

import importlib
import logging
import sys
from typing import Annotated

import typer

_NAMES = (
    'decide',
    'pack',
    'flood',
    'recover',
    'path',
    'control',
    'tombstones',
)


def main(
    name: Annotated[str, typer.Argument(help=', '.join(_NAMES))],
    json: Annotated[bool, typer.Option(help='Print JSON.')] = False,
) -> None:
    """Measure; exit 1 when a target isn't met."""
    if name not in _NAMES:
        typer.echo(f'no measurement {name}; use one of {_NAMES}', err=True)
        raise typer.Exit(2)
    logging.disable(logging.CRITICAL)
    module = importlib.import_module(f'bench.{name}')
    report = module.measure()
    sys.exit(report.print(as_json=json))


if __name__ == '__main__':
    typer.run(main)
