"""Numbered events of the development backend server."""

import logging

from damaskproxy.events import define

__all__ = [
    "ANNOUNCE_FAILED",
    "BACKEND_CRASHING",
    "BACKEND_DRAINING",
    "BACKEND_STARTED",
    "BACKEND_STOPPED",
]

BACKEND_STARTED = define(
    9101,
    "backend-started",
    logging.INFO,
    "The development backend server listens at the printed address.",
)
ANNOUNCE_FAILED = define(
    9102,
    "backend-announce-failed",
    logging.WARNING,
    "The node did not accept an announcement; the next one follows as usual.",
)
BACKEND_DRAINING = define(
    9103,
    "backend-draining",
    logging.INFO,
    "The development backend server was asked to stop and finishes what it runs.",
)
BACKEND_STOPPED = define(
    9104,
    "backend-stopped",
    logging.INFO,
    "The development backend server has drained and exits.",
)
BACKEND_CRASHING = define(
    9105,
    "backend-crashing",
    logging.ERROR,
    "A marked request kills the development backend server, as it was asked to.",
)
