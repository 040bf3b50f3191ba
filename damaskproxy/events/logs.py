"""Structured logging of numbered events."""

import logging
import sys
import time
from collections.abc import Callable
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from damaskproxy.events.catalogue import Event

__all__ = ["Throttle", "configure_logging", "log_event"]

THROTTLE_S = 10.0

TERMINAL_FORMAT = "%(asctime)s %(levelname)-7s %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class TerminalFormatter(logging.Formatter):
    """Formats an event as one line of text, followed by its fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of text."""
        line = super().format(record)
        fields = getattr(record, "fields", None)
        if not fields:
            return line
        return line + " " + " ".join(f"{key}={value}" for key, value in fields.items())


class EventJsonFormatter(JsonFormatter):
    """Formats an event and its fields as one JSON object."""

    def add_fields(self, log_data, record, message_dict):
        """Merge the fields of the event into the JSON object."""
        super().add_fields(log_data, record, message_dict)
        log_data.update(log_data.pop("fields", None) or {})


class Throttle:
    """Rate limit for events that may occur on every request: one in 10 s.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._next_s = float("-inf")

    def ready(self) -> bool:
        """Tell whether the event may be logged now."""
        if self._now_s() < self._next_s:
            return False
        self._next_s = self._now_s() + THROTTLE_S
        return True


class LineLimit:
    """Limits the log lines of a process; bounds the cost when many requests fail.

    Parameters
    ----------
    lines_per_s : int
        Lines that may be logged per second.
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, lines_per_s: int, now_s: Callable[[], float] = time.monotonic):
        self._lines_per_s = lines_per_s
        self._now_s = now_s
        self._second = 0
        self._lines = 0

    def count_line(self) -> int | None:
        """Count a line; return None when it has to be dropped.

        Returns
        -------
        int or None
            For the first line of a second, the number of lines dropped in the previous
            second with lines, otherwise 0.
        """
        second = int(self._now_s())
        dropped = 0
        if second != self._second:
            dropped = max(0, self._lines - self._lines_per_s)
            self._second, self._lines = second, 0
        self._lines += 1
        return dropped if self._lines <= self._lines_per_s else None


_line_limit: LineLimit | None = None


def log_event(
    logger: logging.Logger,
    event: Event,
    /,
    *,
    exc_info: bool | BaseException = False,
    **fields: object,
) -> None:
    """Log `event` with `fields`.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    event : Event
        Registered event; its level decides whether the record is written.
    exc_info : bool or BaseException
        True adds the traceback of the current exception, an exception its own.
    **fields
        Structured values; names end in the unit, such as ``_ms``.
    """
    if not logger.isEnabledFor(event.level):
        return
    if _line_limit is not None and event.level <= logging.INFO:
        dropped = _line_limit.count_line()
        if dropped is None:
            return
        if dropped:
            fields["lines_dropped"] = dropped
    logger.log(
        event.level,
        "E%d %s",
        event.number,
        event.name,
        exc_info=exc_info,
        extra={"event": event.number, "fields": fields},
    )


def configure_logging(
    *,
    style: str = "json",
    level: str = "INFO",
    stream: TextIO | None = None,
    node_id: str = "",
    lines_per_s: int | None = None,
) -> None:
    """Configure the root logger to write to `stream`.

    Parameters
    ----------
    style : {"json", "terminal"}
        One JSON object per line, or human-readable lines.
    level : str
        Lowest level that is logged.
    stream : file object, optional
        Standard error by default.
    node_id : str, optional
        Added to each JSON line.
    lines_per_s : int, optional
        Rate limit on events up to the level INFO; the next line that is logged states
        how many were dropped.
    """
    global _line_limit
    _line_limit = None if lines_per_s is None else LineLimit(lines_per_s)
    handler = logging.StreamHandler(stream or sys.stderr)
    if style == "json":
        static = {"node": node_id} if node_id else {}
        handler.setFormatter(EventJsonFormatter(JSON_FIELDS, static_fields=static))
    else:
        handler.setFormatter(TerminalFormatter(TERMINAL_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
