"""Events of HTTP/1.1 connections."""

import logging

from damaskproxy.events import define

__all__ = [
    "CONNECTION_SHED",
    "REQUEST_FAILED",
    "REQUEST_MALFORMED",
    "RESPONSE_CUT",
]

REQUEST_MALFORMED = define(
    10001,
    "request-malformed",
    logging.DEBUG,
    "A request violated the protocol or a limit and was rejected before handling.",
)
REQUEST_FAILED = define(
    10002,
    "request-failed",
    logging.ERROR,
    "Handling a request raised an unexpected exception.",
)
RESPONSE_CUT = define(
    10003,
    "response-cut",
    logging.WARNING,
    "This node closed a connection with a request that it had not answered, or with an "
    "answer that it had not sent completely; the reason is given.",
)
CONNECTION_SHED = define(
    10004,
    "connection-shed",
    logging.WARNING,
    "A listener had too many connections and closed one that had been without progress "
    "for the longest time; a request that was read in part or queued has not run.",
)
