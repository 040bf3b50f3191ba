"""Idempotency keys that a caller fetches ahead of need."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

__all__ = ["KeyPool"]


class KeyPool:
    """Keeps issued keys in stock.

    Parameters
    ----------
    fetch : callable
        Coroutine function that takes a count and returns at most that many keys, or
        none when no node answers.
    stock : int
        Keys to hold; half of them left triggers a fetch.
    """

    def __init__(self, fetch: Callable[[int], Awaitable[list[str]]], stock: int = 50):
        self._fetch = fetch
        self._stock = stock
        self._keys: deque[str] = deque()
        self._fetching: asyncio.Task | None = None

    async def fill(self) -> None:
        """Fetch keys up to the stock."""
        self._keys.extend(await self._fetch(self._stock - len(self._keys)))

    async def take(self) -> str | None:
        """Return a key, or None if none is left and no node issues one."""
        if not self._keys:
            await self._refill()
        elif len(self._keys) <= self._stock // 2:
            self._refill()
        return self._keys.popleft() if self._keys else None

    async def close(self) -> None:
        """Wait for a fetch in flight."""
        if self._fetching is not None:
            await self._fetching

    def _refill(self) -> asyncio.Task:
        """Start a fetch unless one is in flight."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.create_task(self.fill())
        return self._fetching
