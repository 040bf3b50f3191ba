"""Service times and delayed load report of the development backend server."""

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
        Mean service times, stragglers, cold start and slow periods.
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
        self._started_requests = 0
        self._slow_start_s = self._draw_slow_start_s(now_s())

    def draw_s(self, path: str) -> float:
        """Return the service time of a request for `path` in seconds."""
        time_ms = self._mean_ms(path) * self._variation_factor()
        time_ms *= self._straggler_factor() * self._cold_factor() * self._slow_factor()
        self._started_requests += 1
        return time_ms / 1000

    def is_slow(self) -> bool:
        """Return whether this is a slow period, and plan the next one after its end."""
        if not self._config.slow_every_s:
            return False
        now_s = self._now_s()
        while now_s >= self._slow_start_s + self._config.slow_for_s:
            end_s = self._slow_start_s + self._config.slow_for_s
            self._slow_start_s = self._draw_slow_start_s(end_s)
        return now_s >= self._slow_start_s

    def _draw_slow_start_s(self, after_s: float) -> float:
        mean_s = self._config.slow_every_s
        return after_s + self._rng.expovariate(1 / mean_s) if mean_s else after_s

    def _mean_ms(self, path: str) -> float:
        times = self._config.route_time_ms
        prefixes = [prefix for prefix in times if path.startswith(prefix)]
        if not prefixes:
            return self._config.service_time_ms
        return times[max(prefixes, key=len)]

    def _variation_factor(self) -> float:
        if not self._config.spread:
            return 1.0
        shape = 1 / self._config.spread**2
        return self._rng.gammavariate(shape, 1 / shape)

    def _straggler_factor(self) -> float:
        config = self._config
        if self._rng.random() >= config.straggler_share:
            return 1.0
        factor = config.straggler_factor
        factor *= self._rng.paretovariate(config.straggler_shape)
        return min(factor, config.straggler_cap)

    def _cold_factor(self) -> float:
        config = self._config
        if self._started_requests >= config.cold_requests:
            return 1.0
        cold_share = 1 - self._started_requests / config.cold_requests
        return 1 + (config.cold_factor - 1) * cold_share

    def _slow_factor(self) -> float:
        return self._config.slow_factor if self.is_slow() else 1.0


class LaggingLoad:
    """Load report that lags behind by a fixed time.

    Parameters
    ----------
    lag_s : float
        Age of the reported load.
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, lag_s: float, now_s: Callable[[], float]):
        self._lag_s = lag_s
        self._now_s = now_s
        self._samples: deque[tuple[float, int, int]] = deque([(now_s(), 0, 0)])

    def record(self, running: int, waiting: int) -> None:
        """Record a change of the load."""
        self._samples.append((self._now_s(), running, waiting))
        self._trim()

    def report(self) -> tuple[int, int]:
        """Return the numbers of running and waiting requests `lag_s` ago."""
        self._trim()
        _at_s, running, waiting = self._samples[0]
        return running, waiting

    def _trim(self) -> None:
        """Keep the latest sample that is at least `lag_s` old, and all newer ones."""
        cutoff_s = self._now_s() - self._lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= cutoff_s:
            self._samples.popleft()
