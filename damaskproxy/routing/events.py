"""Log events of the routing layer."""

import logging

from damaskproxy.events import define

__all__ = [
    "BACKEND_ANNOUNCED",
    "BACKEND_DIED",
    "BACKEND_LEASE_LAPSED",
    "BACKEND_STOP_FAILED",
    "BACKEND_STOP_SENT",
    "CALL_FAILED",
    "PEER_CONNECTED",
    "PEER_FRAME_INVALID",
    "PEER_LOST",
]

PEER_CONNECTED = define(
    2001, "peer-connected", logging.DEBUG, "A stream to a peer was opened."
)
PEER_LOST = define(
    2002,
    "peer-lost",
    logging.INFO,
    "A stream to a peer was lost or could not be opened.",
)
PEER_FRAME_INVALID = define(
    2003,
    "peer-frame-invalid",
    logging.WARNING,
    "A peer sent a frame that violates the schema; its stream was closed.",
)
BACKEND_ANNOUNCED = define(
    2010, "backend-announced", logging.INFO, "A backend server announced itself."
)
BACKEND_LEASE_LAPSED = define(
    2011,
    "backend-lease-lapsed",
    logging.WARNING,
    "The backend server did not renew its announcement within the lease.",
)
BACKEND_DIED = define(
    2012,
    "backend-died",
    logging.WARNING,
    "The backend server closed connections with requests in flight.",
)
BACKEND_STOP_SENT = define(
    2013, "backend-stop-sent", logging.INFO, "The backend server was asked to stop."
)
BACKEND_STOP_FAILED = define(
    2014,
    "backend-stop-failed",
    logging.WARNING,
    "The backend server did not confirm the request to stop.",
)
CALL_FAILED = define(
    2020,
    "call-failed",
    logging.ERROR,
    "Handling a call raised an unexpected exception.",
)
