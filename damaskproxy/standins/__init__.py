"""Development stand-ins for the platform's services and for backend servers."""

from damaskproxy.standins.faults import Faults, Lose
from damaskproxy.standins.objects import RunningObjects, start_objects
from damaskproxy.standins.table import RunningTable, start_table

__all__ = [
    "Faults",
    "Lose",
    "RunningObjects",
    "RunningTable",
    "start_objects",
    "start_table",
]
