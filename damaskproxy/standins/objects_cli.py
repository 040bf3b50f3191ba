"""Command line of ``damask-objects``, the stand-in of the object store."""

from typing import Annotated

import typer
import uvloop

from damaskproxy.standins.objects import start_objects
from damaskproxy.standins.serving import serve_until_signal

__all__ = ["app", "main"]

DEFAULT_PORT = 7102

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def serve(host: str, port: int) -> None:
    """Serve until a signal arrives."""
    running = await start_objects(host, port)
    typer.echo(f"damask-objects listens on {running.url}")
    await serve_until_signal()
    await running.close()


@app.command()
def run(
    host: Annotated[str, typer.Option(help="IP number to listen on.")] = "127.0.0.1",
    port: Annotated[
        int, typer.Option(min=0, max=65535, help="Port, 0 for a free one.")
    ] = DEFAULT_PORT,
) -> None:
    """Serve an in-memory object store; the content is lost at the end."""
    try:
        uvloop.run(serve(host, port))
    except OSError as error:
        typer.echo(f"damask-objects: cannot listen on {host}:{port}: {error}", err=True)
        raise typer.Exit(1) from error


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
