"""Command line of ``damask-table``, the stand-in for the table service."""

from damaskproxy.standins.service_cli import make_app
from damaskproxy.standins.table import start_table

__all__ = ["app", "main"]

DEFAULT_PORT = 7101

app = make_app(
    "damask-table",
    start_table,
    DEFAULT_PORT,
    "Serve an in-memory table service; its content is lost on exit.",
)


def main() -> None:
    """Run the program."""
    app(prog_name="damask-table")


if __name__ == "__main__":
    main()
