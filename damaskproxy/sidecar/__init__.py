"""Sidecar: the node that runs next to a backend server on the prepared machines."""

from damaskproxy.sidecar.settings import (
    SidecarSettings,
    SidecarSettingsError,
    load_settings,
)
from damaskproxy.sidecar.top import format_top

__all__ = ["SidecarSettings", "SidecarSettingsError", "format_top", "load_settings"]
