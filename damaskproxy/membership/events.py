"""Numbered log events of membership."""

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
    3001, "member-suspect", logging.INFO, "A probed member answered nobody."
)
MEMBER_DEAD = define(
    3002, "member-dead", logging.WARNING, "A suspect did not refute in time."
)
REFUTED = define(
    3003, "suspicion-refuted", logging.WARNING, "This node was suspected and refuted."
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
    "The clock jumped or the event loop was late; suspicions are put off.",
)
ISOLATED = define(
    3006, "isolated", logging.ERROR, "No other member replied for some seconds."
)
REACHABLE_AGAIN = define(
    3007, "reachable-again", logging.INFO, "A member replied after an isolation."
)
JOINED = define(3008, "joined", logging.INFO, "The node met the first other member.")
LEFT = define(3009, "left", logging.INFO, "The node announced that it stopped.")
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
    "A payload of sections or quarantine records could not be merged.",
)
CALLBACK_FAILED = define(
    3012, "change-callback-failed", logging.ERROR, "A callback of a change raised."
)
SAME_NODE_ID = define(
    3013,
    "node-id-in-use",
    logging.ERROR,
    "Another process with other addresses uses the id of this node.",
)
HANDLER_FAILED = define(
    3014, "control-handler-failed", logging.ERROR, "A control call raised."
)
