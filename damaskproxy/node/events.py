"""Log events of the node."""

import logging

from damaskproxy.events import define

__all__ = [
    "DRAINED",
    "DRAINING",
    "HANDOVER_SKIPPED",
    "NODE_READY",
    "NODE_STARTED",
    "NODE_STOPPED",
    "STOP_FORCED",
    "STOP_HELD",
    "STOP_REQUESTED",
    "TASK_FAILED",
]

NODE_STARTED = define(
    1001, "node-started", logging.INFO, "All listeners of the node are open."
)
NODE_READY = define(
    1002,
    "node-ready",
    logging.INFO,
    "The sections of the move document are up to date; the node accepts requests.",
)
STOP_REQUESTED = define(
    1003, "stop-requested", logging.INFO, "A graceful shutdown of the node has begun."
)
STOP_HELD = define(
    1004,
    "stop-held",
    logging.WARNING,
    "A drain or graceful shutdown has exceeded the drain time-out and still waits.",
)
STOP_FORCED = define(
    1005,
    "stop-forced",
    logging.WARNING,
    "A second signal stopped the node before its graceful shutdown was complete.",
)
NODE_STOPPED = define(1006, "node-stopped", logging.INFO, "The node has stopped.")
DRAINING = define(
    1010, "draining", logging.INFO, "The backend server takes no more new work."
)
DRAINED = define(
    1011,
    "drained",
    logging.INFO,
    "The last request in flight has completed and the backend server was asked to "
    "stop.",
)
HANDOVER_SKIPPED = define(
    1012,
    "handover-skipped",
    logging.WARNING,
    "The ledger was not handed over, since no other serving node is known.",
)
TASK_FAILED = define(
    1020, "task-failed", logging.ERROR, "A background task raised an exception."
)
