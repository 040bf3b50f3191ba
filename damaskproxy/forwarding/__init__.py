"""The path of a request: origin, links between nodes, target."""

from damaskproxy.forwarding.backend import Backend, StatusReport
from damaskproxy.forwarding.choosing import Chooser
from damaskproxy.forwarding.crash_guard import CrashGuard
from damaskproxy.forwarding.frames import (
    STATE_PATH,
    AskFrame,
    HelloFrame,
    TellFrame,
)
from damaskproxy.forwarding.headers import HeaderNames
from damaskproxy.forwarding.lineage import Lineage
from damaskproxy.forwarding.link import LinkHandlers
from damaskproxy.forwarding.links import Links
from damaskproxy.forwarding.origin import Origin
from damaskproxy.forwarding.stats import LATENCY_BUCKETS_S, RequestStats
from damaskproxy.forwarding.target import Target

__all__ = [
    "LATENCY_BUCKETS_S",
    "STATE_PATH",
    "AskFrame",
    "Backend",
    "Chooser",
    "CrashGuard",
    "HeaderNames",
    "HelloFrame",
    "Lineage",
    "LinkHandlers",
    "Links",
    "Origin",
    "RequestStats",
    "StatusReport",
    "Target",
    "TellFrame",
]
