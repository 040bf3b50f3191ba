"""Records histories of requests and checks that they satisfy the guarantees."""

from damaskproxy.history.checker import Finding, OutcomeScope, Verdict, check
from damaskproxy.history.recorder import (
    EventKind,
    HistoryError,
    HistoryEvent,
    Recorder,
    digest_of,
    read_history,
)

__all__ = [
    "EventKind",
    "Finding",
    "HistoryError",
    "HistoryEvent",
    "OutcomeScope",
    "Recorder",
    "Verdict",
    "check",
    "digest_of",
    "read_history",
]
