"""Models of the settings file of a node."""

from typing import Annotated, Literal

import msgspec

from damaskproxy.admission import AdmissionSettings
from damaskproxy.balancing import BalancingSettings
from damaskproxy.ledger import LedgerSettings
from damaskproxy.membership import MembershipSettings
from damaskproxy.move import DrainSettings, PollerSettings
from damaskproxy.quarantine import QuarantineSettings
from damaskproxy.retries import RetrySettings
from damaskproxy.routing import RoutingSettings
from damaskproxy.store import PlatformSettings

__all__ = ["Listener", "Listeners", "LogSettings", "NodeSettings"]

Name = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$"),
]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
MIN_SECRET_CHARS = 16


class Listener(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """IP address and port that a node listens on.

    Parameters
    ----------
    host : str
        IP address; host names are not accepted.
    port : int
        Port; 0 selects a free one.
    """

    host: str = "127.0.0.1"
    port: Port = 0


class Listeners(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listeners of a node.

    Parameters
    ----------
    call : Listener
        HTTP for callers.
    backend : Listener
        HTTP for the local backend server; should be a loopback address.
    peer : Listener
        Call streams from other nodes.
    control : Listener
        gRPC control messages from other nodes.
    admin : Listener
        Health, metrics and status; should be a loopback address.
    """

    call: Listener = Listener()
    backend: Listener = Listener()
    peer: Listener = Listener()
    control: Listener = Listener()
    admin: Listener = Listener()


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log.

    Parameters
    ----------
    style : str
        One JSON object per line, or human-readable lines.
    level : str
        Lowest level that is logged.
    """

    style: Literal["json", "terminal"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node.

    Parameters
    ----------
    node_id : str
        Name of the node, unique in the mesh.
    region, data_centre : str
        Location of the VM.
    mesh_secrets : list of str
        Secrets that sign idempotency keys, the same on all nodes. The first signs, all
        verify, so that a secret can be rotated without downtime.
    listeners : Listeners
        Addresses of the listeners.
    advertised_host : str
        IP address under which other nodes reach this node; the host of the ``peer``
        listener by default.
    drain_timeout_ms : int
        Time after which a planned stop that is still waiting is logged as held; it
        continues to wait.
    """

    node_id: Name
    region: Name
    data_centre: Name
    mesh_secrets: Annotated[
        list[Annotated[str, msgspec.Meta(min_length=MIN_SECRET_CHARS)]],
        msgspec.Meta(min_length=1, max_length=4),
    ]
    platform: PlatformSettings
    listeners: Listeners = Listeners()
    advertised_host: str = ""
    drain_timeout_ms: Annotated[int, msgspec.Meta(ge=1)] = 600_000
    log: LogSettings = LogSettings()
    membership: MembershipSettings = MembershipSettings()
    poller: PollerSettings = PollerSettings()
    drain: DrainSettings = DrainSettings()
    ledger: LedgerSettings = LedgerSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    routing: RoutingSettings = RoutingSettings()
    admission: AdmissionSettings = AdmissionSettings()
    balancing: BalancingSettings = BalancingSettings()
    retries: RetrySettings = RetrySettings()
