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
    """IP number and port that a node listens on.

    Parameters
    ----------
    host : str
        IP number; names are refused.
    port : int
        Port; 0 takes a free one.
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
        HTTP for the local backend server; keep it on loopback.
    peer : Listener
        Streams of other nodes.
    control : Listener
        gRPC of other nodes.
    admin : Listener
        Health, metrics and status; keep it on loopback.
    """

    call: Listener = Listener()
    backend: Listener = Listener()
    peer: Listener = Listener()
    control: Listener = Listener()
    admin: Listener = Listener()


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the log is printed.

    Parameters
    ----------
    style : str
        One JSON object a line, or a line for a person.
    level : str
        Lowest level that is printed.
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
        Where the VM is.
    mesh_secrets : list of str
        Secrets that sign idempotency keys, the same on all nodes. The first signs, all
        verify, so that a secret can be replaced without a stop.
    listeners : Listeners
        Addresses of the listeners.
    advertised_host : str
        IP number under which other nodes reach this node; the host of the ``peer``
        listener by default.
    drain_timeout_ms : int
        After this time a planned stop is reported as held; it goes on waiting.
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
