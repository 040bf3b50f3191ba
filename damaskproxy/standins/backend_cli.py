"""Command line of the development backend server."""

import asyncio
import signal
from typing import Annotated

import msgspec
import typer
import uvloop

from damaskproxy.common.version import make_version_printer
from damaskproxy.events import configure_logging
from damaskproxy.standins.backend import start_backend
from damaskproxy.standins.backend_settings import BackendConfig, parse_child

__all__ = ["main"]

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def parse_times(options: list[str]) -> dict[str, float]:
    """Return service times in ms by path prefix from ``PREFIX=MS`` options.

    Raises
    ------
    ValueError
        If an option does not have this form.
    """
    times_ms = {}
    for option in options:
        prefix, equals, value = option.rpartition("=")
        if not equals or not prefix.startswith("/"):
            raise ValueError(f"{option!r} is not of the form /PREFIX=MILLISECONDS")
        times_ms[prefix] = float(value)
    return times_ms


async def serve(config: BackendConfig) -> None:
    """Run a backend server until it has drained after a request to stop."""
    backend = await start_backend(config)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, backend.stop)
    try:
        await backend.stopped.wait()
    finally:
        await backend.close()


@app.command()
def run(
    service: Annotated[str, typer.Option(help="Service that the server announces.")],
    node: Annotated[
        str, typer.Option(help="HOST:PORT of the node's backend listener.")
    ] = "",
    host: Annotated[str, typer.Option(help="IP address to listen on.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port; 0 selects a free one.")] = 0,
    slots: Annotated[
        int, typer.Option(help="Maximum number of concurrent requests.")
    ] = 16,
    waiting: Annotated[
        int, typer.Option(help="Maximum number of requests waiting for a slot.")
    ] = 256,
    service_time_ms: Annotated[float, typer.Option(help="Mean service time.")] = 5.0,
    route_time_ms: Annotated[
        list[str] | None, typer.Option(help="/PREFIX=MS, mean service time of a route.")
    ] = None,
    spread: Annotated[
        float, typer.Option(help="Coefficient of variation of the service time.")
    ] = 0.3,
    straggler_share: Annotated[
        float, typer.Option(help="Share of requests that are stragglers.")
    ] = 0.0,
    straggler_factor: Annotated[
        float, typer.Option(help="Minimum multiplier of a straggler.")
    ] = 5.0,
    cold_factor: Annotated[
        float, typer.Option(help="Multiplier of the first request.")
    ] = 1.0,
    cold_requests: Annotated[
        int, typer.Option(help="Number of requests until the server is warm.")
    ] = 0,
    start_delay_ms: Annotated[
        float, typer.Option(help="Delay of the first announcement.")
    ] = 0.0,
    slow_every_s: Annotated[
        float, typer.Option(help="Mean interval between slow periods.")
    ] = 0,
    slow_for_s: Annotated[float, typer.Option(help="Duration of a slow period.")] = 1.0,
    slow_factor: Annotated[
        float, typer.Option(help="Multiplier in a slow period.")
    ] = 5.0,
    load_lag_ms: Annotated[float, typer.Option(help="Age of the load report.")] = 0.0,
    answer_bytes: Annotated[
        int, typer.Option(help="Length of the filler in a response.")
    ] = 256,
    child: Annotated[
        list[str] | None,
        typer.Option(help="'/PREFIX=METHOD SERVICE/PATH', an outbound call."),
    ] = None,
    history: Annotated[
        str, typer.Option(help="File to append the history of runs to.")
    ] = "",
    seed: Annotated[int, typer.Option(help="Seed of random choices.")] = 0,
    log_style: Annotated[str, typer.Option(help="json or terminal.")] = "terminal",
    log_level: Annotated[
        str, typer.Option(help="Lowest level that is logged.")
    ] = "INFO",
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=make_version_printer("damask-backend"),
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    """Run a development backend server until SIGTERM or POST /damask/stop."""
    del version
    values = dict(locals())
    style, level = values.pop("log_style"), values.pop("log_level")
    children = values.pop("child") or []
    try:
        values["children"] = [msgspec.to_builtins(parse_child(c)) for c in children]
        values["route_time_ms"] = parse_times(values["route_time_ms"] or [])
        config = msgspec.convert(values, BackendConfig)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    configure_logging(style=style, level=level.upper())
    try:
        uvloop.run(serve(config))
    except OSError as error:
        typer.echo(f"damask-backend: cannot listen on {host}:{port}: {error}", err=True)
        raise typer.Exit(1) from None


def main() -> None:
    """Run the command line."""
    app(prog_name="damask-backend")


if __name__ == "__main__":
    main()
