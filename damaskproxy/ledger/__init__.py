"""At-most-once execution of non-idempotent requests."""

from damaskproxy.ledger.compact import CompactBlock
from damaskproxy.ledger.entries import LedgerEntry, answer_of_entry, fingerprint_of
from damaskproxy.ledger.guard import (
    AttemptGuard,
    AttemptState,
    AttemptTicket,
    DuplicateAttempt,
)
from damaskproxy.ledger.handover import (
    Handover,
    HandoverResult,
    HandoverStep,
    Heir,
    hand_over,
    receive_handover,
)
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.ledger import Ledger
from damaskproxy.ledger.outcomes import OutcomeUnavailable, OutcomeWriter
from damaskproxy.ledger.pins import PinnedKeys, ScopedKeys
from damaskproxy.ledger.retry_policy import may_retry, never_retry
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.ledger.tables import TableErrors

__all__ = [
    "AttemptGuard",
    "AttemptState",
    "AttemptTicket",
    "CompactBlock",
    "DuplicateAttempt",
    "Handover",
    "HandoverResult",
    "HandoverStep",
    "Heir",
    "IssuedKey",
    "KeyRing",
    "Ledger",
    "LedgerEntry",
    "LedgerSettings",
    "OutcomeUnavailable",
    "OutcomeWriter",
    "PinnedKeys",
    "ScopedKeys",
    "TableErrors",
    "answer_of_entry",
    "fingerprint_of",
    "hand_over",
    "may_retry",
    "never_retry",
    "receive_handover",
]
