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
    1001, "node-started", logging.INFO, "The listeners of the node are open."
)
NODE_READY = define(
    1002,
    "node-ready",
    logging.INFO,
    "The sections of the move document are current; the node takes work.",
)
STOP_REQUESTED = define(
    1003, "stop-requested", logging.INFO, "A graceful shutdown of the node began."
)
STOP_HELD = define(
    1004,
    "stop-held",
    logging.WARNING,
    "A graceful shutdown has waited for longer than the drain time-out.",
)
STOP_FORCED = define(
    1005,
    "stop-forced",
    logging.WARNING,
    "A second signal ended the node before its graceful shutdown was complete.",
)
NODE_STOPPED = define(1006, "node-stopped", logging.INFO, "The node has stopped.")
DRAINING = define(
    1010, "draining", logging.INFO, "The backend server takes no new work any more."
)
DRAINED = define(
    1011,
    "drained",
    logging.INFO,
    "The last request in flight has ended and the backend server was told to stop.",
)
HANDOVER_SKIPPED = define(
    1012,
    "handover-skipped",
    logging.WARNING,
    "No other node is known, so the ledger could be handed to nobody.",
)
TASK_FAILED = define(
    1020, "task-failed", logging.ERROR, "A background task ended with an error."
)
