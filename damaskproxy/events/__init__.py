"""Numbered log events and their formatters."""

from damaskproxy.events.catalogue import Event, define, defined_events
from damaskproxy.events.logs import Throttle, configure_logging, log_event
from damaskproxy.events.output import DroppingOutput

__all__ = [
    "DroppingOutput",
    "Event",
    "Throttle",
    "configure_logging",
    "define",
    "defined_events",
    "log_event",
]
