"""Forwarding of requests between nodes.

The origin is the node on the VM of the caller: it routes a request, selects a member
and sends it a call. The target is the node on the VM of the backend server that runs
the call. A link is a connection between two nodes.
"""

from damaskproxy.forwarding.answer_sizes import AnswerSizes
from damaskproxy.forwarding.backend import Backend, StatusReport
from damaskproxy.forwarding.frame_decoder import decode_state
from damaskproxy.forwarding.frames import (
    STATE_PATH,
    ControlFrame,
    HelloFrame,
    RecordRequestFrame,
    StateFrame,
    StateRequestFrame,
)
from damaskproxy.forwarding.headers import HeaderNames
from damaskproxy.forwarding.large_frames import FrameError, LinkMemory
from damaskproxy.forwarding.link import LinkHandlers
from damaskproxy.forwarding.links import Links
from damaskproxy.forwarding.member_selection import MemberSelector
from damaskproxy.forwarding.origin import Origin
from damaskproxy.forwarding.parent_requests import ParentRequests
from damaskproxy.forwarding.poison_requests import PoisonRequestDetector
from damaskproxy.forwarding.server_check import ServerCheck
from damaskproxy.forwarding.stats import LATENCY_BUCKETS_S, RequestStats
from damaskproxy.forwarding.target import Target

__all__ = [
    "LATENCY_BUCKETS_S",
    "STATE_PATH",
    "StateRequestFrame",
    "ControlFrame",
    "FrameError",
    "decode_state",
    "RecordRequestFrame",
    "AnswerSizes",
    "Backend",
    "MemberSelector",
    "PoisonRequestDetector",
    "HeaderNames",
    "HelloFrame",
    "ParentRequests",
    "LinkHandlers",
    "LinkMemory",
    "Links",
    "Origin",
    "RequestStats",
    "ServerCheck",
    "StatusReport",
    "Target",
    "StateFrame",
]
