"""Clients of the platform's table service and object store."""

from damaskproxy.store.objects import HttpObjectStore, open_objects
from damaskproxy.store.settings import PlatformSettings
from damaskproxy.store.table import HttpTable, open_table
from damaskproxy.store.types import (
    CommitResult,
    Committed,
    Conflict,
    ObjectStore,
    ObjectStoreError,
    Row,
    Table,
    TableError,
    TableRejected,
    TableUnavailable,
    TableUnknown,
)

__all__ = [
    "CommitResult",
    "Committed",
    "Conflict",
    "HttpObjectStore",
    "HttpTable",
    "ObjectStore",
    "ObjectStoreError",
    "PlatformSettings",
    "Row",
    "Table",
    "TableError",
    "TableRejected",
    "TableUnavailable",
    "TableUnknown",
    "open_objects",
    "open_table",
]
