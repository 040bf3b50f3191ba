"""Entry point of a sidecar: ``python -m damaskproxy.sidecar SETTINGS``."""

import sys

from damaskproxy.sidecar.early_signals import EarlySignals


def main() -> int:
    """Run a sidecar with the given settings file; return the exit status."""
    signals = EarlySignals()
    signals.install()
    # Imported after the handlers are installed: the imports take most of the start.
    from damaskproxy.sidecar.command import run_command

    return run_command(sys.argv[1:], signals)


if __name__ == "__main__":
    sys.exit(main())
