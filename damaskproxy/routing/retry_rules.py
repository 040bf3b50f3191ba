"""Which results of an attempt another attempt may improve."""

from damaskproxy.common import Outcome, RefusalReason, RetryReason
from damaskproxy.wire import Refused

__all__ = ["OVERLOAD_REASONS", "retry_reason"]

_NEVER_RETRIED = frozenset(
    {
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.START_BY_PASSED,
        RefusalReason.CANCELLED,
        RefusalReason.QUARANTINED,
        RefusalReason.BAD_REQUEST,
        RefusalReason.OVERLOAD_DEADLINE,
        RefusalReason.TOO_DEEP,
    }
)
OVERLOAD_REASONS = frozenset(
    {
        RefusalReason.OVERLOAD_EARLY,
        RefusalReason.OVERLOAD_LEVEL,
        RefusalReason.OVERLOAD_QUEUE_FULL,
    }
)
_LOST = {
    RefusalReason.BACKEND_DIED: RetryReason.BACKEND_DIED,
    RefusalReason.PEER_LOST: RetryReason.PEER_LOST,
}
_REFUSED = {
    RefusalReason.BACKEND_UNREACHABLE: RetryReason.BACKEND_UNREACHABLE,
    RefusalReason.BACKEND_SHED: RetryReason.BACKEND_SHED,
}


def retry_reason(result: Refused, *, idempotent: bool) -> RetryReason | None:
    """Return why a further attempt can help after `result`, or None.

    Parameters
    ----------
    result : Refused
        What the attempt came to.
    idempotent : bool
        Whether a second run does no harm; otherwise only an attempt that was
        certainly not started is repeated.
    """
    if result.reason in _NEVER_RETRIED:
        return None
    if result.outcome is Outcome.NOT_RUN:
        return _REFUSED.get(result.reason, RetryReason.NOT_STARTED)
    if idempotent:
        return _LOST.get(result.reason)
    return None
