"""Non-blocking output of log lines."""

import os
from typing import TextIO

__all__ = ["DroppingOutput"]

PENDING_MAX_BYTES = 65536
"""Size of the buffer for a slow reader; lines that do not fit are dropped."""


class DroppingOutput:
    """Non-blocking text stream that drops lines while the reader is slow.

    Parameters
    ----------
    stream : file object or None
        Pipe or file whose descriptor is made non-blocking. None, which Python has for a
        stream that was closed when the process was started, drops all lines.

    Attributes
    ----------
    dropped_count : int
        Lines dropped so far.
    """

    def __init__(self, stream: TextIO | None):
        self.dropped_count = 0
        self._descriptor: int | None = None
        self._pending = b""
        if stream is not None:
            self._descriptor = stream.fileno()
            os.set_blocking(self._descriptor, False)

    def write(self, text: str) -> None:
        """Write `text`; what the reader does not accept is buffered or dropped."""
        line = text.encode("utf-8", "replace")
        if (
            self._descriptor is None
            or len(self._pending) + len(line) > PENDING_MAX_BYTES
        ):
            self.dropped_count += 1
        else:
            self._pending += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; the process continues without a log.
                self.dropped_count += self._pending.count(b"\n")
                self._pending = b""
                return
            self._pending = self._pending[written:]
