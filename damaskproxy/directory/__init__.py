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
    decode_packed_member,
    encode_member,
    is_ip_address,
    is_plausible_ms,
)
from damaskproxy.directory.rows import (
    UNKNOWN_ERA,
    HistoryLost,
    Row,
    Rows,
    RowStore,
    RowWrite,
    StoreError,
    StorePosition,
    StoreRestored,
    WriteOutcome,
)

__all__ = [
    "UNKNOWN_ERA",
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
    "RowWrite",
    "Rows",
    "ServiceEntry",
    "StoreError",
    "StorePlan",
    "StorePosition",
    "StoreRestored",
    "StoreWatcher",
    "WriteOutcome",
    "decode_member",
    "decode_packed_member",
    "encode_member",
    "is_ip_address",
    "is_plausible_ms",
    "apply_encoded_configuration",
]
