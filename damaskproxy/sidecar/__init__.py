"""The node beside a backend server on the users' machines."""

from damaskproxy.sidecar.settings import (
    SidecarSettings,
    SidecarSettingsError,
    load_settings,
)

__all__ = ["SidecarSettings", "SidecarSettingsError", "load_settings"]
