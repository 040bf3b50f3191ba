"""Log events of the quarantine."""

import logging

from damaskproxy.events import define

__all__ = ["CLEARED", "QUARANTINED", "RECORDS_FULL", "SUSPECTED"]

SUSPECTED = define(
    8001,
    "requests-suspected",
    logging.WARNING,
    "A backend server crashed while it ran these requests.",
)
QUARANTINED = define(
    8002,
    "request-quarantined",
    logging.ERROR,
    "A suspect request ran when another backend server crashed; it is refused.",
)
CLEARED = define(8003, "suspect-cleared", logging.INFO, "A suspect request completed.")
RECORDS_FULL = define(
    8004,
    "quarantine-full",
    logging.ERROR,
    "A record of a suspect request was dropped: the store of records is full.",
)
