"""Settings of a node: validated models, read from a JSON file."""

from damaskproxy.config.loading import SettingsError, load_settings, parse_settings
from damaskproxy.config.settings import (
    Listener,
    Listeners,
    LogSettings,
    NodeSettings,
)

__all__ = [
    "Listener",
    "Listeners",
    "LogSettings",
    "NodeSettings",
    "SettingsError",
    "load_settings",
    "parse_settings",
]
