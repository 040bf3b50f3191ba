"""Expected and longest waits in the queue of one backend server."""

from damaskproxy.admission.costs import RouteCosts
from damaskproxy.admission.settings import AdmissionSettings

__all__ = ["WaitEstimate"]

# The maximum wait is at least WAIT_SHARE of the cost of a typical call. With a fixed
# time alone, a slow service could not queue at all.
WAIT_SHARE = 0.5
# Multiple of the mean cost without a release after which the slots count as stalled.
STALL_FACTOR = 3


class WaitEstimate:
    """Estimates how long calls wait for a slot.

    Parameters
    ----------
    settings : AdmissionSettings
        Expected wait above which a call is refused.
    costs : RouteCosts
        Costs of the calls that occupy the slots.
    now_s : float
        Current time, in seconds.

    Attributes
    ----------
    last_progress_s : float
        Time of the last release, or of the last call that started without waiting.
    """

    __slots__ = ("_costs", "_max_s", "last_progress_s")

    def __init__(self, settings: AdmissionSettings, costs: RouteCosts, now_s: float):
        self._costs = costs
        self._max_s = settings.queue_wait_max_ms / 1000
        self.last_progress_s = now_s

    def max_s(self) -> float:
        """Return the expected wait above which a call is refused."""
        return max(self._max_s, WAIT_SHARE * self._costs.typical_s)

    def release_interval_s(self, limit: int, now_s: float) -> float:
        """Return the expected time between releases of `limit` slots.

        Notes
        -----
        The time between releases is estimated from the mean cost. When all slots are
        occupied by calls that do not end, that estimate is meaningless, and the time
        since the last release is used instead. It counts only beyond a few mean costs,
        since with few slots nothing is released for the length of one call anyway, and
        only once the mean cost is known.
        """
        mean_s = self._costs.mean_s
        since_progress_s = now_s - self.last_progress_s
        is_stalled = mean_s > 0 and since_progress_s > STALL_FACTOR * mean_s
        return since_progress_s if is_stalled else mean_s / limit
