"""Lightweight alternative to `asyncio.timeout` for fibers and tasks."""

import asyncio

from damaskproxy.common.fibers import current_fiber

__all__ = ["Deadline"]


class Deadline:
    """Cancels the current fiber or task when a delay has elapsed.

    `asyncio.timeout` looks up the running loop several times, and each look-up calls
    ``getpid``. Every request sets a deadline on both of its nodes.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Running loop.
    delay_s : float
        Time until the cancellation.
    """

    __slots__ = ("_fiber", "_handle", "_is_fired", "_task")

    def __init__(self, loop: asyncio.AbstractEventLoop, delay_s: float):
        self._is_fired = False
        self._fiber = current_fiber()
        self._task = None if self._fiber else asyncio.current_task(loop)
        self._handle = loop.call_later(delay_s, self._fire)

    def is_expired(self) -> bool:
        """Tell in a handler of `CancelledError` whether this deadline caused it."""
        if not self._is_fired:
            return False
        return self._task is None or self._task.uncancel() <= 0

    def close(self) -> None:
        """Stop the timer."""
        self._handle.cancel()

    def _fire(self) -> None:
        self._is_fired = True
        (self._fiber or self._task).cancel()
