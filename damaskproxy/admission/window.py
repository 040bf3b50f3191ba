"""Signs of overload between two reviews of the admission level."""

import math

from damaskproxy.admission.queue import CallQueue
from damaskproxy.admission.settings import AdmissionSettings

__all__ = ["ReviewWindow"]

# The queue delay target and the window are at least TARGET_SHARE and INTERVAL_SHARE of
# the cost of a typical call. With fixed times alone, a single late call counted as
# overload.
TARGET_SHARE = 0.25
INTERVAL_SHARE = 1.0
CALM_SHARE = 0.5


class ReviewWindow:
    """Time between two reviews, and what the controller has observed in it.

    Parameters
    ----------
    settings : AdmissionSettings
        Queue delay target and shortest length of a window.

    Attributes
    ----------
    start_s, end_s : float
        Start of the window and earliest time of its review.
    min_wait_s : float
        Shortest wait of the calls that were granted a permit.
    has_refused : bool
        Whether a call was refused because it would have had to wait, or has waited, for
        too long.
    was_full : bool
        Whether all slots were occupied at some time.
    """

    __slots__ = (
        "_interval_s",
        "_target_s",
        "end_s",
        "has_refused",
        "min_wait_s",
        "start_s",
        "was_full",
    )

    def __init__(self, settings: AdmissionSettings):
        self._interval_s = settings.interval_ms / 1000
        self._target_s = settings.queue_target_ms / 1000
        self.restart(0.0, 0.0, is_full=False)

    def restart(self, now_s: float, typical_s: float, *, is_full: bool) -> None:
        """Begin the next window.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        typical_s : float
            Cost of a typical call.
        is_full : bool
            Whether all slots are occupied now.
        """
        self.start_s = now_s
        self.end_s = now_s + max(self._interval_s, INTERVAL_SHARE * typical_s)
        self.min_wait_s = math.inf
        self.has_refused = False
        self.was_full = is_full

    def assess(
        self, typical_s: float, queue: CallQueue, *, is_rate_limited: bool
    ) -> tuple[bool, bool]:
        """Tell whether the backend server was overloaded, and whether it was calm.

        Parameters
        ----------
        typical_s : float
            Cost of a typical call.
        queue : CallQueue
            Calls that wait at the end of the window.
        is_rate_limited : bool
            Whether the calls per second are limited.

        Returns
        -------
        overloaded, calm : bool
            Not both; see `AdmissionLevel.review`.
        """
        target_s = max(self._target_s, TARGET_SHARE * typical_s)
        overloaded = self.has_refused or (
            self.min_wait_s > target_s and queue.short_count > 0
        )
        if is_rate_limited and not self.was_full:
            # Other servers may have room; the level would also reject their requests.
            overloaded = False
        calm = not overloaded and (self.min_wait_s < target_s * CALM_SHARE or not queue)
        return overloaded, calm
