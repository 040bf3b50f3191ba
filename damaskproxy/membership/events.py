"""Log events of membership."""

import logging

from damaskproxy.events import define

__all__ = [
    "CALLBACK_FAILED",
    "CONTACTS_UNAVAILABLE",
    "EXTRA_REJECTED",
    "HANDLER_FAILED",
    "ISOLATED",
    "JOINED",
    "LEFT",
    "MEMBER_DEAD",
    "MEMBER_SUSPECT",
    "REACHABLE_AGAIN",
    "REFUTED",
    "REJOINED",
    "SAME_NODE_ID",
    "STALLED",
]

MEMBER_SUSPECT = define(
    3001,
    "member-suspect",
    logging.INFO,
    "Neither this node nor a helper reached a probed member.",
)
MEMBER_DEAD = define(
    3002,
    "member-dead",
    logging.WARNING,
    "A suspect member did not refute the suspicion in time.",
)
REFUTED = define(
    3003,
    "suspicion-refuted",
    logging.WARNING,
    "Another node suspected this one, which refuted it.",
)
REJOINED = define(
    3004,
    "rejoined",
    logging.WARNING,
    "This node was declared dead and rejoined with a higher incarnation.",
)
STALLED = define(
    3005,
    "process-stalled",
    logging.WARNING,
    "The clock jumped or the event loop was late; suspicion timers are restarted.",
)
ISOLATED = define(
    3006, "isolated", logging.ERROR, "No other member has replied for some seconds."
)
REACHABLE_AGAIN = define(
    3007,
    "reachable-again",
    logging.INFO,
    "A member has replied again after this node was isolated.",
)
JOINED = define(
    3008, "joined", logging.INFO, "The node reached another member of the mesh."
)
LEFT = define(
    3009, "left", logging.INFO, "The node announced its stop to its neighbours."
)
CONTACTS_UNAVAILABLE = define(
    3010,
    "contacts-unavailable",
    logging.WARNING,
    "The contact rows could not be read or written.",
)
EXTRA_REJECTED = define(
    3011,
    "extra-rejected",
    logging.ERROR,
    "Sections or quarantine records of a peer could not be compared or merged.",
)
CALLBACK_FAILED = define(
    3012,
    "change-callback-failed",
    logging.ERROR,
    "A callback for member changes raised an exception.",
)
SAME_NODE_ID = define(
    3013,
    "node-id-in-use",
    logging.ERROR,
    "Another process, at another address, uses the id of this node.",
)
HANDLER_FAILED = define(
    3014,
    "control-handler-failed",
    logging.ERROR,
    "The handler of a control call raised an exception.",
)
