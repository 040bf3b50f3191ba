"""Events of the allowances of organisations."""

import logging

from damaskproxy.events import define

__all__ = [
    "ALLOWANCE_LIMITED",
    "ALLOWANCE_OPEN",
    "MESSAGES_DROPPED",
    "OWNER_LOST",
    "OWNER_REGAINED",
]

ALLOWANCE_LIMITED = define(
    13001,
    "allowance-limited",
    logging.INFO,
    "An organisation has nearly spent its allowance; nodes ask this node, which owns "
    "it, for each of its requests.",
)
ALLOWANCE_OPEN = define(
    13002,
    "allowance-open",
    logging.INFO,
    "An organisation is far enough below its allowance again; nodes admit its requests "
    "without asking this node, which owns it.",
)
OWNER_LOST = define(
    13003,
    "allowance-owner-lost",
    logging.INFO,
    "A node that owns allowances does not respond; the next candidate replaces it, or "
    "this node spends its own share of the allowances.",
)
OWNER_REGAINED = define(
    13004,
    "allowance-owner-regained",
    logging.INFO,
    "A node that owns allowances responds again.",
)
MESSAGES_DROPPED = define(
    13005,
    "allowance-messages-dropped",
    logging.WARNING,
    "The queue of messages to a node that owns allowances is full while the connection "
    "opens; further ones are dropped. Logged once until a connection has opened.",
)
