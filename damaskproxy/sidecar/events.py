"""Events of the life of a node beside a backend server."""

import logging

from damaskproxy.events import define

__all__ = [
    "NO_PEER_ANSWERED",
    "OWN_ROW_UNREADABLE",
    "SETTINGS_KEPT",
    "SETTINGS_RELOADED",
    "SIDECAR_READY",
    "SIDECAR_STARTED",
    "SIDECAR_STOPPED",
    "SIDECAR_STOPPING",
    "TASK_ENDED",
]

SIDECAR_STARTED = define(
    12001, "sidecar-started", logging.INFO, "The node listens on all its addresses."
)
SIDECAR_READY = define(
    12002, "sidecar-ready", logging.INFO, "The node knows a configuration and members."
)
SIDECAR_STOPPING = define(
    12003,
    "sidecar-stopping",
    logging.INFO,
    "The node was asked to stop; it serves until its requests have ended.",
)
SIDECAR_STOPPED = define(
    12004, "sidecar-stopped", logging.INFO, "The node ends; requests cut are counted."
)
SETTINGS_RELOADED = define(
    12005, "settings-reloaded", logging.INFO, "The settings file was read again."
)
SETTINGS_KEPT = define(
    12006,
    "settings-kept",
    logging.ERROR,
    "The settings file cannot be read; the settings in force stay.",
)
OWN_ROW_UNREADABLE = define(
    12008,
    "own-row-unreadable",
    logging.WARNING,
    "What this node stored before its restart cannot be read; it starts anew.",
)
TASK_ENDED = define(
    12007,
    "background-task-ended",
    logging.ERROR,
    "A background task raised an unexpected error and is started again.",
)
NO_PEER_ANSWERED = define(
    12009,
    "no-peer-answered",
    logging.INFO,
    "A restarted node asked peers for leaves that it had confirmed; none answered in "
    "time.",
)
