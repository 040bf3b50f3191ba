"""Command line of ``damask-table``, the stand-in of the table service."""

from typing import Annotated

import typer
import uvloop

from damaskproxy.standins.serving import serve_until_signal
from damaskproxy.standins.table import start_table

__all__ = ["app", "main"]

DEFAULT_PORT = 7101

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def serve(host: str, port: int) -> None:
    """Serve until a signal arrives."""
    running = await start_table(host, port)
    typer.echo(f"damask-table listens on {running.url}")
    await serve_until_signal()
    await running.close()


@app.command()
def run(
    host: Annotated[str, typer.Option(help="IP number to listen on.")] = "127.0.0.1",
    port: Annotated[
        int, typer.Option(min=0, max=65535, help="Port, 0 for a free one.")
    ] = DEFAULT_PORT,
) -> None:
    """Serve an in-memory table service; the content is lost at the end."""
    try:
        uvloop.run(serve(host, port))
    except OSError as error:
        typer.echo(f"damask-table: cannot listen on {host}:{port}: {error}", err=True)
        raise typer.Exit(1) from error


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
