"""Log events of the move document."""

import logging

from damaskproxy.events import define

__all__ = [
    "DRAIN_HELD",
    "DRAIN_STARTED",
    "HEAD_READ_FAILED",
    "HEAD_READ_RESUMED",
    "SECTIONS_READY",
    "SECTION_IN_FORCE",
    "SECTION_UNREADABLE",
    "SNAPSHOT_FAILED",
    "SNAPSHOT_WRITTEN",
]

SECTION_IN_FORCE = define(
    4001,
    "section-in-force",
    logging.INFO,
    "A newer version of a section is in force on this node.",
)
SECTION_UNREADABLE = define(
    4002,
    "section-unreadable",
    logging.ERROR,
    "A row or snapshot cannot be decoded; the sections in force stay in force.",
)
HEAD_READ_FAILED = define(
    4003,
    "head-read-failed",
    logging.WARNING,
    "A poll of the table failed; the sections in force stay in force.",
)
HEAD_READ_RESUMED = define(
    4004, "head-read-resumed", logging.INFO, "Polls of the table succeed again."
)
SNAPSHOT_WRITTEN = define(
    4005, "snapshot-written", logging.INFO, "The snapshot of the sections was written."
)
SNAPSHOT_FAILED = define(
    4006,
    "snapshot-failed",
    logging.WARNING,
    "The snapshot could not be read from or written to the object store.",
)
SECTIONS_READY = define(
    4007, "sections-ready", logging.INFO, "The sections of a starting node are current."
)
DRAIN_STARTED = define(
    4008,
    "drain-started",
    logging.INFO,
    "This node starts to drain because its service leaves the data centre.",
)
DRAIN_HELD = define(
    4009,
    "drain-held",
    logging.INFO,
    "The reason why this node does not drain yet has changed.",
)
