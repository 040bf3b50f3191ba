"""Event loop whose clock jumps to the next timer, so that a run is deterministic."""

import asyncio
import gc
import selectors
from collections.abc import Callable, Coroutine

__all__ = ["run_virtual"]


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the clock by the time-out instead of sleeping."""

    now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: tasks are pending but no timer is scheduled")
        if timeout > 0:
            self.now_s += timeout
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time; sockets and threads are not supported."""

    def __init__(self):
        self._virtual = _JumpingSelector()
        super().__init__(self._virtual)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self._virtual.now_s


def run_virtual(main: Callable[[Callable[[], float]], Coroutine]):
    """Run ``main(now_s)`` on virtual time and return its result.

    Parameters
    ----------
    main : callable
        Coroutine function that takes the clock of the loop, in seconds.
    """
    loop = _VirtualLoop()
    thresholds = gc.get_threshold()
    # The baseline has hundreds of thousands of waiting tasks; with the default
    # thresholds, garbage collection would take most of the run time.
    gc.set_threshold(200_000, 20, 100)
    try:
        return loop.run_until_complete(main(loop.time))
    finally:
        _cancel_all(loop)
        loop.close()
        gc.set_threshold(*thresholds)


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    if pending:
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
