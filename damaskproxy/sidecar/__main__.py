"""Entry point of a sidecar: ``python -m damaskproxy.sidecar SETTINGS``."""

import sys

import uvloop

from damaskproxy.events import DroppingOutput, configure_logging
from damaskproxy.sidecar.lifecycle import run_sidecar
from damaskproxy.sidecar.listening import ListenerError
from damaskproxy.sidecar.settings import SidecarSettingsError, load_settings

EXIT_SETTINGS = 2


def main() -> int:
    """Run a sidecar with the given settings file; return the exit status."""
    if len(sys.argv) != 2:
        print("usage: python -m damaskproxy.sidecar SETTINGS", file=sys.stderr)
        return EXIT_SETTINGS
    path = sys.argv[1]
    try:
        settings = load_settings(path)
    except SidecarSettingsError as error:
        print(f"damaskproxy: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    output = DroppingOutput(sys.stdout)
    configure_logging(
        level=settings.log_level,
        stream=output,
        node_id=settings.node_id,
        lines_per_s=settings.log_lines_per_s,
    )
    try:
        uvloop.run(run_sidecar(settings, path, lambda: output.dropped_count))
    except ListenerError as error:
        print(f"damaskproxy: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main())
