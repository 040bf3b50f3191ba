"""Settings of a sidecar."""

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.common.clock import boot_s
from damaskproxy.directory import is_ip_address
from damaskproxy.model import Address

__all__ = [
    "Listeners",
    "ResponseSettings",
    "SidecarSettings",
    "SidecarSettingsError",
    "file_stamp",
    "load_first_settings",
    "load_settings",
    "to_address",
]

AddressText = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:[0-9]{1,5}\Z")]
Text = Annotated[str, msgspec.Meta(max_length=1000, pattern=r"^[^\x00-\x1f\x7f]*\Z")]
PORT_MAX = 65535
FIRST_SETTINGS_WAIT_S = 3.0
"""Time for which a starting node waits for complete settings: the platform writes the
file at every start and whenever the settings change."""
FIRST_SETTINGS_POLL_S = 0.05
Duration = Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class SidecarSettingsError(DamaskError):
    """The settings file is unreadable or invalid.

    Parameters
    ----------
    message : str
        Names the file, and the field if there is one.
    may_pass : bool
        Whether the file may be incomplete because it is being written: it is missing,
        unreadable or no complete JSON text. A field that is invalid does not change.
    """

    def __init__(self, message: str, *, may_pass: bool = False):
        super().__init__(message)
        self.may_pass = may_pass


class Listeners(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses on which a node listens, as ``host:port``.

    Parameters
    ----------
    caller : str
        Requests from clients and from the backend server on this machine.
    peer : str
        Connections from other nodes.
    readiness : str
        Health check of the platform.
    control : str
        Status reports of the backend server, and state for nodes that start.
    metrics : str or None
        Monitoring and ``damask-node top``; not opened when it is missing.
    """

    caller: AddressText
    peer: AddressText
    readiness: AddressText
    control: AddressText
    metrics: AddressText | None = None


class ResponseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the responses of the backend server.

    Parameters
    ----------
    max_head_bytes : int
        Bytes of the head of a response.
    max_fields : int
        Header fields of a response.
    max_body_bytes : int
        Bytes of the body of a response.
    memory_share : float
        Share of `memory_limit_mb` that all responses in progress may hold together. All
        that a node holds for others has half of `memory_limit_mb` at most.
    """

    max_head_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 24)] = 64 << 10
    max_fields: Annotated[int, msgspec.Meta(ge=8, le=10_000)] = 256
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 30)] = 16 << 20
    memory_share: Annotated[float, msgspec.Meta(gt=0, le=0.5)] = 0.2


class SidecarSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a node.

    Parameters
    ----------
    node_id : str
        Name of the node, unique in the mesh.
    data_centre, region : str
        Location of the machine.
    service : str
        Service of the backend server on this machine.
    backend_address : str
        Address of the backend server.
    heartbeat_interval_ms : int
        Expected interval between status reports of the backend server.
    listeners : Listeners
        Addresses of the listeners.
    store_address : str
        Address of the platform's store.
    seeds : list of str
        Control addresses of nodes that supply a starting node with the state of the
        mesh while the store is unavailable.
    is_first_start : bool
        Whether the whole mesh starts for the first time.
    bounds : object
        Limits set by the platform, by name.
    memory_limit_mb : int
        Memory above which the platform kills the process.
    responses : ResponseSettings
        Limits on the responses of the backend server.
    log_level : str
        Lowest level that is logged.
    log_lines_per_s : int
        Log lines per second up to the level INFO; the next line that is logged states
        how many were dropped.
    """

    node_id: Annotated[
        str,
        msgspec.Meta(min_length=1, max_length=100, pattern=r"^[^\x00-\x1f\x7f]+\Z"),
    ]
    data_centre: Text
    region: Text
    service: Text
    backend_address: AddressText
    listeners: Listeners
    store_address: AddressText
    heartbeat_interval_ms: Duration = 1500
    seeds: list[AddressText] = []
    is_first_start: bool = False
    bounds: dict[str, Any] = {}
    memory_limit_mb: Annotated[int, msgspec.Meta(ge=64)] = 300
    responses: ResponseSettings = ResponseSettings()
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"
    log_lines_per_s: Annotated[int, msgspec.Meta(ge=1)] = 100


_decoder = msgspec.json.Decoder(SidecarSettings)


def to_address(text: str) -> Address:
    """Parse ``host:port``."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def file_stamp(path: str) -> tuple[int, ...]:
    """Return values that differ once the file has changed; empty without a file."""
    try:
        status = os.stat(path)
    except OSError:
        return ()
    return status.st_mtime_ns, status.st_size, status.st_ino


def load_first_settings(
    path: str, report: Callable[[str], None] = lambda text: None
) -> tuple[SidecarSettings, tuple[int, ...]]:
    """Return the settings, and the stamp that the file had before it was read.

    Parameters
    ----------
    path : str
        Path of the file.
    report : callable
        Called once with a line of text when the file is incomplete.

    Raises
    ------
    SidecarSettingsError
        Like `load_settings`; an incomplete file is read again for a while before.
    """
    end_s = boot_s() + FIRST_SETTINGS_WAIT_S
    is_reported = False
    while True:
        stamp = file_stamp(path)
        try:
            return load_settings(path), stamp
        except SidecarSettingsError as error:
            if not error.may_pass or boot_s() >= end_s:
                raise
            if not is_reported:
                report(f"damaskproxy: {error}; trying again\n")
                is_reported = True
        time.sleep(FIRST_SETTINGS_POLL_S)


def load_settings(path: str) -> SidecarSettings:
    """Read and validate a settings file.

    Raises
    ------
    SidecarSettingsError
        If the file is unreadable or a field is invalid; the message names the field.
    """
    try:
        settings = _decoder.decode(Path(path).read_bytes())
    except msgspec.ValidationError as error:
        raise SidecarSettingsError(f"settings {path}: {error}") from error
    except (OSError, ValueError, RecursionError, msgspec.MsgspecError) as error:
        message = f"settings {path}: {error}"
        raise SidecarSettingsError(message, may_pass=True) from error
    _check_addresses(settings, path)
    return settings


def _check_addresses(settings: SidecarSettings, path: str) -> None:
    """Raise for a port that no address can have, and for an odd address of the node."""
    addresses = {
        "backend_address": settings.backend_address,
        "store_address": settings.store_address,
        **{f"seeds[{i}]": seed for i, seed in enumerate(settings.seeds)},
        **{
            f"listeners.{name}": address
            for name, address in msgspec.structs.asdict(settings.listeners).items()
            if address is not None
        },
    }
    for field, address in addresses.items():
        if to_address(address).port > PORT_MAX:
            raise SidecarSettingsError(
                f"settings {path}: Expected a port up to {PORT_MAX},"
                f" got {address!r} - at `$.{field}`"
            )
    peer = to_address(settings.listeners.peer)
    if not is_ip_address(peer.host) or not peer.port:
        raise SidecarSettingsError(
            f"settings {path}: Expected an IP address and a port for other nodes,"
            f" got {settings.listeners.peer!r} - at `$.listeners.peer`"
        )
