"""Registry of numbered log events.

Each package defines its events in its module ``events``. The thousands of a number name
the package: 1 node, 2 routing, 3 membership, 4 move, 5 platform, 6 ledger, 7 admission,
balancing and retries, 8 quarantine, 9 stand-ins.
"""

from dataclasses import dataclass

__all__ = ["Event", "define", "defined_events"]

_events: dict[int, "Event"] = {}


@dataclass(frozen=True, slots=True)
class Event:
    """Kind of log record.

    Parameters
    ----------
    number : int
        Unique number, stable over releases.
    name : str
        Short hyphenated name.
    level : int
        Level of `logging`.
    meaning : str
        One sentence for the catalogue.
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
        If `number` or `name` is taken.
    """
    if number in _events:
        raise ValueError(f"event number {number} is taken by {_events[number].name}")
    if any(event.name == name for event in _events.values()):
        raise ValueError(f"event name {name} is taken")
    event = Event(number, name, level, meaning)
    _events[number] = event
    return event


def defined_events() -> list[Event]:
    """Return the registered events in the order of their numbers."""
    return [_events[number] for number in sorted(_events)]
