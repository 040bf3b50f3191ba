"""A node's view of the mesh: configuration and members, as read from the store."""

from damaskproxy.directory.configuration import (
    Configuration,
    CurrentConfiguration,
    Route,
    ServiceEntry,
)
from damaskproxy.directory.following import (
    OwnRowWriter,
    StorePlan,
    StoreWatcher,
    apply_encoded_configuration,
)
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
    "CurrentConfiguration",
    "Directory",
    "HistoryLost",
    "MemberRecord",
    "OwnRowWriter",
    "RecordError",
    "Route",
    "Row",
    "RowStore",
    "Rows",
    "ServiceEntry",
    "StoreError",
    "StorePlan",
    "StoreWatcher",
    "WriteOutcome",
    "decode_member",
    "encode_member",
    "apply_encoded_configuration",
]
