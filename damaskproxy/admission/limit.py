"""Adaptive concurrency limit of one backend server."""

import math

from damaskproxy.admission.settings import AdmissionSettings

__all__ = ["ConcurrencyLimit"]

CUT_RATIO = 0.75
HOLD_MIN_S = 1.0
HOLD_MAX_S = 16.0
KEPT_GAIN = 0.5


class ConcurrencyLimit:
    """Limit between 1 and the announced slots.

    Parameters
    ----------
    slots : int
        Requests that the backend server says it runs at once.
    settings : AdmissionSettings
        Tolerance and sample count.

    Notes
    -----
    High latency alone does not prove that fewer calls at once would help: a noisy
    neighbour slows each call whatever their number. A cut is therefore a trial that
    stays only when the throughput did not fall with it; otherwise it is taken back and
    the next trial waits longer.
    """

    def __init__(self, slots: int, settings: AdmissionSettings):
        self._settings = settings
        self._slots = slots
        self._exact = float(slots)
        self._trial: tuple[float, float] | None = None
        self._hold_s = HOLD_MIN_S
        self._held_until_s = -math.inf
        self._answers = 0
        self._gradient_sum = 0.0
        self._since_s: float | None = None
        self.value = slots

    def set_slots(self, slots: int) -> None:
        """Follow a new announcement."""
        if slots != self._slots:
            self._slots = slots
            self._set(float(slots))
            self._trial = None

    def add(self, gradient: float) -> None:
        """Count an answer whose latency is `gradient` times the lowest."""
        self._answers += 1
        self._gradient_sum += gradient

    def review(self, now_s: float, *, saturated: bool) -> None:
        """Move the limit when enough answers were counted since the last move."""
        if self._since_s is None or not saturated:
            self._restart(now_s)
            if not saturated:
                self._trial = None
                self._set(min(self._slots, self._exact + 1))
            return
        if self._answers < max(self._settings.limit_min_samples, 2 * self.value):
            return
        gradient = self._gradient_sum / self._answers
        throughput = self._answers / max(now_s - self._since_s, 1e-9)
        if self._settings.adaptive_limit:
            self._step(now_s, gradient, throughput)
        self._restart(now_s)

    def _step(self, now_s: float, gradient: float, throughput: float) -> None:
        if self._trial is not None:
            self._judge(now_s, throughput)
            return
        if gradient <= self._settings.latency_tolerance:
            self._hold_s = HOLD_MIN_S
            self._set(min(self._slots, self._exact + math.sqrt(self._exact)))
        elif now_s >= self._held_until_s and self.value > 1:
            self._trial = (self._exact, throughput)
            self._set(max(1.0, self._exact * CUT_RATIO))

    def _judge(self, now_s: float, throughput: float) -> None:
        before, throughput_before = self._trial
        self._trial = None
        lost = 1 - self._exact / before
        if throughput >= throughput_before * (1 - KEPT_GAIN * lost):
            self._hold_s = HOLD_MIN_S
            return
        self._set(before)
        self._held_until_s = now_s + self._hold_s
        self._hold_s = min(HOLD_MAX_S, self._hold_s * 2)

    def _set(self, exact: float) -> None:
        self._exact = exact
        self.value = max(1, int(exact))

    def _restart(self, now_s: float) -> None:
        self._since_s = now_s
        self._answers = 0
        self._gradient_sum = 0.0
