"""Command line that runs the stand-ins for platform and workers."""

import signal
from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from cyclamentrack.ports import Instance, StartCommand
from cyclamentrack_daemon.serving import serve_http
from cyclamentrack_standins.fleets import FleetFile, build_instances
from cyclamentrack_standins.http import PlatformStandin

app = typer.Typer(add_completion=False)


@app.command()
def serve(
    fleet: Annotated[Path, typer.Option(help='Fleet file (TOML).')],
    address: Annotated[str, typer.Option(help='ip:port to listen on.')],
    lag_s: Annotated[
        float, typer.Option(help='Delay of the instance list, s.')
    ] = 0.5,
    writes_per_s: Annotated[
        float,
        typer.Option(
            help='Write budget of the table service, writes per second.'
        ),
    ] = 400,
    run_factor: Annotated[
        float,
        typer.Option(help='Ratio of real to declared run time.'),
    ] = 1,
) -> None:
    """Serve stand-ins for the platform and its workers over HTTP."""
    parsed = msgspec.toml.decode(fleet.read_bytes(), type=FleetFile)
    instances = build_instances(parsed, address=address)

    def real_run_s(command: StartCommand) -> float:
        return command.run_s * run_factor

    trio.run(
        _serve,
        address,
        instances,
        lag_s,
        writes_per_s,
        real_run_s,
    )


async def _serve(
    address: str,
    instances: list[Instance],
    lag_s: float,
    writes_per_s: float,
    real_run_s: object,
) -> None:
    async with trio.open_nursery() as nursery:
        standin = PlatformStandin(
            nursery=nursery,
            instances=instances,
            lag_s=lag_s,
            writes_per_s=writes_per_s,
            real_run_s=real_run_s,
        )
        nursery.start_soon(_serve_app, standin, address)
        with trio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
        ) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()
                return


async def _serve_app(standin: PlatformStandin, address: str) -> None:
    await serve_http(
        standin.app(),
        address,
        shutdown=trio.sleep_forever,
    )


if __name__ == '__main__':
    app()
