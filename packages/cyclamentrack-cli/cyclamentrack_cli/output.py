"""Output of the commands: tables for people, JSON for scripts."""

from collections.abc import Sequence
from typing import Any, NoReturn

import msgspec
import typer

from cyclamentrack_cli.client import ClientError

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4

_MAX_COLUMNS = 100


def print_json(answer: Any) -> None:
    """Print a decoded reply as one line of JSON."""
    typer.echo(msgspec.json.encode(answer).decode())


def print_table(headings: Sequence[str], rows: list[list[str]]) -> None:
    """Print a table with aligned columns; cut each line at 100 columns."""
    widths = [
        max(len(row[index]) for row in [list(headings), *rows])
        for index in range(len(headings))
    ]
    for row in [list(headings), *rows]:
        line = '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        typer.echo(line.rstrip()[:_MAX_COLUMNS])


def exit_with_error(error: ClientError) -> NoReturn:
    """Print an error with its remedy to stderr and exit.

    The exit status is 4 when no daemon was reached, otherwise 3.
    """
    typer.echo(f'cyclamentrack: {error.title}: {error.detail}', err=True)
    typer.echo(f'  remedy: {error.remedy}', err=True)
    typer.echo(f'  ran: {error.ran}', err=True)
    if error.retry_after_s is not None:
        typer.echo(f'  retry after: {error.retry_after_s:.0f} s', err=True)
    unreachable = error.title == 'daemon not reached'
    raise typer.Exit(EXIT_UNREACHABLE if unreachable else EXIT_REFUSED)
