"""Settings of retries."""

from typing import Annotated

import msgspec

__all__ = ["RetrySettings"]


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retry budget per service on one node.

    Parameters
    ----------
    ratio : float
        Retry tokens earned by each first attempt.
    saved_max : float
        Maximum balance of retry tokens.
    debt_max : float
        Maximum debt from retries beyond the balance; a larger debt would refuse retries
        long after their window.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    saved_max: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    debt_max: Annotated[float, msgspec.Meta(ge=0)] = 100.0
