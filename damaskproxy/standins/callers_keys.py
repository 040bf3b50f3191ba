"""Pool of idempotency keys that callers fetch in advance."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

__all__ = ["KeyPool"]


class KeyPool:
    """Keeps a pool of issued keys.

    Parameters
    ----------
    fetch : callable
        Coroutine function that takes a count and returns at most that many keys, and
        an empty list when no node issues any.
    capacity : int
        Number of keys to keep; a fetch starts when at most half of them are left.
    """

    def __init__(
        self, fetch: Callable[[int], Awaitable[list[str]]], capacity: int = 50
    ):
        self._fetch = fetch
        self._capacity = capacity
        self._keys: deque[str] = deque()
        self._fetch_task: asyncio.Task | None = None

    async def fill(self) -> None:
        """Fetch keys until the pool is full."""
        self._keys.extend(await self._fetch(self._capacity - len(self._keys)))

    async def take(self) -> str | None:
        """Return a key, or None if the pool is empty and no node issues one."""
        if not self._keys:
            await self._refill()
        elif len(self._keys) <= self._capacity // 2:
            self._refill()
        return self._keys.popleft() if self._keys else None

    async def close(self) -> None:
        """Wait until a running fetch has ended."""
        if self._fetch_task is not None:
            await self._fetch_task

    def _refill(self) -> asyncio.Task:
        """Start a fetch unless one is running, and return its task."""
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self.fill())
        return self._fetch_task
