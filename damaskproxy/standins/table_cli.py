"""Command line of ``damask-table``, the stand-in of the table service."""

from damaskproxy.standins.service_cli import make_app
from damaskproxy.standins.table import start_table

__all__ = ["app", "main"]

DEFAULT_PORT = 7101

app = make_app(
    "damask-table",
    start_table,
    DEFAULT_PORT,
    "Serve an in-memory table service; the content is lost at the end.",
)


def main() -> None:
    """Run the program."""
    app(prog_name="damask-table")


if __name__ == "__main__":
    main()
