"""Events of a node's view of the mesh."""

import logging

from damaskproxy.events import define

__all__ = [
    "CONFIGURATION_IN_FORCE",
    "HISTORY_LOST",
    "ROW_IGNORED",
    "STORE_LOST",
    "STORE_REGAINED",
]

STORE_LOST = define(
    11001,
    "store-lost",
    logging.WARNING,
    "The store does not answer; news comes from other nodes until it does.",
)
STORE_REGAINED = define(
    11002, "store-regained", logging.INFO, "The store answers again."
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
CONFIGURATION_IN_FORCE = define(
    11006, "configuration-in-force", logging.INFO, "A new configuration is in force."
)
