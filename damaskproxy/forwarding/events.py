"""Events of the forwarding of calls."""

import logging

from damaskproxy.events import define

__all__ = [
    "BACKEND_CRASHED",
    "CALL_FAILED",
    "CALL_NOT_ANSWERED",
    "FRAME_FAILED",
    "LEAVE_NAMED",
    "LIMIT_CHANGED",
    "LIMIT_IGNORED",
    "LINK_LOST",
    "LINK_OPENED",
    "LINK_REFUSED",
    "LINK_SILENT",
    "RECORD_IGNORED",
    "REQUEST_NOT_AUTHENTICATED",
    "REQUEST_NOT_SERVED",
    "SERVER_UNVERIFIED",
    "SERVER_VERIFIED",
]

BACKEND_CRASHED = define(
    10101,
    "backend-crashed",
    logging.WARNING,
    "All connections to the backend server were lost and it no longer listens.",
)
LINK_OPENED = define(
    10102, "link-opened", logging.DEBUG, "A connection to another node was opened."
)
LINK_LOST = define(
    10103,
    "link-lost",
    logging.INFO,
    "A connection to another node was lost; the calls on it may have run.",
)
LINK_REFUSED = define(
    10104,
    "link-refused",
    logging.INFO,
    "A connection to another node could not be opened.",
)
LINK_SILENT = define(
    10108,
    "link-silent",
    logging.INFO,
    "A node does not respond on an open connection; idempotent calls run elsewhere.",
)
REQUEST_NOT_SERVED = define(
    10105,
    "request-not-served",
    logging.INFO,
    "A request was refused or got no response; the results of its attempts are given.",
)
REQUEST_NOT_AUTHENTICATED = define(
    10116,
    "request-not-authenticated",
    logging.INFO,
    "A request had no API key or an unknown one, and was answered 401.",
)
CALL_NOT_ANSWERED = define(
    10107,
    "call-not-answered",
    logging.INFO,
    "The node next to the backend server refused a call or got no valid response.",
)
CALL_FAILED = define(
    10106,
    "peer-call-failed",
    logging.ERROR,
    "Handling a call of another node raised an unexpected exception.",
)
RECORD_IGNORED = define(
    10112,
    "record-ignored",
    logging.WARNING,
    "Another node sent an invalid member record, which is ignored.",
)
FRAME_FAILED = define(
    10113,
    "frame-failed",
    logging.ERROR,
    "Handling a frame of another node raised an unexpected exception; its connection "
    "is closed.",
)
LIMIT_IGNORED = define(
    10109,
    "server-limit-ignored",
    logging.WARNING,
    "The backend server named a limit on its requests that is not a valid number.",
)
LEAVE_NAMED = define(
    10110,
    "server-leaves",
    logging.INFO,
    "The backend server said in an answer that it leaves; it gets no new calls.",
)
LIMIT_CHANGED = define(
    10111,
    "server-limit-changed",
    logging.INFO,
    "The backend server named another limit on its requests, or no longer names one.",
)
SERVER_VERIFIED = define(
    10114,
    "server-verified",
    logging.INFO,
    "The health check of the backend server has succeeded after a start of the node; "
    "it has not left and is served.",
)
SERVER_UNVERIFIED = define(
    10115,
    "server-unverified",
    logging.INFO,
    "The health check of the backend server has failed after a start of the node; it "
    "may leave and is not served until a check succeeds. Logged once for each "
    "incarnation.",
)
