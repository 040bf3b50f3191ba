"""Command line of ``damask-node``."""

import asyncio
import dataclasses
import json
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Annotated

import typer
import uvloop

import damaskproxy.forwarding.events  # noqa: F401 (registers its events)
from damaskproxy.common import DamaskError
from damaskproxy.common.version import make_version_printer
from damaskproxy.config import NodeSettings, SettingsError, load_settings
from damaskproxy.events import configure_logging
from damaskproxy.events.request_log import format_entry, read_request_log
from damaskproxy.forwarding.refusal_meanings import explain_refusal
from damaskproxy.move.watch import MAX_STATUS_BYTES
from damaskproxy.node.lifecycle import run_node
from damaskproxy.node.status import format_status
from damaskproxy.sidecar import (
    SidecarSettingsError,
    format_top,
    load_settings as load_sidecar_settings,
)

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_UNREACHABLE = 3
STATUS_TIMEOUT_S = 5.0

app = typer.Typer(
    help="Overload control proxy next to a backend server.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

SettingsPath = Annotated[Path, typer.Argument(help="JSON file with the settings.")]


def _fail(message: str, code: int) -> typer.Exit:
    print(f"damask-node: {message}", file=sys.stderr)
    return typer.Exit(code)


def _load(path: Path) -> NodeSettings:
    try:
        return load_settings(path)
    except SettingsError as error:
        raise _fail(str(error), EXIT_SETTINGS) from error


@app.callback()
def _options(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=make_version_printer("damask-node"),
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    del version


@app.command()
def run(settings_path: SettingsPath) -> None:
    """Run a node until SIGTERM; requests in flight complete before it exits."""
    settings = _load(settings_path)
    configure_logging(style=settings.log.style, level=settings.log.level)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            code = runner.run(run_node(settings))
    except DamaskError as error:
        raise _fail(str(error), EXIT_FAILED) from error
    except KeyboardInterrupt:
        code = EXIT_FAILED
    raise typer.Exit(code)


@app.command()
def check(settings_path: SettingsPath) -> None:
    """Validate a settings file without starting the node."""
    settings = _load(settings_path)
    print(f"{settings_path}: ok (node {settings.node_id})")


@app.command()
def status(
    admin: Annotated[
        str, typer.Option(help="Address of the admin listener, IP:PORT.")
    ] = "127.0.0.1:9901",
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the JSON object.")
    ] = False,
) -> None:
    """Print the status of a running node."""
    current = _read_status(admin)
    print(json.dumps(current, indent=2) if as_json else format_status(current))


def _read_status(address: str) -> dict:
    url = f"http://{address}/status"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as response:
            return json.loads(response.read(MAX_STATUS_BYTES))
    except (urllib.error.URLError, OSError, ValueError) as error:
        raise _fail(f"no status from {address}: {error}", EXIT_UNREACHABLE) from error


@app.command()
def top(
    metrics: Annotated[
        str, typer.Argument(help="Address of the metrics listener, IP:PORT.")
    ],
    interval_s: Annotated[
        float, typer.Option(min=0.1, help="Interval between updates, in seconds.")
    ] = 1.0,
    count: Annotated[
        int, typer.Option(min=0, help="Number of updates, 0 for no limit.")
    ] = 0,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per line.")
    ] = False,
) -> None:
    """Print load, counters and members of a sidecar at a fixed interval."""
    previous = None
    update_count = 0
    while True:
        current = _read_status(metrics)
        print(
            json.dumps(current) if as_json else format_top(current, previous),
            flush=True,
        )
        previous = current
        update_count += 1
        if update_count == count:
            return
        if not as_json:
            print()
        time.sleep(interval_s)


@app.command()
def check_sidecar(settings_path: SettingsPath) -> None:
    """Validate the settings file of a sidecar on the prepared machines."""
    try:
        settings = load_sidecar_settings(str(settings_path))
    except SidecarSettingsError as error:
        raise _fail(str(error), EXIT_SETTINGS) from error
    print(f"{settings_path}: ok (node {settings.node_id})")


@app.command()
def explain(
    log_paths: Annotated[
        list[Path], typer.Argument(metavar="LOGFILE...", help="Log files of the nodes.")
    ],
    request: Annotated[str, typer.Option(help="Request id.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per line.")
    ] = False,
) -> None:
    """Print the log entries of one request from the logs of several nodes."""
    lines: list[str] = []
    for path in log_paths:
        try:
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise _fail(f"cannot read {path}: {error}", EXIT_FAILED) from error
    entries = read_request_log(lines, request)
    for entry in entries:
        if as_json:
            print(json.dumps(dataclasses.asdict(entry)))
            continue
        print(format_entry(entry))
        if meaning := explain_refusal(entry.fields):
            print(f"    {entry.fields['reason']}: {meaning}")
    if not entries:
        raise _fail(f"no log entry for request {request}", EXIT_FAILED)


def main() -> None:
    """Run the command line."""
    app(prog_name="damask-node")


if __name__ == "__main__":
    main()
