"""Admission level: threshold on the priority and ordinal of root requests."""

from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.admission.tickets import LEVEL_COUNT

__all__ = ["AdmissionLevel"]

DECAY = 0.6
MIN_LEVEL = 1


class AdmissionLevel:
    """Threshold position at and above which calls are refused.

    Parameters
    ----------
    settings : AdmissionSettings
        Headroom, and durations of the plateau and of the reopening.

    Notes
    -----
    Under overload, the level is cut immediately to the position below which the
    arrivals, counted per position, match the calls that were started. Afterwards it
    rises as a cubic function of the calm time since the cut. The function is flat
    around the level at which the overload occurred, so that the level does not
    oscillate around it, and steep beyond, so that a recovered backend server is fully
    open within two seconds.
    """

    def __init__(self, settings: AdmissionSettings):
        self._settings = settings
        self._arrivals = [0.0] * LEVEL_COUNT
        self._started = 0.0
        self._plateau_s = settings.level_plateau_ms / 1000
        self._reopen_s = settings.level_reopen_ms / 1000
        self._level_before_cut = float(LEVEL_COUNT)
        self._cut_depth = 0.0
        self._calm_s = 0.0
        self.value = LEVEL_COUNT

    def record_arrival(self, position: int) -> None:
        """Count the arrival of a call."""
        self._arrivals[position] += 1

    def record_start(self) -> None:
        """Count a call that was granted a permit."""
        self._started += 1

    def review(self, elapsed_s: float, *, overloaded: bool, calm: bool) -> None:
        """Update the level at the end of a window.

        Parameters
        ----------
        elapsed_s : float
            Length of the window.
        overloaded : bool
            Whether the queue delay stayed above the target for the whole window.
        calm : bool
            Whether it stayed well below the target. If neither, the level is kept.
        """
        if not self._settings.admission_level:
            return
        if overloaded:
            self._cut()
        elif calm and self.value < LEVEL_COUNT:
            self._reopen(elapsed_s)
        self._started *= DECAY
        self._arrivals = [count * DECAY for count in self._arrivals]

    def _cut(self) -> None:
        target = self._sustainable_position()
        if target >= self.value:
            return
        self._level_before_cut = float(self.value)
        self._cut_depth = float(self.value - target)
        self._calm_s = 0.0
        self.value = target

    def _sustainable_position(self) -> int:
        capacity = self._started * (1 - self._settings.level_headroom)
        for position, count in enumerate(self._arrivals):
            capacity -= count
            if capacity < 0:
                return max(MIN_LEVEL, position)
        return LEVEL_COUNT

    def _reopen(self, elapsed_s: float) -> None:
        self._calm_s += elapsed_s
        missing_s = self._plateau_s - self._calm_s
        if missing_s > 0:
            share = (missing_s / self._plateau_s) ** 3
            reopened = self._level_before_cut - self._cut_depth * share
        else:
            reopened = (
                self._level_before_cut
                + LEVEL_COUNT * (-missing_s / self._reopen_s) ** 3
            )
        self.value = max(self.value, min(LEVEL_COUNT, int(reopened)))
