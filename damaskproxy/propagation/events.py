"""Log events of the propagation of configuration and members."""

import logging

from damaskproxy.events import define

__all__ = [
    "CONTACT_LOST",
    "CONTACT_REGAINED",
    "FOLLOWS_STORE",
    "SOURCE_QUIET",
    "STORE_RESTORED",
]

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
CONTACT_LOST = define(
    11104,
    "store-contact-lost",
    logging.INFO,
    "Neither this node nor one that it hears of is in touch with the store. "
    "``contact`` is the one that was last.",
)
CONTACT_REGAINED = define(
    11105,
    "store-contact-regained",
    logging.INFO,
    "This node, or one that it hears of, is in touch with the store; ``contact`` names "
    "it.",
)
