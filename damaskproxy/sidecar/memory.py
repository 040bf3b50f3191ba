"""Warns before the memory of the process reaches its limit."""

import contextlib
import logging
import re
import resource
from collections.abc import Callable

from damaskproxy.events import log_event
from damaskproxy.sidecar import events

__all__ = ["MemoryWatch", "peak_memory_bytes"]

logger = logging.getLogger(__name__)

BYTES_PER_KB = 1024
PROCESS_STATUS = "/proc/self/status"
PEAK = re.compile(rb"^VmHWM:\s+(\d+) kB$", re.MULTILINE)
WARNING_SHARES = (0.7, 0.85, 0.95)
"""Shares of the limit at which a warning is logged, once each."""


def peak_memory_bytes() -> int:
    """Return the largest resident size that the process has had.

    Notes
    -----
    The value of ``getrusage`` may be that of the process that started this one.
    """
    with contextlib.suppress(OSError), open(PROCESS_STATUS, "rb") as status:
        peak = PEAK.search(status.read())
        if peak is not None:
            return int(peak[1]) * BYTES_PER_KB
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB


class MemoryWatch:
    """Logs a warning when the peak of the memory passes a share of its limit.

    Parameters
    ----------
    limit_bytes : int
        Memory above which the platform kills the process.
    describe : callable
        Returns the bytes that the process holds, by purpose.
    peak_bytes : callable
        Returns the peak of the resident size.
    """

    def __init__(
        self,
        limit_bytes: int,
        describe: Callable[[], dict[str, int]],
        peak_bytes: Callable[[], int] = peak_memory_bytes,
    ):
        self._limit_bytes = limit_bytes
        self._describe = describe
        self._peak_bytes = peak_bytes
        self._due_shares = list(WARNING_SHARES)

    def check(self) -> None:
        """Log a warning if the peak has passed the next share of the limit."""
        peak_bytes = self._peak_bytes()
        passed = [s for s in self._due_shares if peak_bytes > s * self._limit_bytes]
        if not passed:
            return
        self._due_shares = self._due_shares[len(passed) :]
        log_event(
            logger,
            events.MEMORY_HIGH,
            peak_bytes=peak_bytes,
            limit_bytes=self._limit_bytes,
            **self._describe(),
        )
