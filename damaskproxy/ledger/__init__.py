"""At-most-once execution of non-idempotent requests."""

from damaskproxy.ledger.entries import LedgerEntry, fingerprint_of
from damaskproxy.ledger.guard import (
    AttemptGuard,
    AttemptState,
    AttemptTicket,
    Repeated,
)
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.ledger import Ledger
from damaskproxy.ledger.retrying import may_retry, never_retry
from damaskproxy.ledger.settings import LedgerSettings

__all__ = [
    "AttemptGuard",
    "AttemptState",
    "AttemptTicket",
    "IssuedKey",
    "KeyRing",
    "Ledger",
    "LedgerEntry",
    "LedgerSettings",
    "Repeated",
    "fingerprint_of",
    "may_retry",
    "never_retry",
]
