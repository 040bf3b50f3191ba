"""Call routing: listeners, peer streams, dispatch and the local backend server."""

from damaskproxy.routing.attempts import AttemptRegistry, RunningAttempt
from damaskproxy.routing.backend_client import BackendClient, BackendResponse
from damaskproxy.routing.backend_listener import AnnouncementReply, BackendListener
from damaskproxy.routing.dispatcher import Dispatcher
from damaskproxy.routing.errors import BackendError, PeerError, RoutingError
from damaskproxy.routing.execution import BackendExecutor
from damaskproxy.routing.gateway import CallHandler, Gateway
from damaskproxy.routing.local_backend import Announcement, LocalBackend
from damaskproxy.routing.peer_server import PeerServer
from damaskproxy.routing.peer_stream import PeerStreams, StreamLostError
from damaskproxy.routing.requests import RequestReader
from damaskproxy.routing.retry_rules import retry_reason
from damaskproxy.routing.settings import RoutingSettings
from damaskproxy.routing.submitter import Submitter
from damaskproxy.routing.target import Target

__all__ = [
    "Announcement",
    "AttemptRegistry",
    "BackendResponse",
    "BackendClient",
    "BackendError",
    "AnnouncementReply",
    "BackendListener",
    "CallHandler",
    "Dispatcher",
    "BackendExecutor",
    "Gateway",
    "LocalBackend",
    "PeerError",
    "PeerServer",
    "PeerStreams",
    "RequestReader",
    "RoutingError",
    "RoutingSettings",
    "RunningAttempt",
    "StreamLostError",
    "Submitter",
    "Target",
    "retry_reason",
]
