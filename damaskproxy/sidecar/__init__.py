"""Sidecar: the node that runs next to a backend server on the prepared machines.

The names are imported on first use. This module is loaded before the program can handle
signals, and a SIGHUP that arrives earlier ends the process.
"""

import importlib

__all__ = ["SidecarSettings", "SidecarSettingsError", "format_top", "load_settings"]

MODULES = {
    "SidecarSettings": "damaskproxy.sidecar.settings",
    "SidecarSettingsError": "damaskproxy.sidecar.settings",
    "format_top": "damaskproxy.sidecar.top",
    "load_settings": "damaskproxy.sidecar.settings",
}


def __getattr__(name: str):
    """Import a name of `__all__`."""
    if name not in MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(MODULES[name]), name)
