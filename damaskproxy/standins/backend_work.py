"""Service times of the development backend server and its lagging load report."""

import random
from collections import deque
from collections.abc import Callable

from damaskproxy.standins.backend_settings import BackendConfig

__all__ = ["LaggingLoad", "ServiceTimes"]


class ServiceTimes:
    """Draws the service time of each request.

    Parameters
    ----------
    config : BackendConfig
        Means, stragglers, cold start and slow moments.
    rng : random.Random
        Source of randomness.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self, config: BackendConfig, rng: random.Random, now_s: Callable[[], float]
    ):
        self._config = config
        self._rng = rng
        self._now_s = now_s
        self._started = 0
        self._slow_from_s = self._next_slow_s(now_s())

    def draw_s(self, path: str) -> float:
        """Return the time in seconds that a request of `path` takes."""
        time_ms = self._mean_ms(path) * self._variation()
        time_ms *= self._straggler() * self._cold() * self._slow()
        self._started += 1
        return time_ms / 1000

    def is_slow(self) -> bool:
        """Tell whether a slow moment is on, and plan the next one when it ended."""
        if not self._config.slow_every_s:
            return False
        now_s = self._now_s()
        while now_s >= self._slow_from_s + self._config.slow_for_s:
            end_s = self._slow_from_s + self._config.slow_for_s
            self._slow_from_s = self._next_slow_s(end_s)
        return now_s >= self._slow_from_s

    def _next_slow_s(self, after_s: float) -> float:
        every_s = self._config.slow_every_s
        return after_s + self._rng.expovariate(1 / every_s) if every_s else after_s

    def _mean_ms(self, path: str) -> float:
        times = self._config.route_time_ms
        prefixes = [prefix for prefix in times if path.startswith(prefix)]
        if not prefixes:
            return self._config.service_time_ms
        return times[max(prefixes, key=len)]

    def _variation(self) -> float:
        if not self._config.spread:
            return 1.0
        shape = 1 / self._config.spread**2
        return self._rng.gammavariate(shape, 1 / shape)

    def _straggler(self) -> float:
        config = self._config
        if self._rng.random() >= config.straggler_share:
            return 1.0
        factor = config.straggler_factor
        factor *= self._rng.paretovariate(config.straggler_shape)
        return min(factor, config.straggler_cap)

    def _cold(self) -> float:
        config = self._config
        if self._started >= config.cold_requests:
            return 1.0
        left = 1 - self._started / config.cold_requests
        return 1 + (config.cold_factor - 1) * left

    def _slow(self) -> float:
        return self._config.slow_factor if self.is_slow() else 1.0


class LaggingLoad:
    """Remembers the load and reports it as it was some time ago."""

    def __init__(self, lag_s: float, now_s: Callable[[], float]):
        self._lag_s = lag_s
        self._now_s = now_s
        self._samples: deque[tuple[float, int, int]] = deque([(now_s(), 0, 0)])

    def note(self, running: int, waiting: int) -> None:
        """Record a change."""
        self._samples.append((self._now_s(), running, waiting))
        self._trim()

    def report(self) -> tuple[int, int]:
        """Return the running and waiting requests of a lag ago."""
        self._trim()
        _at_s, running, waiting = self._samples[0]
        return running, waiting

    def _trim(self) -> None:
        """Keep one sample that is not newer than the lag, and all newer ones."""
        horizon_s = self._now_s() - self._lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= horizon_s:
            self._samples.popleft()
