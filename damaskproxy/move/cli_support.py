"""Options, exit codes and error output of ``damask-move``."""

import sys
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from enum import IntEnum
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import uvloop

from damaskproxy.move.document import Document, InvalidDocument, parse_document
from damaskproxy.move.errors import DocumentUnavailable, MoveError
from damaskproxy.store import PlatformSettings, open_table

__all__ = [
    "ExitCode",
    "FileArgument",
    "TableOption",
    "TimeoutOption",
    "fail",
    "fail_invalid",
    "open_table_client",
    "read_document",
    "read_file",
    "run_command",
]

MAX_LISTED_ISSUES = 20


class ExitCode(IntEnum):
    """Exit codes; 2 is reserved for usage errors, which typer reports."""

    DONE = 0
    FAILED = 1
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_FOUND = 7
    NOT_YET = 8


TableOption = Annotated[
    str,
    typer.Option("--table", envvar="DAMASK_TABLE", help="URL of the table service."),
]
TimeoutOption = Annotated[
    int,
    typer.Option(min=10, max=60_000, help="Longest wait for one response, in ms."),
]
FileArgument = Annotated[
    str, typer.Argument(help="JSON file, or - for standard input.")
]


def fail(code: ExitCode, message: str) -> typer.Exit:
    """Print `message` on one line of stderr and return the exit to raise."""
    typer.echo("damask-move: " + " ".join(message.split()), err=True)
    return typer.Exit(code)


def run_command(command: Callable[[], Awaitable[None]]) -> None:
    """Run `command` and convert errors of the move document to exits."""
    try:
        uvloop.run(command())
    except DocumentUnavailable as error:
        raise fail(ExitCode.UNAVAILABLE, f"{error}; nothing was changed") from error
    except MoveError as error:
        raise fail(ExitCode.FAILED, str(error)) from error


@asynccontextmanager
async def open_table_client(url: str, timeout_ms: int):
    """Open a client of the table service and close it at the end of the block."""
    try:
        settings = msgspec.convert(
            {"table_url": url, "objects_url": url, "timeout_ms": timeout_ms},
            PlatformSettings,
        )
    except msgspec.ValidationError as error:
        message = f"--table {url!r} is not a URL such as http://10.0.0.1:7101"
        raise fail(ExitCode.FAILED, message) from error
    table = open_table(settings)
    try:
        yield table
    finally:
        await table.close()


def read_file(path: str) -> bytes:
    """Return the content of a file, or of standard input for ``-``."""
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as error:
        message = f"cannot read {path}: {error.strerror}"
        raise fail(ExitCode.FAILED, message) from error


def read_document(path: str) -> tuple[bytes, Document]:
    """Return the content of a file and the document in it, or exit if invalid."""
    data = read_file(path)
    document = parse_document(data)
    if isinstance(document, InvalidDocument):
        raise fail_invalid(document)
    return data, document


def fail_invalid(result: InvalidDocument) -> typer.Exit:
    """Print each issue on one line and return the exit to raise."""
    for issue in result.issues[:MAX_LISTED_ISSUES]:
        code = fail(ExitCode.INVALID, f"invalid: {issue}")
    omitted = len(result.issues) - MAX_LISTED_ISSUES
    if omitted > 0:
        code = fail(ExitCode.INVALID, f"invalid: {omitted} more issues")
    return code
