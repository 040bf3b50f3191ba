"""Log events of the life cycle of a sidecar."""

import logging

from damaskproxy.events import define

__all__ = [
    "FIRST_ROW_NOT_WRITTEN",
    "LISTENER_FAILED",
    "LISTENER_OPENED_LATE",
    "LISTENER_WAITS",
    "MEMORY_HIGH",
    "NO_PEER_ANSWERED",
    "OWN_ROW_UNREADABLE",
    "PROCESS_FAILED",
    "SETTINGS_KEPT",
    "SETTINGS_RELOADED",
    "SIDECAR_READY",
    "SIDECAR_STARTED",
    "SIDECAR_STOPPED",
    "SIDECAR_STOPPING",
    "TASK_ENDED",
]

SIDECAR_STARTED = define(
    12001, "sidecar-started", logging.INFO, "All listeners of the node are open."
)
SIDECAR_READY = define(
    12002, "sidecar-ready", logging.INFO, "The node has a configuration and members."
)
SIDECAR_STOPPING = define(
    12003,
    "sidecar-stopping",
    logging.INFO,
    "The node received a stop signal; it serves until its requests have completed.",
)
SIDECAR_STOPPED = define(
    12004,
    "sidecar-stopped",
    logging.INFO,
    "The node exits; the fields count the requests that it aborts, those that it has "
    "read in part, and the bytes of answers that it has not sent.",
)
SETTINGS_RELOADED = define(
    12005,
    "settings-reloaded",
    logging.INFO,
    "The settings file was reloaded; the fields name the settings that have changed, "
    "and those whose new value is in force after a restart.",
)
SETTINGS_KEPT = define(
    12006,
    "settings-kept",
    logging.ERROR,
    "The settings file could not be loaded; the current settings stay in force.",
)
OWN_ROW_UNREADABLE = define(
    12008,
    "own-row-unreadable",
    logging.WARNING,
    "The record that this node stored before its restart could not be decoded; the "
    "node starts without it.",
)
TASK_ENDED = define(
    12007,
    "background-task-ended",
    logging.ERROR,
    "A background task raised an unexpected exception and is restarted.",
)
FIRST_ROW_NOT_WRITTEN = define(
    12010,
    "first-row-not-written",
    logging.INFO,
    "The store did not confirm the first row of this node; it is written once the "
    "members have been read.",
)
NO_PEER_ANSWERED = define(
    12009,
    "no-peer-answered",
    logging.INFO,
    "A restarted node asked its peers whether it had confirmed a leave of its backend "
    "server; none responded in time.",
)
PROCESS_FAILED = define(
    12011,
    "process-failed",
    logging.CRITICAL,
    "The process ends because of an unexpected exception.",
)
MEMORY_HIGH = define(
    12012,
    "memory-high",
    logging.WARNING,
    "The memory of the process has come close to its limit, above which the platform "
    "kills it; the fields name what it holds.",
)
LISTENER_WAITS = define(
    12013,
    "listener-waits",
    logging.WARNING,
    "The address of a listener is not free; the node tries again until it is, and is "
    "not ready before. Logged once for each error.",
)
LISTENER_OPENED_LATE = define(
    12014,
    "listener-opened-late",
    logging.INFO,
    "The address of a listener that the node waited for is free; the listener is open.",
)
LISTENER_FAILED = define(
    12015,
    "listener-failed",
    logging.CRITICAL,
    "A listener cannot be opened, for a reason that does not pass; the process ends.",
)
