"""Log events of the propagation of configuration and members."""

import logging

from damaskproxy.events import define

__all__ = ["FOLLOWS_STORE", "SOURCE_QUIET", "STORE_RESTORED"]

SOURCE_QUIET = define(
    11101,
    "source-quiet",
    logging.INFO,
    "The node that this node follows has sent no heartbeat; another one is chosen.",
)
FOLLOWS_STORE = define(
    11102,
    "follows-store",
    logging.INFO,
    "This node follows the store for its data centre.",
)
STORE_RESTORED = define(
    11103,
    "store-restored",
    logging.WARNING,
    "The store has returned from an older copy; what was written after it is lost.",
)
