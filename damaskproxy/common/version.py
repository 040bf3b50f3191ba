"""Option ``--version`` of the command-line programs."""

from collections.abc import Callable

import typer

from damaskproxy import __version__

__all__ = ["make_version_printer"]


def make_version_printer(program: str) -> Callable[[bool], None]:
    """Return the callback for the option ``--version`` of `program`."""

    def print_version(wanted: bool) -> None:
        if wanted:
            typer.echo(f"{program} {__version__}")
            raise typer.Exit

    return print_version
