"""Types shared by all packages: reasons, outcomes, priorities, errors and ids."""

from damaskproxy.common.errors import DamaskError
from damaskproxy.common.ids import new_attempt_id, ordinal_of
from damaskproxy.common.reasons import (
    Outcome,
    Priority,
    Refusal,
    RefusalReason,
    RetryReason,
)

__all__ = [
    "DamaskError",
    "Outcome",
    "Priority",
    "Refusal",
    "RefusalReason",
    "RetryReason",
    "new_attempt_id",
    "ordinal_of",
]
