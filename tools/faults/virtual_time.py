"""Event loop with virtual time: its clock advances to the next timer at once."""

import asyncio
import selectors

__all__ = ["now_s", "run_virtual"]


class _TimeSkippingSelector(selectors.DefaultSelector):
    """Advances the clock of its loop by the timeout instead of waiting for it."""

    skipped_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no task can run and no timer is pending")
        self.skipped_s += timeout
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.selector_with_clock = _TimeSkippingSelector()
        super().__init__(self.selector_with_clock)

    def time(self):
        return self.selector_with_clock.skipped_s


def now_s():
    """Return the clock of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def run_virtual(coroutine):
    """Run `coroutine` on a new loop with virtual time and return its result."""
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
