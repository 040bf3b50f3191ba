"""Decision which refusals are followed by a retry."""

from collections.abc import Sequence

from damaskproxy.common import RefusalReason
from damaskproxy.wire import Refused

__all__ = ["may_retry", "never_retry"]

NOT_STARTED = frozenset(
    {
        RefusalReason.LEAVING,
        RefusalReason.NOT_READY,
        RefusalReason.ISOLATED,
        RefusalReason.STOPPING,
        RefusalReason.BACKEND_UNREACHABLE,
        RefusalReason.BACKEND_SHED,
        RefusalReason.NO_BACKEND,
    }
)
OVERLOAD = frozenset(
    {
        RefusalReason.OVERLOAD_QUEUE_FULL,
        RefusalReason.OVERLOAD_LEVEL,
        RefusalReason.OVERLOAD_DEADLINE,
        RefusalReason.OVERLOAD_EARLY,
    }
)


def may_retry(refusals: Sequence[Refused]) -> bool:
    """Return whether the request is retried after the last of `refusals`.

    Parameters
    ----------
    refusals : sequence of Refused
        Not-run refusals of one submission, oldest first. A refusal due to overload is
        retried only once, because all servers are often overloaded together.
    """
    last = refusals[-1].reason
    if last in OVERLOAD:
        return sum(refused.reason in OVERLOAD for refused in refusals) == 1
    return last in NOT_STARTED


def never_retry(_refusals: Sequence[Refused]) -> bool:
    """Return False, for dispatchers that retry themselves."""
    return False
