"""Output of log lines that never blocks the process."""

import os
from typing import TextIO

__all__ = ["DroppingOutput"]

PENDING_MAX_BYTES = 65536
"""Lines that wait for a slow reader; later ones are dropped."""


class DroppingOutput:
    """Text stream over a pipe or file that drops lines while the reader is slow.

    Parameters
    ----------
    stream : file object
        Its descriptor is made non-blocking.

    Attributes
    ----------
    dropped_count : int
        Lines that were dropped so far.
    """

    def __init__(self, stream: TextIO):
        self.dropped_count = 0
        self._descriptor = stream.fileno()
        self._pending = b""
        os.set_blocking(self._descriptor, False)

    def write(self, text: str) -> None:
        """Write `text` or as much as fits; the rest waits for the next call."""
        line = text.encode("utf-8", "replace")
        if len(self._pending) + len(line) > PENDING_MAX_BYTES:
            self.dropped_count += 1
        else:
            self._pending += line
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process goes on without a log.
                self.dropped_count += self._pending.count(b"\n")
                self._pending = b""
                return
            self._pending = self._pending[written:]
