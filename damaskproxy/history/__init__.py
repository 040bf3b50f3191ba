"""Recorder and checker of request histories."""

from damaskproxy.history.checker import Finding, Scope, Verdict, check
from damaskproxy.history.recorder import (
    HistoryError,
    HistoryEvent,
    Kind,
    Recorder,
    digest_of,
    read_history,
)

__all__ = [
    "Finding",
    "HistoryError",
    "HistoryEvent",
    "Kind",
    "Recorder",
    "Scope",
    "Verdict",
    "check",
    "digest_of",
    "read_history",
]
