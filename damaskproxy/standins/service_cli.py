"""Command line shared by the stand-ins for the platform's services."""

from collections.abc import Awaitable, Callable
from typing import Annotated, Protocol

import typer
import uvloop

from damaskproxy.common.version import make_version_printer
from damaskproxy.standins.serving import serve_until_signal

__all__ = ["make_app"]


class RunningService(Protocol):
    """A running stand-in."""

    url: str

    async def close(self) -> None:
        """Stop the stand-in."""


StartService = Callable[[str, int], Awaitable[RunningService]]


def make_app(
    program: str, start: StartService, default_port: int, description: str
) -> typer.Typer:
    """Return the command-line application of a stand-in.

    Parameters
    ----------
    program : str
        Name of the program in messages.
    start : callable
        Coroutine function that starts the stand-in on a host and a port.
    default_port : int
        Default of the option ``--port``.
    description : str
        Help text of the program.
    """
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

    async def serve(host: str, port: int) -> None:
        running = await start(host, port)
        typer.echo(f"{program} listens on {running.url}")
        await serve_until_signal()
        await running.close()

    @app.command(help=description)
    def run(
        host: Annotated[str, typer.Option(help="IP address to listen on.")] = (
            "127.0.0.1"
        ),
        port: Annotated[
            int, typer.Option(min=0, max=65535, help="Port; 0 selects a free one.")
        ] = default_port,
        version: Annotated[
            bool,
            typer.Option(
                "--version",
                callback=make_version_printer(program),
                is_eager=True,
                help="Print the version and exit.",
            ),
        ] = False,
    ) -> None:
        del version
        try:
            uvloop.run(serve(host, port))
        except OSError as error:
            typer.echo(f"{program}: cannot listen on {host}:{port}: {error}", err=True)
            raise typer.Exit(1) from error

    return app
