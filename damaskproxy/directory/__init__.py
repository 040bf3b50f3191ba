"""What a node knows of the mesh: configuration and members."""

from damaskproxy.directory.configuration import (
    Configuration,
    ConfigurationBook,
    Route,
    ServiceEntry,
)
from damaskproxy.directory.members import BackendRecord, Directory, MemberRecord

__all__ = [
    "BackendRecord",
    "Configuration",
    "ConfigurationBook",
    "Directory",
    "MemberRecord",
    "Route",
    "ServiceEntry",
]
