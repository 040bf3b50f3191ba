"""Coroutines that are resumed synchronously when the awaited result arrives.

An `asyncio.Task` is resumed in the next iteration of the event loop. A request passes
through some ten such steps on its two nodes, and each iteration costs system calls. A
fiber resumes its coroutine directly from the callback that delivers the result. It may
also await futures and tasks of asyncio, but not functions that need the current task,
such as `asyncio.timeout`.
"""

import asyncio
import copy
from collections.abc import Callable, Coroutine

__all__ = ["BackgroundTask", "Fiber", "Waiter", "current_fiber"]

_current: "Fiber | None" = None


def current_fiber() -> "Fiber | None":
    """Return the running fiber, None outside of a fiber."""
    return _current


class Waiter:
    """One-shot result awaited by a single fiber or task."""

    __slots__ = ("_error", "_fiber", "_future", "_value", "is_done")

    def __init__(self):
        self.is_done = False
        self._value = None
        self._error: BaseException | None = None
        self._fiber: Fiber | None = None
        self._future: asyncio.Future | None = None

    def set_result(self, value: object) -> None:
        """Deliver `value`; the waiting fiber is resumed before this returns."""
        if not self.is_done:
            self._value = value
            self._finish()

    def set_exception(self, error: BaseException) -> None:
        """Raise `error` in the waiting fiber."""
        if not self.is_done:
            self._error = error
            self._finish()

    def detach(self) -> None:
        """Drop the reference to the waiting fiber, which was cancelled."""
        self._fiber = None

    def __await__(self):
        """Wait for the result."""
        if not self.is_done:
            if _current is None:
                self._future = asyncio.get_running_loop().create_future()
                yield from self._future.__await__()
            else:
                self._fiber = _current
                yield self
        if self._error is not None:
            # A copy, since the traceback refers to the frames that hold the original,
            # and such a cycle keeps a request in memory until a collection.
            raise copy.copy(self._error)
        return self._value

    def _finish(self) -> None:
        self.is_done = True
        fiber, self._fiber = self._fiber, None
        if fiber is not None:
            fiber.resume()
        elif self._future is not None and not self._future.done():
            self._future.set_result(None)


class Fiber:
    """Runs a coroutine; resumed synchronously by the `Waiter` that it awaits.

    Parameters
    ----------
    coroutine : coroutine
        Runs up to its first suspension before the constructor returns.
    on_error : callable
        Called with an exception that the coroutine does not handle.
    """

    __slots__ = ("_coroutine", "_is_cancelled", "_on_error", "_waits_for", "is_done")

    def __init__(self, coroutine: Coroutine, on_error: Callable[[BaseException], None]):
        self.is_done = False
        self._coroutine = coroutine
        self._on_error = on_error
        self._waits_for: Waiter | asyncio.Future | None = None
        self._is_cancelled = False
        self._step(None)

    def resume(self) -> None:
        """Resume the coroutine after the awaited result has arrived."""
        self._step(None)

    def cancel(self) -> None:
        """Raise `asyncio.CancelledError` in the fiber at its current `await`.

        Notes
        -----
        A fiber that is running, not suspended, gets it at its next suspension.
        """
        if self.is_done:
            return
        waits_for, self._waits_for = self._waits_for, None
        if waits_for is None:
            self._is_cancelled = True
            return
        if isinstance(waits_for, Waiter):
            waits_for.detach()
        else:
            waits_for.remove_done_callback(self._future_done)
            waits_for.cancel()
        self._step(asyncio.CancelledError())

    def _step(self, error: BaseException | None) -> None:
        global _current
        outer, _current = _current, self
        self._waits_for = None
        try:
            while True:
                if error is None:
                    awaited = self._coroutine.send(None)
                else:
                    awaited = self._coroutine.throw(error)
                if self._is_cancelled:
                    self._is_cancelled = False
                    if isinstance(awaited, Waiter):
                        awaited.detach()
                    error = asyncio.CancelledError()
                    continue
                self._wait(awaited)
                return
        except StopIteration:
            self.is_done = True
        except asyncio.CancelledError:
            self.is_done = True
        except BaseException as unhandled:
            self.is_done = True
            self._on_error(unhandled)
        finally:
            _current = outer
            # The traceback of the exception refers to this frame.
            error = None

    def _wait(self, awaited: Waiter | asyncio.Future | None) -> None:
        if isinstance(awaited, Waiter):
            self._waits_for = awaited
        elif awaited is None:
            # A bare yield, as from asyncio.sleep(0).
            asyncio.get_running_loop().call_soon(self._step, None)
        else:
            awaited._asyncio_future_blocking = False
            self._waits_for = awaited
            awaited.add_done_callback(self._future_done)

    def _future_done(self, future: asyncio.Future) -> None:
        # The callback may already be scheduled when the fiber is cancelled.
        if self._waits_for is future:
            self._step(None)


class BackgroundTask:
    """Runs a coroutine in an `asyncio.Task`, with the interface of a fiber."""

    __slots__ = ("_on_error", "_task")

    def __init__(self, coroutine: Coroutine, on_error: Callable[[BaseException], None]):
        self._on_error = on_error
        self._task = asyncio.create_task(coroutine)
        self._task.add_done_callback(self._done)

    @property
    def is_done(self) -> bool:
        """Whether the coroutine has finished."""
        return self._task.done()

    def cancel(self) -> None:
        """Cancel the task."""
        self._task.cancel()

    def _done(self, task: asyncio.Task) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._on_error(error)
