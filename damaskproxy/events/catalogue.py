"""Registry of numbered log events.

Each package defines its events in its module ``events``. The thousands of a number
identify the package: 1 node, 2 routing, 3 membership, 4 move, 5 unassigned, 6 ledger,
7 admission, balancing and retries, 8 quarantine, 9 stand-ins, 10 forwarding and http1,
11 directory and platform, 12 sidecar, 13 allowances.
"""

from dataclasses import dataclass

__all__ = ["Event", "define", "defined_events"]

_events: dict[int, "Event"] = {}


@dataclass(frozen=True, slots=True)
class Event:
    """Type of log record.

    Parameters
    ----------
    number : int
        Unique number, stable across releases.
    name : str
        Short hyphenated name.
    level : int
        Level of the module `logging`.
    meaning : str
        One-sentence description for the event catalogue.
    """

    number: int
    name: str
    level: int
    meaning: str


def define(number: int, name: str, level: int, meaning: str) -> Event:
    """Register and return an event.

    Raises
    ------
    ValueError
        If `number` or `name` is already registered.
    """
    if number in _events:
        raise ValueError(
            f"event number {number} already used by {_events[number].name}"
        )
    if any(event.name == name for event in _events.values()):
        raise ValueError(f"event name {name} already in use")
    event = Event(number, name, level, meaning)
    _events[number] = event
    return event


def defined_events() -> list[Event]:
    """Return the registered events, sorted by number."""
    return [_events[number] for number in sorted(_events)]
