"""Clock that also counts the time in which the machine was suspended."""

import time

__all__ = ["boot_s"]


def boot_s() -> float:
    """Return seconds since the machine started, suspended time included.

    Notes
    -----
    `time.monotonic` stands still while a machine is suspended, so a deadline on it
    would be later than the caller's by that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
