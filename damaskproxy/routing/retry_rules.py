"""Rules that decide which refused attempts are retried."""

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
_REASONS_IF_MAYBE_RUN = {
    RefusalReason.BACKEND_DIED: RetryReason.BACKEND_DIED,
    RefusalReason.PEER_LOST: RetryReason.PEER_LOST,
}
_REASONS_IF_NOT_RUN = {
    RefusalReason.BACKEND_UNREACHABLE: RetryReason.BACKEND_UNREACHABLE,
    RefusalReason.BACKEND_SHED: RetryReason.BACKEND_SHED,
}


def retry_reason(result: Refused, *, idempotent: bool) -> RetryReason | None:
    """Return the reason for a retry after `result`, None if it must not be retried.

    Parameters
    ----------
    result : Refused
        Result of the attempt.
    idempotent : bool
        Whether the call may run more than once; a non-idempotent call is retried only
        if the attempt was certainly not run.
    """
    if result.reason in _NEVER_RETRIED:
        return None
    if result.outcome is Outcome.NOT_RUN:
        return _REASONS_IF_NOT_RUN.get(result.reason, RetryReason.NOT_STARTED)
    if idempotent:
        return _REASONS_IF_MAYBE_RUN.get(result.reason)
    return None
