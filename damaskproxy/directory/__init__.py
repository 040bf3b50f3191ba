"""What a node knows of the mesh: configuration and members, and where from."""

from damaskproxy.directory.configuration import (
    Configuration,
    ConfigurationBook,
    Route,
    ServiceEntry,
)
from damaskproxy.directory.following import OwnRow, StoreWatch, offer_configuration
from damaskproxy.directory.members import (
    BackendRecord,
    Directory,
    MemberRecord,
    RecordError,
    decode_member,
    encode_member,
)
from damaskproxy.directory.rows import (
    HistoryLost,
    Row,
    Rows,
    RowStore,
    StoreError,
    WriteOutcome,
)

__all__ = [
    "BackendRecord",
    "Configuration",
    "ConfigurationBook",
    "Directory",
    "HistoryLost",
    "MemberRecord",
    "OwnRow",
    "RecordError",
    "Route",
    "Row",
    "RowStore",
    "Rows",
    "ServiceEntry",
    "StoreError",
    "StoreWatch",
    "WriteOutcome",
    "decode_member",
    "encode_member",
    "offer_configuration",
]
