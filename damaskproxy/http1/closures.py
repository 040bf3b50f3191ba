"""Counts and logs why a listener refuses requests and closes connections."""

import logging
from collections import Counter
from enum import StrEnum

from damaskproxy.common.clock import boot_s
from damaskproxy.events import Event, log_event

__all__ = ["Closure", "Closures"]

LINES_PER_S = 10
"""Log lines of one kind per second; a listener may close thousands of connections at
once. The next line states how many were left out."""


class Closure(StrEnum):
    """Why a request was refused or a connection closed."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    TIMED_OUT = "timed-out"
    NO_MEMORY = "no-memory"
    CONNECTIONS = "connections"
    UNREAD = "unread"
    IDLE = "idle"
    STOPPING = "stopping"


class Closures:
    """Closures of a listener by kind.

    Attributes
    ----------
    counts : Counter
        Number of closures by kind since the start.
    """

    __slots__ = ("_left_out", "_lines", "_logger", "_second", "counts")

    def __init__(self, logger: logging.Logger):
        self.counts: Counter[Closure] = Counter()
        self._logger = logger
        self._second = 0
        self._lines: Counter[int] = Counter()
        self._left_out: Counter[int] = Counter()

    def log(self, event: Event, **fields: object) -> None:
        """Log an event, `LINES_PER_S` times per second at most."""
        second = int(boot_s())
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[event.number] += 1
        if self._lines[event.number] > LINES_PER_S:
            self._left_out[event.number] += 1
            return
        left_out = self._left_out.pop(event.number, 0)
        if left_out:
            fields["left_out"] = left_out
        log_event(self._logger, event, **fields)
