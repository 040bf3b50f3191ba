"""Admission level: threshold on priority and ordinal."""

from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.admission.tickets import LEVEL_COUNT

__all__ = ["AdmissionLevel"]

DECAY = 0.6
MIN_LEVEL = 1


class AdmissionLevel:
    """Threshold at and above which calls are refused.

    Parameters
    ----------
    settings : AdmissionSettings
        Headroom and time of the plateau.

    Notes
    -----
    A cut uses the arrivals counted per position and the calls that were started: it
    goes at once to the position below which the arrivals fit. The way back is a cubic
    of the calm time since the cut: flat around the level at which the overload was
    seen, so that the level does not swing around it, and steep beyond, so that a healed
    backend server is fully open within two seconds.
    """

    def __init__(self, settings: AdmissionSettings):
        self._settings = settings
        self._arrivals = [0.0] * LEVEL_COUNT
        self._started = 0.0
        self._plateau_s = settings.level_plateau_ms / 1000
        self._reopen_s = settings.level_reopen_ms / 1000
        self._origin = float(LEVEL_COUNT)
        self._cut_depth = 0.0
        self._calm_s = 0.0
        self.value = LEVEL_COUNT

    def arrived(self, position: int) -> None:
        """Count an arrival."""
        self._arrivals[position] += 1

    def started(self) -> None:
        """Count a call that got a slot."""
        self._started += 1

    def review(self, elapsed_s: float, *, overloaded: bool, calm: bool) -> None:
        """Move the level at the end of a window.

        Parameters
        ----------
        elapsed_s : float
            Length of the window.
        overloaded : bool
            Whether the queue delay stayed above the target for the whole window.
        calm : bool
            Whether it stayed well below; between both the level holds.
        """
        if not self._settings.admission_level:
            return
        if overloaded:
            self._cut()
        elif calm and self.value < LEVEL_COUNT:
            self._rise(elapsed_s)
        self._started *= DECAY
        self._arrivals = [count * DECAY for count in self._arrivals]

    def _cut(self) -> None:
        target = self._fitting_position()
        if target >= self.value:
            return
        self._origin = float(self.value)
        self._cut_depth = float(self.value - target)
        self._calm_s = 0.0
        self.value = target

    def _fitting_position(self) -> int:
        budget = self._started * (1 - self._settings.level_headroom)
        for position, count in enumerate(self._arrivals):
            budget -= count
            if budget < 0:
                return max(MIN_LEVEL, position)
        return LEVEL_COUNT

    def _rise(self, elapsed_s: float) -> None:
        self._calm_s += elapsed_s
        missing_s = self._plateau_s - self._calm_s
        if missing_s > 0:
            share = (missing_s / self._plateau_s) ** 3
            grown = self._origin - self._cut_depth * share
        else:
            grown = self._origin + LEVEL_COUNT * (-missing_s / self._reopen_s) ** 3
        self.value = max(self.value, min(LEVEL_COUNT, int(grown)))
