"""Reads the settings file of a node."""

import ipaddress
from pathlib import Path

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.config.settings import NodeSettings

__all__ = ["SettingsError", "load_settings", "parse_settings"]

LISTENER_NAMES = ("call", "backend", "peer", "control", "admin")
UNSPECIFIED_HOSTS = ("0.0.0.0", "::")


class SettingsError(DamaskError):
    """The settings are unreadable or invalid; the message names the field."""


def load_settings(path: Path) -> NodeSettings:
    """Return the settings in the file `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is unknown, missing or out of range.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse_settings(data)


def parse_settings(data: bytes) -> NodeSettings:
    """Return the settings in the JSON text `data`.

    Raises
    ------
    SettingsError
        If a field is unknown, missing or out of range; the message has its path.
    """
    try:
        settings = msgspec.json.decode(data, type=NodeSettings)
    except msgspec.MsgspecError as error:
        raise SettingsError(str(error)) from error
    _check_addresses(settings)
    return settings


def _check_addresses(settings: NodeSettings) -> None:
    """Raise for host names and for a peer address that other nodes cannot reach."""
    for name in LISTENER_NAMES:
        listener = getattr(settings.listeners, name)
        _check_ip(listener.host, f"$.listeners.{name}.host")
    advertised = settings.advertised_host
    if advertised:
        _check_ip(advertised, "$.advertised_host")
    elif settings.listeners.peer.host in UNSPECIFIED_HOSTS:
        raise SettingsError(
            "$.advertised_host is required when $.listeners.peer.host is unspecified"
        )


def _check_ip(host: str, path: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingsError(
            f"Expected an IP address, got {host!r} - at `{path}`"
        ) from error
