"""Events of the adapter to the platform."""

import logging

from damaskproxy.events import define

__all__ = [
    "CONFIGURATION_IN_FORCE",
    "CONFIRMED_UNSTORED",
    "HISTORY_LOST",
    "REPORT_IGNORED",
    "ROW_IGNORED",
    "SEED_ASKED",
    "STORE_LOST",
    "STORE_REGAINED",
]

STORE_LOST = define(
    11001,
    "store-lost",
    logging.WARNING,
    "The platform's store does not answer; news comes from other nodes until it does.",
)
STORE_REGAINED = define(
    11002, "store-regained", logging.INFO, "The platform's store answers again."
)
HISTORY_LOST = define(
    11003,
    "store-history-lost",
    logging.INFO,
    "The store dropped the changes since the last read, so all rows are read again.",
)
ROW_IGNORED = define(
    11004, "row-ignored", logging.WARNING, "A row of the store cannot be read."
)
REPORT_IGNORED = define(
    11005,
    "status-report-ignored",
    logging.INFO,
    "A status report is malformed, stale or not about the backend server here.",
)
CONFIGURATION_IN_FORCE = define(
    11006, "configuration-in-force", logging.INFO, "A new configuration is in force."
)
CONFIRMED_UNSTORED = define(
    11007,
    "leave-confirmed-unstored",
    logging.WARNING,
    "The leave of a backend server is confirmed although the store did not keep it.",
)
SEED_ASKED = define(
    11008,
    "seed-asked",
    logging.INFO,
    "Configuration and members were read from another node at the start.",
)
