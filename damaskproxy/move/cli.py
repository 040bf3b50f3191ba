"""Command line of ``damask-move``."""

import asyncio
import getpass
import shlex
import uuid
from datetime import UTC, datetime
from typing import Annotated

import typer

from damaskproxy.common.version import make_version_printer
from damaskproxy.move.cli_support import (
    ExitCode,
    FileArgument,
    TableOption,
    TimeoutOption,
    fail,
    invalid,
    opened_table,
    parsed_file,
    run_command,
)
from damaskproxy.move.diff import diff_sections
from damaskproxy.move.document import Invalid, document_of, encode_document, section_of
from damaskproxy.move.edit import (
    Accepted,
    EditConflict,
    EditResult,
    check_against_table,
    edit_section,
)
from damaskproxy.move.errors import DocumentUnavailable
from damaskproxy.move.reading import read_head, read_history, read_section
from damaskproxy.move.resolve import resolve_edit
from damaskproxy.move.watch import Progress, progress_of, read_statuses

__all__ = ["app", "main"]

DEFAULT_TIMEOUT_MS = 2_000

SectionArgument = Annotated[str, typer.Argument(help="Name of the section.")]

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="Shows and edits the move document.",
)


@app.callback()
def options(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=make_version_printer("damask-move"),
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    """Show and edit the move document."""
    del version


def default_author() -> str:
    """Return the name of the user, for the history."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


async def current_record(table, name: str, version: int | None = None):
    """Return a version of a section, or exit."""
    record = await read_section(table, name, version)
    if record is None:
        which = "" if version is None else f" version {version}"
        raise fail(ExitCode.NOT_FOUND, f"there is no section {name!r}{which}")
    return record


@app.command()
def show(
    table: TableOption,
    section: Annotated[str | None, typer.Argument(help="All by default.")] = None,
    version: Annotated[int | None, typer.Option(min=1)] = None,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Print the sections with their versions, or one section as JSON for an edit."""

    async def command():
        async with opened_table(table, timeout_ms) as client:
            if section is None:
                for name, latest in sorted((await read_head(client)).items()):
                    typer.echo(f"{name} version {latest}")
                return
            record = await current_record(client, section, version)
            text = encode_document(document_of(record.section)).decode()
            typer.echo(text, nl=False)

    run_command(command)


@app.command()
def edit(
    file: FileArgument,
    table: TableOption,
    base_version: Annotated[
        int | None,
        typer.Option(min=0, help="Version that the edit was made on; 0 is new."),
    ] = None,
    author: Annotated[str, typer.Option(help="For the history.")] = "",
    edit_id: Annotated[
        str, typer.Option(help="To send an earlier edit again; new by default.")
    ] = "",
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Replace a section; the base version is the field version unless given."""
    data, document = parsed_file(file)
    base = document.version if base_version is None else base_version
    if base is None:
        message = "no base version: keep the field version, or give --base-version"
        raise fail(ExitCode.INVALID, message)
    identity = edit_id or uuid.uuid4().hex
    again = shlex.join(["damask-move", "resolve", identity, "--table", table])

    async def command():
        async with opened_table(table, timeout_ms) as client:
            result = await edit_section(
                client, data, base, identity, author or default_author()
            )
            report_edit(result, again)

    try:
        run_command(command)
    except KeyboardInterrupt:
        raise fail(ExitCode.UNKNOWN, unknown("interrupted", again)) from None


def unknown(detail: str, again: str) -> str:
    """Return the message for an edit that may be accepted."""
    return f"unknown: the edit may be accepted ({detail}); run: {again}"


def report_edit(result: EditResult, again: str) -> None:
    """Print the result of an edit and exit unless it was accepted."""
    if isinstance(result, Accepted):
        typer.echo(f"accepted: section {result.section} version {result.version}")
    elif isinstance(result, Invalid):
        raise invalid(result)
    elif isinstance(result, EditConflict):
        raise conflict(result)
    else:
        raise fail(ExitCode.UNKNOWN, unknown(result.detail, again))


def conflict(result: EditConflict) -> typer.Exit:
    """Print what the others changed and return the exit to raise."""
    if result.current is None:
        message = f"conflict: there is no section {result.name!r}"
        return fail(ExitCode.CONFLICT, f"{message}; a new one has base version 0")
    for change in result.changes:
        typer.echo(f"{result.name}: {change}", err=True)
    return fail(
        ExitCode.CONFLICT,
        f"conflict: {result.author} made version {result.current.version} of "
        f"{result.name} at {time_text(result.edited_at_ms)}; this edit was made on "
        f"version {result.base_version}; nothing was changed",
    )


def time_text(unix_ms: int) -> str:
    """Return a time in UTC as text."""
    time = datetime.fromtimestamp(unix_ms / 1000, UTC)
    return time.isoformat(sep=" ", timespec="seconds")


@app.command()
def validate(
    file: FileArgument,
    table: Annotated[
        str,
        typer.Option(help="Check the owners of section and services there as well."),
    ] = "",
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Check a section without changing anything."""
    _, document = parsed_file(file)

    async def command():
        async with opened_table(table, timeout_ms) as client:
            faults = await check_against_table(client, document)
            if faults:
                raise invalid(Invalid(tuple(faults)))

    if table:
        run_command(command)
    typer.echo(f"valid: section {document.name}")


@app.command()
def diff(
    section: SectionArgument,
    table: TableOption,
    file: Annotated[
        str, typer.Option(help="Compare with this file; - for input.")
    ] = "",
    old: Annotated[
        int | None, typer.Option("--from", min=0, help="Version to start from.")
    ] = None,
    new: Annotated[
        int | None, typer.Option("--to", min=1, help="Version to end with.")
    ] = None,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Print what changed: by the latest edit, between versions, or in a file."""
    document = parsed_file(file)[1] if file else None
    if document is not None and (new is not None or document.name != section):
        message = f"--file must hold section {section!r} and excludes --to"
        raise fail(ExitCode.FAILED, message)

    async def command():
        async with opened_table(table, timeout_ms) as client:
            latest = (await current_record(client, section, new)).section
            first, last = old, latest
            if document is not None:
                first = latest.version if old is None else old
                last = section_of(document, version=0, edit_id="")
            elif old is None:
                first = latest.version - 1
            before = await current_record(client, section, first) if first else None
            changes = diff_sections(before.section if before else None, last)
            for change in changes:
                typer.echo(str(change))

    run_command(command)


@app.command()
def history(
    section: SectionArgument,
    table: TableOption,
    limit: Annotated[int, typer.Option(min=1, max=1_000)] = 20,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Print the accepted versions of a section, newest first."""

    async def command():
        async with opened_table(table, timeout_ms) as client:
            await current_record(client, section)
            for entry in await read_history(client, section, limit):
                head = f"version {entry.version}  {time_text(entry.edited_at_ms)}"
                typer.echo(f"{head}  {entry.author}  edit {entry.edit_id}")
                for change in entry.changes:
                    typer.echo(f"    {change}")

    run_command(command)


@app.command()
def resolve(
    edit_id: Annotated[str, typer.Argument(help="Identity that the edit printed.")],
    table: TableOption,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Decide an edit whose answer was lost; if not accepted, it never will be."""

    async def command():
        async with opened_table(table, timeout_ms) as client:
            try:
                result = await resolve_edit(client, edit_id)
            except DocumentUnavailable as error:
                message = f"unknown: {error}; run this command again"
                raise fail(ExitCode.UNKNOWN, message) from error
        if not isinstance(result, Accepted):
            message = f"not accepted: edit {edit_id} changed nothing and never will"
            raise fail(ExitCode.NOT_FOUND, message)
        typer.echo(f"accepted: section {result.section} version {result.version}")

    run_command(command)


@app.command()
def watch(
    table: TableOption,
    node: Annotated[
        list[str], typer.Option(help="Admin listener of a node; repeatable.")
    ],
    section: Annotated[str | None, typer.Argument(help="All by default.")] = None,
    once: Annotated[bool, typer.Option(help="Print once.")] = False,
    wait: Annotated[
        bool, typer.Option(help="End when all is in force and nothing drains.")
    ] = False,
    interval_ms: Annotated[int, typer.Option(min=100, max=60_000)] = 1_000,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Show on how many nodes each section is in force and what still drains."""
    nodes = list(dict.fromkeys(node))

    async def command():
        async with opened_table(table, timeout_ms) as client:
            while True:
                progress = await look(client, section, nodes, timeout_ms / 1000)
                for line in progress.lines():
                    typer.echo(line)
                if once:
                    raise typer.Exit(once_code(progress))
                if wait and progress.is_settled():
                    return
                await asyncio.sleep(interval_ms / 1000)
                typer.echo("")

    try:
        run_command(command)
    except KeyboardInterrupt:
        raise typer.Exit(ExitCode.DONE) from None


def once_code(progress: Progress) -> ExitCode:
    """Return the exit code of one look."""
    return ExitCode.DONE if progress.is_in_force() else ExitCode.NOT_YET


async def look(
    table, section: str | None, nodes: list[str], timeout_s: float
) -> Progress:
    """Compare the accepted versions with those in force.

    While the table is unavailable, nothing new is accepted, and the newest version on
    any node stands for the accepted one.
    """
    statuses = await read_statuses(nodes, timeout_s)
    try:
        versions = await read_head(table)
    except DocumentUnavailable as error:
        message = f"damask-move: {error}; showing the newest versions on the nodes"
        typer.echo(message, err=True)
        versions = newest_versions(statuses)
    if section is not None and section not in versions:
        raise fail(ExitCode.NOT_FOUND, f"there is no section {section!r}")
    names = sorted(versions) if section is None else [section]
    return progress_of({name: versions[name] for name in names}, statuses)


def newest_versions(statuses) -> dict[str, int]:
    """Return the newest version of each section on any node."""
    versions: dict[str, int] = {}
    for status in filter(None, statuses.values()):
        for name, version in status.sections.items():
            versions[name] = max(version, versions.get(name, 0))
    return versions


def main() -> None:
    """Run the program."""
    app(prog_name="damask-move")


if __name__ == "__main__":
    main()
