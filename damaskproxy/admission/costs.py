"""Costs of the routes of one backend server, estimated from its response times."""

from damaskproxy.admission.settings import AdmissionSettings

__all__ = ["RouteCost", "RouteCosts"]

MEDIAN_STEP = 1.05
MEAN_WEIGHT = 0.05
FLOOR_DRIFT = 0.0005
LONG_REVIEW_SAMPLES = 32
MIN_COST_S = 1e-6


class RouteCost:
    """Cost of one route.

    Notes
    -----
    The median estimate moves by a fixed ratio per response, so that a straggler counts
    no more than any other response above the median. The floor tracks the lowest median
    and drifts up slowly, so that a lasting change of cost becomes the new baseline.
    """

    __slots__ = ("floor_s", "is_long", "mean_s", "median_s", "samples")

    def __init__(self, elapsed_s: float):
        self.median_s = self.mean_s = self.floor_s = elapsed_s
        self.samples = 0
        self.is_long = False

    def add(self, elapsed_s: float) -> None:
        """Add the time of one response."""
        self.samples += 1
        self.mean_s += (elapsed_s - self.mean_s) * MEAN_WEIGHT
        if elapsed_s > self.median_s:
            self.median_s = min(self.median_s * MEDIAN_STEP, elapsed_s)
        else:
            self.median_s = max(self.median_s / MEDIAN_STEP, elapsed_s)
        if self.median_s < self.floor_s:
            self.floor_s = self.median_s
        else:
            self.floor_s += (self.median_s - self.floor_s) * FLOOR_DRIFT


class RouteCosts:
    """Costs of all routes, their mean, and the median cost of a typical call.

    Parameters
    ----------
    settings : AdmissionSettings
        Threshold of long-running routes.
    """

    def __init__(self, settings: AdmissionSettings):
        self._settings = settings
        self._routes: dict[str, RouteCost] = {}
        self._self_times: dict[str, RouteCost] = {}
        self._samples_until_review = LONG_REVIEW_SAMPLES
        self.mean_s = 0.0
        self.typical_s = 0.0

    def get(self, route: str) -> RouteCost | None:
        """Return the cost of `route`, None before its first response."""
        return self._routes.get(route)

    def add(self, route: str, elapsed_s: float) -> RouteCost:
        """Add the time of one response and return the cost of its route."""
        elapsed_s = max(elapsed_s, MIN_COST_S)
        cost = self._routes.get(route)
        if cost is None:
            cost = self._routes[route] = RouteCost(elapsed_s)
        cost.add(elapsed_s)
        weight = MEAN_WEIGHT if self.mean_s else 1.0
        self.mean_s += (elapsed_s - self.mean_s) * weight
        self._samples_until_review -= 1
        if self._samples_until_review <= 0:
            self._review_long()
        return cost

    def add_self_time(self, route: str, self_time_s: float) -> RouteCost:
        """Add the part of a response time not spent waiting for callees."""
        self_time_s = max(self_time_s, MIN_COST_S)
        cost = self._self_times.get(route)
        if cost is None:
            cost = self._self_times[route] = RouteCost(self_time_s)
        cost.add(self_time_s)
        return cost

    def _review_long(self) -> None:
        """Mark the routes whose cost is far above the median, weighted by calls."""
        self._samples_until_review = LONG_REVIEW_SAMPLES
        ordered = sorted(self._routes.values(), key=lambda cost: cost.median_s)
        half = sum(cost.samples for cost in ordered) / 2
        cumulative = 0
        typical_s = 0.0
        for cost in ordered:
            cumulative += cost.samples
            if cumulative >= half:
                typical_s = cost.median_s
                break
        self.typical_s = typical_s
        for cost in ordered:
            cost.is_long = cost.median_s > typical_s * self._settings.long_factor
            cost.samples = (cost.samples + 1) // 2
