"""What one node has seen of another member."""

import math

from damaskproxy.wire import Load

__all__ = ["PeerState"]

LATENCY_WEIGHT = 0.1


class PeerState:
    """Observations of one member by this node.

    Notes
    -----
    The latency jumps to half the distance of a slower answer and returns slowly, in
    answers and with time, so that a slowed member is left within a few calls and is
    tried again although nothing is sent to it. While calls are out, the time since the
    last answer is a lower bound of the latency that needs no answer to be seen.
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
        "seen_at_s",
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
        self.seen_at_s = 0.0
        self.load: Load | None = None
        self.load_at_s = -math.inf
        self.started_since_load = 0
        self.waiting_since_s = 0.0

    def observe_latency(self, elapsed_s: float, now_s: float) -> None:
        """Learn from the time of one answer."""
        if not self.latency_s:
            self.latency_s = elapsed_s
        elif elapsed_s > self.latency_s:
            self.latency_s += (elapsed_s - self.latency_s) * 0.3
        else:
            self.latency_s += (elapsed_s - self.latency_s) * LATENCY_WEIGHT
        self.seen_at_s = now_s

    def observe_load(self, load: Load, now_s: float) -> None:
        """Keep the newest load report."""
        self.load = load
        self.load_at_s = now_s
        self.started_since_load = 0

    def expected_latency_s(self, usual_s: float, now_s: float, decay_s: float) -> float:
        """Return the latency, drawn towards the usual one as it ages."""
        latency_s = self.latency_s or usual_s
        if latency_s > usual_s:
            age = math.exp((self.seen_at_s - now_s) / decay_s)
            latency_s = usual_s + (latency_s - usual_s) * age
        if self.in_flight:
            return max(latency_s, now_s - self.waiting_since_s)
        return latency_s
