"""Events of the adapter to the platform."""

import logging

from damaskproxy.events import define

__all__ = ["BOUND_MISSING", "CONFIRMED_UNSTORED", "REPORT_IGNORED"]

BOUND_MISSING = define(
    11008,
    "bound-missing",
    logging.WARNING,
    "The platform does not state a bound, or not as a number; the usual one is kept.",
)
REPORT_IGNORED = define(
    11005,
    "status-report-ignored",
    logging.INFO,
    "A status report is malformed, stale or not about the backend server here.",
)
CONFIRMED_UNSTORED = define(
    11007,
    "leave-confirmed-unstored",
    logging.WARNING,
    "The leave of a backend server is confirmed although the store did not keep it.",
)
