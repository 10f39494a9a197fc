"""Output of the command line: tables for people, JSON for scripts."""

from collections.abc import Sequence
from typing import Any, NoReturn

import msgspec
import typer

from cyclamentrack_cli.client import ClientError

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4

_WIDTH = 100


def print_json(answer: Any) -> None:
    """Print an answer as one line of JSON."""
    typer.echo(msgspec.json.encode(answer).decode())


def print_table(headings: Sequence[str], rows: list[list[str]]) -> None:
    """Print a table that fits 100 columns."""
    widths = [
        max(len(row[index]) for row in [list(headings), *rows])
        for index in range(len(headings))
    ]
    for row in [list(headings), *rows]:
        line = '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        typer.echo(line.rstrip()[:_WIDTH])


def refuse(error: ClientError) -> NoReturn:
    """Print an error with its remedy and exit."""
    typer.echo(f'cyclamentrack: {error.title}: {error.detail}', err=True)
    typer.echo(f'  remedy: {error.remedy}', err=True)
    typer.echo(f'  ran: {error.ran}', err=True)
    if error.retry_after_s is not None:
        typer.echo(f'  retry after: {error.retry_after_s:.0f} s', err=True)
    unreachable = error.title == 'daemon not reached'
    raise typer.Exit(EXIT_UNREACHABLE if unreachable else EXIT_REFUSED)
