"""Log entries of one request, collected from the logs of several nodes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from damaskproxy.events.catalogue import defined_events

__all__ = ["LogEntry", "format_entry", "read_request_log"]

STANDARD_FIELDS = frozenset(
    {"asctime", "levelname", "name", "message", "event", "node", "request_id"}
)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One log line about a request or about a call made on its behalf.

    Parameters
    ----------
    at : str
        Wall-clock time at the node.
    node : str
        Node that wrote the line.
    event : int
        Number in the event catalogue.
    request_id : str
        Id of the request or of the call.
    fields : dict
        Other fields of the event, such as the inputs and the result of a decision.
    """

    at: str
    node: str
    event: int
    request_id: str
    fields: dict[str, object]


def read_request_log(lines: Iterable[str], request_id: str) -> list[LogEntry]:
    """Return the entries of a request and of its calls, sorted by time.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any nodes; text before the JSON object is skipped, and lines of
        other programs are ignored.
    request_id : str
        Request id sent by the client.
    """
    entries = []
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            content = json.loads(line[start:])
        except ValueError:
            continue
        entry = _to_entry(content, request_id)
        if entry is not None:
            entries.append(entry)
    return sorted(entries, key=lambda entry: entry.at)


def format_entry(entry: LogEntry) -> str:
    """Format an entry as one line of text."""
    meanings = {event.number: event.meaning for event in defined_events()}
    meaning = meanings.get(entry.event, f"event {entry.event}")
    fields = ", ".join(
        f"{name} {_format_value(value)}" for name, value in entry.fields.items()
    )
    subject = f"request {entry.request_id}"
    return f"{entry.at} {entry.node}: {subject}: {meaning} ({fields})"


def _to_entry(content: object, request_id: str) -> LogEntry | None:
    if not isinstance(content, dict):
        return None
    logged_id = str(content.get("request_id", ""))
    if logged_id != request_id and not logged_id.startswith(request_id + "."):
        return None
    return LogEntry(
        str(content.get("asctime", "")),
        str(content.get("node", "")),
        int(content.get("event", 0)),
        logged_id,
        {name: v for name, v in content.items() if name not in STANDARD_FIELDS},
    )


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return "[" + "; ".join(map(_format_value, value)) + "]"
    return str(value)
