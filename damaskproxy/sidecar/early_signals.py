"""Signals that arrive before the event loop handles them.

Imports nothing but `signal`, since a signal that arrives earlier ends the process.
"""

import os
import signal

__all__ = ["EarlySignals"]

EXIT_STOPPED = 0


class EarlySignals:
    """Handles signals from the start of the program until the event loop does.

    Attributes
    ----------
    is_reload_requested : bool
        Whether SIGHUP has arrived, which asks for the settings to be loaded again.
    """

    def __init__(self):
        self.is_reload_requested = False

    def install(self) -> None:
        """Handle SIGHUP, SIGTERM and SIGINT; ignore SIGUSR1 and SIGUSR2.

        SIGTERM and SIGINT end the process at once: nothing has been accepted yet.
        """
        signal.signal(signal.SIGHUP, self._request_reload)
        signal.signal(signal.SIGINT, _exit)
        signal.signal(signal.SIGTERM, _exit)
        # Tools that rotate logs send these; without a handler they end the process.
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)
        signal.signal(signal.SIGUSR2, signal.SIG_IGN)

    def _request_reload(self, number, frame) -> None:
        self.is_reload_requested = True


def _exit(number, frame) -> None:
    # An exception could be raised, and lost, in the import of an extension module.
    os._exit(EXIT_STOPPED)
