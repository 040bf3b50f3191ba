"""Open-loop load generation, percentiles and processor time."""

import asyncio
import random
import resource
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress

__all__ = ["CallRefused", "cpu_s", "median", "percentile", "send_at_rate"]


class CallRefused(Exception):
    """A call was refused, so its time is not counted."""


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least `share` of the values do not exceed.

    Raises
    ------
    ValueError
        If there are no values.
    """
    if not values:
        raise ValueError("no values")
    ordered = sorted(values)
    rank = -int(-share * len(ordered) // 1)
    return ordered[min(len(ordered), max(1, rank)) - 1]


def median(values: Sequence[float]) -> float:
    """Return the lower median."""
    return percentile(values, 0.5)


def cpu_s() -> float:
    """Return the user and system time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def send_at_rate(
    call: Callable[[], Awaitable[None]],
    *,
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
) -> list[float]:
    """Start calls at exponential intervals without waiting for responses.

    Parameters
    ----------
    call : callable
        Makes one call; raises `CallRefused` if it is refused, and another exception
        if it fails.
    rate_per_s, duration_s : float
        Mean rate, and time after which no further call starts.
    rng : random.Random
        Generator of the intervals.

    Returns
    -------
    list of float
        Latency of each call that was not refused, in seconds.
    """
    times_s = []

    async def timed():
        started_s = time.perf_counter()
        with suppress(CallRefused):
            await call()
            times_s.append(time.perf_counter() - started_s)

    tasks = set()
    start_s = next_s = time.perf_counter()
    while next_s < start_s + duration_s:
        await asyncio.sleep(max(0.0, next_s - time.perf_counter()))
        tasks.add(asyncio.create_task(timed()))
        next_s += rng.expovariate(rate_per_s)
    await asyncio.gather(*tasks)
    return times_s
