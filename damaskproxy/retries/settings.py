"""Settings of retries."""

from typing import Annotated

import msgspec

__all__ = ["RetrySettings"]


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retry ratio per service on one node.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    saved_max : float
        Retries that can be saved up.
    debt_max : float
        Repeats beyond the saved ones that are remembered; a longer memory would refuse
        retries long after their window.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    saved_max: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    debt_max: Annotated[float, msgspec.Meta(ge=0)] = 100.0
