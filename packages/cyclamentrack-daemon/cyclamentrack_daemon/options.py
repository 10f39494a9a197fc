"""Options of the daemon's command line."""

import logging
from pathlib import Path
from typing import Annotated

import trio
import typer
from returns.result import Failure, Success

from cyclamentrack.errors import SettingsError
from cyclamentrack_daemon.daemon import Daemon
from cyclamentrack_daemon.early_signals import EarlySignals
from cyclamentrack_daemon.logs import set_up_logging
from cyclamentrack_daemon.settings import Settings, load_settings

_log = logging.getLogger(__name__)

_EXIT_SETTINGS = 2

app = typer.Typer(add_completion=False)


@app.command()
def run(
    context: typer.Context,
    config: Annotated[
        Path,
        typer.Option(help='Settings file (TOML).'),
    ],
    check: Annotated[
        bool,
        typer.Option(help='Check the settings and exit.'),
    ] = False,
) -> None:
    """Run one daemon of a cyclamentrack cell.

    On SIGTERM it hands over its partitions and answers the requests in
    flight. Exit status 2 means that the settings are invalid.
    """
    match load_settings(config):
        case Failure(error):
            _exit_with_error(error)
        case Success(settings):
            if check:
                typer.echo('settings are valid')
                return
            _serve(settings, context.obj)


def _serve(settings: Settings, signals: EarlySignals) -> None:
    set_up_logging(settings.log, instance=settings.instance.name)
    try:
        daemon = Daemon(settings=settings, signals=signals)
    except SettingsError as error:
        _exit_with_error(error)
    if signals.ending is None:
        trio.run(daemon.run)
    signals.ignore()


def _exit_with_error(error: SettingsError) -> None:
    typer.echo(f'cyclamentrackd: {error}', err=True)
    raise typer.Exit(_EXIT_SETTINGS)
