"""Costs of the routes of one backend server, learned from its answers."""

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
    The median moves by a fixed ratio per answer, so that a straggler counts no more
    than any other answer above the median. The floor follows the lowest median and
    drifts up slowly, so that a lasting change of cost becomes the new normal.
    """

    __slots__ = ("floor_s", "is_long", "mean_s", "median_s", "samples")

    def __init__(self, elapsed_s: float):
        self.median_s = self.mean_s = self.floor_s = elapsed_s
        self.samples = 0
        self.is_long = False

    def add(self, elapsed_s: float) -> None:
        """Learn from one answer."""
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
    """Costs of all routes, their mean, and the median of the typical route.

    Parameters
    ----------
    settings : AdmissionSettings
        Threshold of long work.
    """

    def __init__(self, settings: AdmissionSettings):
        self._settings = settings
        self._routes: dict[str, RouteCost] = {}
        self._own: dict[str, RouteCost] = {}
        self._until_review = LONG_REVIEW_SAMPLES
        self.mean_s = 0.0
        self.typical_s = 0.0

    def get(self, route: str) -> RouteCost | None:
        """Return the cost of `route`, None before its first answer."""
        return self._routes.get(route)

    def add(self, route: str, elapsed_s: float) -> RouteCost:
        """Learn from one answer and return the cost of its route."""
        elapsed_s = max(elapsed_s, MIN_COST_S)
        cost = self._routes.get(route)
        if cost is None:
            cost = self._routes[route] = RouteCost(elapsed_s)
        cost.add(elapsed_s)
        weight = MEAN_WEIGHT if self.mean_s else 1.0
        self.mean_s += (elapsed_s - self.mean_s) * weight
        self._until_review -= 1
        if self._until_review <= 0:
            self._review_long()
        return cost

    def add_own(self, route: str, own_s: float) -> RouteCost:
        """Learn the part of an answer's time that the backend server itself took."""
        own_s = max(own_s, MIN_COST_S)
        cost = self._own.get(route)
        if cost is None:
            cost = self._own[route] = RouteCost(own_s)
        cost.add(own_s)
        return cost

    def _review_long(self) -> None:
        """Mark the routes far above the median cost, weighted by calls."""
        self._until_review = LONG_REVIEW_SAMPLES
        ordered = sorted(self._routes.values(), key=lambda cost: cost.median_s)
        half = sum(cost.samples for cost in ordered) / 2
        seen = 0
        typical_s = 0.0
        for cost in ordered:
            seen += cost.samples
            if seen >= half:
                typical_s = cost.median_s
                break
        self.typical_s = typical_s
        for cost in ordered:
            cost.is_long = cost.median_s > typical_s * self._settings.long_factor
            cost.samples = (cost.samples + 1) // 2
