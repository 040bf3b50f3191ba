"""Observations of a member by this node."""

import math

from damaskproxy.wire import Load

__all__ = ["PeerState"]

LATENCY_WEIGHT = 0.1


class PeerState:
    """Observations of one member by this node.

    Notes
    -----
    The moving average of the latency follows slower responses quickly and faster ones
    slowly, and also decays with time. A member that slows down is thus avoided after a
    few calls, and is tried again even if no calls are sent to it. While calls are in
    flight, the time since the last response is a lower bound of the latency, which is
    known before a response arrives.
    """

    __slots__ = (
        "answers",
        "ejected_until_s",
        "ejections",
        "failures",
        "in_flight",
        "incarnation",
        "latency_s",
        "load",
        "load_at_s",
        "latency_at_s",
        "started_since_load",
        "waiting_since_s",
    )

    def __init__(self, incarnation: int, answers: int):
        self.incarnation = incarnation
        self.answers = answers
        self.in_flight = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = -math.inf
        self.latency_s = 0.0
        self.latency_at_s = 0.0
        self.load: Load | None = None
        self.load_at_s = -math.inf
        self.started_since_load = 0
        self.waiting_since_s = 0.0

    def observe_latency(self, elapsed_s: float, now_s: float) -> None:
        """Add the latency of a call to the moving average."""
        if not self.latency_s:
            self.latency_s = elapsed_s
        elif elapsed_s > self.latency_s:
            self.latency_s += (elapsed_s - self.latency_s) * 0.3
        else:
            self.latency_s += (elapsed_s - self.latency_s) * LATENCY_WEIGHT
        self.latency_at_s = now_s

    def observe_load(self, load: Load, now_s: float) -> None:
        """Record the newest load report."""
        self.load = load
        self.load_at_s = now_s
        self.started_since_load = 0

    def expected_latency_s(self, mean_s: float, now_s: float, decay_s: float) -> float:
        """Return the latency, which decays with time towards the mean `mean_s`."""
        latency_s = self.latency_s or mean_s
        if latency_s > mean_s:
            decay = math.exp((self.latency_at_s - now_s) / decay_s)
            latency_s = mean_s + (latency_s - mean_s) * decay
        if self.in_flight:
            return max(latency_s, now_s - self.waiting_since_s)
        return latency_s
