"""The move document and the order in which nodes leave a data centre.

The move document holds the services, their routes and their placement in data centres.
Each team owns a section of it. This package validates, edits and distributes sections
and decides when a node drains.
"""

from damaskproxy.move.checks import ValidationIssue
from damaskproxy.move.diff import Change, diff_sections
from damaskproxy.move.document import (
    Document,
    InvalidDocument,
    document_of,
    encode_document,
    parse_document,
    section_of,
)
from damaskproxy.move.drain import DrainPlanner, NodeReport
from damaskproxy.move.edit import (
    Accepted,
    EditConflict,
    EditResult,
    EditUnknown,
    check_against_table,
    edit_section,
)
from damaskproxy.move.errors import DocumentDamaged, DocumentUnavailable, MoveError
from damaskproxy.move.poller import SectionPoller
from damaskproxy.move.reading import (
    HistoryEntry,
    read_edit,
    read_head,
    read_history,
    read_section,
)
from damaskproxy.move.resolve import Abandoned, resolve_edit
from damaskproxy.move.rows import decode_section, encode_section
from damaskproxy.move.settings import DrainSettings, PollerSettings
from damaskproxy.move.store import SectionStore

__all__ = [
    "Abandoned",
    "Accepted",
    "Change",
    "Document",
    "DocumentDamaged",
    "DocumentUnavailable",
    "DrainPlanner",
    "DrainSettings",
    "EditConflict",
    "EditResult",
    "EditUnknown",
    "ValidationIssue",
    "HistoryEntry",
    "InvalidDocument",
    "MoveError",
    "NodeReport",
    "PollerSettings",
    "SectionPoller",
    "SectionStore",
    "check_against_table",
    "decode_section",
    "diff_sections",
    "document_of",
    "edit_section",
    "encode_document",
    "encode_section",
    "parse_document",
    "read_edit",
    "read_head",
    "read_history",
    "read_section",
    "resolve_edit",
    "section_of",
]
