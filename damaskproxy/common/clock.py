"""Clock that also counts the time in which the machine was suspended."""

import time
from asyncio import _get_running_loop

__all__ = ["boot_s"]

_loop_s = -1.0
_boot_s = 0.0


def boot_s() -> float:
    """Return seconds since the machine started, suspended time included.

    Notes
    -----
    `time.monotonic` stands still while a machine is suspended, so a deadline on it
    would be later than the caller's by that time. Within one turn of the event loop,
    whose own clock is cheap, the value is read once: a request asks for it some fifteen
    times.
    """
    global _loop_s, _boot_s
    loop = _get_running_loop()
    if loop is None:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    loop_s = loop.time()
    if loop_s != _loop_s:
        _loop_s = loop_s
        _boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return _boot_s
