"""Command line of ``damask-objects``, the stand-in for the object store."""

from damaskproxy.standins.objects import start_objects
from damaskproxy.standins.service_cli import make_app

__all__ = ["app", "main"]

DEFAULT_PORT = 7102

app = make_app(
    "damask-objects",
    start_objects,
    DEFAULT_PORT,
    "Serve an in-memory object store; its content is lost on exit.",
)


def main() -> None:
    """Run the program."""
    app(prog_name="damask-objects")


if __name__ == "__main__":
    main()
