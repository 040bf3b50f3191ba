"""Numbered events of admission, 7000 to 7099."""

import logging

from damaskproxy.events import define

__all__ = ["OVERLOAD_BEGAN", "OVERLOAD_ENDED", "SLOTS_CHANGED"]

OVERLOAD_BEGAN = define(
    7001,
    "overload-began",
    logging.WARNING,
    "The admission level of the local backend server fell below its highest value.",
)
OVERLOAD_ENDED = define(
    7002,
    "overload-ended",
    logging.INFO,
    "The admission level is at its highest value again and all calls are admitted.",
)
SLOTS_CHANGED = define(
    7003,
    "slots-changed",
    logging.INFO,
    "The local backend server announced a different number of slots.",
)
