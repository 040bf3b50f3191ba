"""Command of a sidecar, from its arguments to its exit status."""

import sys

import uvloop

from damaskproxy.events import DroppingOutput, configure_logging
from damaskproxy.sidecar.early_signals import EarlySignals
from damaskproxy.sidecar.lifecycle import run_sidecar
from damaskproxy.sidecar.listening import ListenerError
from damaskproxy.sidecar.settings import SidecarSettingsError, load_first_settings

__all__ = ["run_command"]

EXIT_SETTINGS = 2


def run_command(arguments: list[str], signals: EarlySignals) -> int:
    """Run a sidecar until it is stopped.

    Parameters
    ----------
    arguments : list of str
        Path of the settings file.
    signals : EarlySignals
        Signals that have arrived so far.

    Returns
    -------
    int
        Exit status: 0 after a stop, 2 if the settings are invalid.
    """
    if len(arguments) != 1:
        print("usage: python -m damaskproxy.sidecar SETTINGS", file=sys.stderr)
        return EXIT_SETTINGS
    (path,) = arguments
    # Nobody may read it: a message must neither wait for a reader nor raise.
    errors = DroppingOutput(sys.stderr)
    try:
        settings, stamp = load_first_settings(path, errors.write)
    except SidecarSettingsError as error:
        errors.write(f"damaskproxy: {error}\n")
        return EXIT_SETTINGS
    output = DroppingOutput(sys.stdout)
    configure_logging(
        level=settings.log_level,
        stream=output,
        node_id=settings.node_id,
        lines_per_s=settings.log_lines_per_s,
    )
    try:
        uvloop.run(
            run_sidecar(settings, path, lambda: output.dropped_count, stamp, signals)
        )
    except ListenerError as error:
        errors.write(f"damaskproxy: {error}\n")
        return EXIT_SETTINGS
    return 0
