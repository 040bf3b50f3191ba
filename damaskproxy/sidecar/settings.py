"""Settings of a node beside a backend server."""

from pathlib import Path
from typing import Annotated, Any

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.model import Address

__all__ = ["Listeners", "SidecarSettings", "SidecarSettingsError", "load_settings"]

AddressText = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:[0-9]{1,5}\Z")]
Duration = Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class SidecarSettingsError(DamaskError):
    """The settings cannot be read or break a rule."""


class Listeners(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses on which a node listens, as ``host:port``.

    Parameters
    ----------
    caller : str
        For clients and the backend server on this machine.
    peer : str
        For other nodes.
    readiness : str
        For the health check of the platform.
    control : str
        For status reports of the backend server and for starting nodes.
    metrics : str or None
        For monitoring and ``damask-node top``; not opened without it.
    """

    caller: AddressText
    peer: AddressText
    readiness: AddressText
    control: AddressText
    metrics: AddressText | None = None


class SidecarSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a node.

    Parameters
    ----------
    node_id : str
        Unique name.
    data_centre, region : str
        Location.
    service : str
        Service of the backend server on this machine.
    backend_address : str
        Its address.
    heartbeat_interval_ms : int
        Usual time between its status reports.
    listeners : Listeners
        Addresses of this node.
    store_address : str
        Of the platform's store.
    seeds : list of str
        Control addresses of nodes to ask while the store does not answer.
    bounds : object
        Bounds of the platform by name.
    memory_limit_mb : int
        Memory above which the platform ends the process.
    log_level : str
        Lowest level that is logged.
    log_lines_per_s : int
        Lines a second up to the level INFO; the next line tells how many were dropped.
    """

    node_id: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    data_centre: str
    region: str
    service: str
    backend_address: AddressText
    listeners: Listeners
    store_address: AddressText
    heartbeat_interval_ms: Duration = 1500
    seeds: list[AddressText] = []
    bounds: dict[str, Any] = {}
    memory_limit_mb: Annotated[int, msgspec.Meta(ge=64)] = 300
    log_level: str = "INFO"
    log_lines_per_s: Annotated[int, msgspec.Meta(ge=1)] = 100


def to_address(text: str) -> Address:
    """Return the address in ``host:port``."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def load_settings(path: str) -> SidecarSettings:
    """Read and check a settings file.

    Raises
    ------
    SidecarSettingsError
        With the path of the field that is wrong.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=SidecarSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SidecarSettingsError(f"settings {path}: {error}") from error
