"""Event loop whose clock jumps to the next timer, so that hours pass in no time."""

import asyncio
import selectors

__all__ = ["now_s", "run_virtual"]


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock of its loop by the time that it would have waited."""

    jumped_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no task can run and no timer is pending")
        self.jumped_s += timeout
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.jumps = _JumpingSelector()
        super().__init__(self.jumps)

    def time(self):
        return self.jumps.jumped_s


def now_s():
    """Return the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()


def run_virtual(coroutine):
    """Run `coroutine` on a new loop with virtual time and return its result."""
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
