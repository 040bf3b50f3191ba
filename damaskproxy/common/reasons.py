"""Enumerations of refusal and retry reasons, outcomes and priorities."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

__all__ = ["Outcome", "Priority", "Refusal", "RefusalReason", "RetryReason"]


class Outcome(StrEnum):
    """What a caller may conclude about the execution of its request."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"


class Priority(IntEnum):
    """Priority class of a route; a lower value is shed later."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    SHEDDABLE = 3


class RefusalReason(StrEnum):
    """Reason for a refusal, label of ``damask_refusals_total``."""

    OVERLOAD_QUEUE_FULL = "overload-queue-full"
    OVERLOAD_LEVEL = "overload-level"
    OVERLOAD_DEADLINE = "overload-deadline"
    OVERLOAD_EARLY = "overload-early"
    DEADLINE_PASSED = "deadline-passed"
    START_BY_PASSED = "start-by-passed"
    CANCELLED = "cancelled"
    LEAVING = "leaving"
    NOT_READY = "not-ready"
    ISOLATED = "isolated"
    NO_BACKEND = "no-backend"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_DIED = "backend-died"
    BACKEND_SHED = "backend-shed"
    BACKEND_ERROR = "backend-error"
    PEER_LOST = "peer-lost"
    RETRY_ALLOWANCE_SPENT = "retry-allowance-spent"
    RETRY_RATIO = "retry-ratio"
    QUARANTINED = "quarantined"
    KEY_REQUIRED = "key-required"
    KEY_INVALID = "key-invalid"
    KEY_EXPIRED = "key-expired"
    KEY_MISMATCH = "key-mismatch"
    PIN_UNAVAILABLE = "pin-unavailable"
    LEDGER_LOST = "ledger-lost"
    LEDGER_MOVING = "ledger-moving"
    LEDGER_UNREACHABLE = "ledger-unreachable"
    ANSWER_UNAVAILABLE = "answer-unavailable"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ROUTE = "unknown-route"
    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    HEADER_TOO_LARGE = "header-too-large"
    PRIORITY_NOT_ALLOWED = "priority-not-allowed"
    STOPPING = "stopping"
    TOO_DEEP = "too-deep"
    LIMIT_CONNECTIONS = "limit-connections"


class RetryReason(StrEnum):
    """Reason for a retry, label of ``damask_retries_total``."""

    NOT_STARTED = "not-started"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_DIED = "backend-died"
    BACKEND_SHED = "backend-shed"
    PEER_LOST = "peer-lost"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Falsy result of a refused request or operation.

    Parameters
    ----------
    reason : RefusalReason
        Why it was refused.
    outcome : Outcome
        What the caller may conclude about the execution.
    retry_after_ms : int
        Suggested delay before the client resends, 0 when none is suggested.
    detail : str
        Explanation in one sentence.
    tokens_left : int
        Unused retry tokens, returned to the sender.
    """

    reason: RefusalReason
    outcome: Outcome
    retry_after_ms: int = 0
    detail: str = ""
    tokens_left: int = 0

    def __bool__(self) -> bool:
        return False
