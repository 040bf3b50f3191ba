"""Adaptive concurrency limit of one backend server."""

import math

from damaskproxy.admission.settings import AdmissionSettings

__all__ = ["ConcurrencyLimit"]

CUT_RATIO = 0.75
TRIAL_PAUSE_MIN_S = 1.0
TRIAL_PAUSE_MAX_S = 16.0
ACCEPTED_LOSS_FACTOR = 0.5


class ConcurrencyLimit:
    """Concurrency limit between 1 and the announced slots.

    Parameters
    ----------
    slots : int
        Requests that the backend server announces to run concurrently.
    settings : AdmissionSettings
        Latency tolerance and minimum number of samples.

    Notes
    -----
    High latency alone does not prove that less concurrency would help: a noisy
    neighbour slows down each call regardless of their number. A cut is therefore a
    trial, which is kept only if the throughput does not fall with it. Otherwise it is
    reverted, and the pause before the next trial doubles.
    """

    def __init__(self, slots: int, settings: AdmissionSettings):
        self._settings = settings
        self._slots = slots
        self._exact = float(slots)
        self._trial: tuple[float, float] | None = None
        self._trial_pause_s = TRIAL_PAUSE_MIN_S
        self._no_trial_until_s = -math.inf
        self._samples = 0
        self._gradient_sum = 0.0
        self._window_start_s: float | None = None
        self.value = slots

    def set_slots(self, slots: int) -> None:
        """Apply a new number of announced slots."""
        if slots != self._slots:
            self._slots = slots
            self._set(float(slots))
            self._trial = None

    def add(self, gradient: float) -> None:
        """Count a response whose latency is `gradient` times the lowest one."""
        self._samples += 1
        self._gradient_sum += gradient

    def review(self, now_s: float, *, saturated: bool) -> None:
        """Update the limit once enough responses were counted since the last update."""
        if self._window_start_s is None or not saturated:
            self._reset_window(now_s)
            if not saturated:
                self._trial = None
                self._set(min(self._slots, self._exact + 1))
            return
        if self._samples < max(self._settings.limit_min_samples, 2 * self.value):
            return
        gradient = self._gradient_sum / self._samples
        throughput = self._samples / max(now_s - self._window_start_s, 1e-9)
        if self._settings.adaptive_limit:
            self._adjust(now_s, gradient, throughput)
        self._reset_window(now_s)

    def _adjust(self, now_s: float, gradient: float, throughput: float) -> None:
        if self._trial is not None:
            self._evaluate_trial(now_s, throughput)
            return
        if gradient <= self._settings.latency_tolerance:
            self._trial_pause_s = TRIAL_PAUSE_MIN_S
            self._set(min(self._slots, self._exact + math.sqrt(self._exact)))
        elif now_s >= self._no_trial_until_s and self.value > 1:
            self._trial = (self._exact, throughput)
            self._set(max(1.0, self._exact * CUT_RATIO))

    def _evaluate_trial(self, now_s: float, throughput: float) -> None:
        limit_before, throughput_before = self._trial
        self._trial = None
        cut_share = 1 - self._exact / limit_before
        if throughput >= throughput_before * (1 - ACCEPTED_LOSS_FACTOR * cut_share):
            self._trial_pause_s = TRIAL_PAUSE_MIN_S
            return
        self._set(limit_before)
        self._no_trial_until_s = now_s + self._trial_pause_s
        self._trial_pause_s = min(TRIAL_PAUSE_MAX_S, self._trial_pause_s * 2)

    def _set(self, exact: float) -> None:
        self._exact = exact
        self.value = max(1, int(exact))

    def _reset_window(self, now_s: float) -> None:
        self._window_start_s = now_s
        self._samples = 0
        self._gradient_sum = 0.0
