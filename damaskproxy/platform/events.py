"""Log events of the adapter to the platform."""

import logging

from damaskproxy.events import define

__all__ = [
    "BOUND_MISSING",
    "CONFIRMED_UNSTORED",
    "LEAVE_NOT_CONFIRMED",
    "REPORT_IGNORED",
]

BOUND_MISSING = define(
    11008,
    "bound-missing",
    logging.WARNING,
    "A bound of the platform is missing or not a number; the default applies.",
)
REPORT_IGNORED = define(
    11005,
    "status-report-ignored",
    logging.INFO,
    "A status report is invalid, stale or about another backend server.",
)
CONFIRMED_UNSTORED = define(
    11007,
    "leave-confirmed-unstored",
    logging.WARNING,
    "The leave of a backend server was confirmed although it is not stored yet.",
)
LEAVE_NOT_CONFIRMED = define(
    11020,
    "leave-not-confirmed",
    logging.WARNING,
    "The leave of a backend server is in force but was not confirmed, since a restart "
    "of the node could lose it; the backend server asks again.",
)
