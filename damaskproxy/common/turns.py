"""Turns of connections that keep the event loop busy."""

import asyncio
from collections import deque
from collections.abc import Callable

__all__ = ["Turns"]

TURNS_PER_ITERATION = 8
"""Turns in one iteration of the event loop. A turn takes a few milliseconds at most, so
that other connections wait some ten milliseconds."""


class Turns:
    """Runs callbacks in the order in which they were added, a few at a time.

    A connection with much input would hold the event loop if all of it were handled in
    the callback that delivers it.
    """

    __slots__ = ("_is_scheduled", "_waiting")

    def __init__(self):
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def add(self, callback: Callable[[], None]) -> None:
        """Run `callback` in one of the next iterations of the event loop."""
        self._waiting.append(callback)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        try:
            for _ in range(min(len(self._waiting), TURNS_PER_ITERATION)):
                self._waiting.popleft()()
        finally:
            if self._waiting:
                self._schedule()
