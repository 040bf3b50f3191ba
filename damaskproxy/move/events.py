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
    4001, "section-in-force", logging.INFO, "A newer version of a section applies."
)
SECTION_UNREADABLE = define(
    4002,
    "section-unreadable",
    logging.ERROR,
    "A row or snapshot does not decode; what is in force stays in force.",
)
HEAD_READ_FAILED = define(
    4003,
    "head-read-failed",
    logging.WARNING,
    "The table did not answer a poll; what is in force stays in force.",
)
HEAD_READ_RESUMED = define(
    4004, "head-read-resumed", logging.INFO, "The table answers polls again."
)
SNAPSHOT_WRITTEN = define(
    4005, "snapshot-written", logging.INFO, "The snapshot of the sections was written."
)
SNAPSHOT_FAILED = define(
    4006, "snapshot-failed", logging.WARNING, "The object store did not answer."
)
SECTIONS_READY = define(
    4007, "sections-ready", logging.INFO, "The section set of a cold node is current."
)
DRAIN_STARTED = define(
    4008, "drain-started", logging.INFO, "This node leaves its data centre."
)
DRAIN_HELD = define(
    4009, "drain-held", logging.INFO, "What holds the leaving of this node changed."
)
