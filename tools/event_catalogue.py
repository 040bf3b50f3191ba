"""Write docs/events.md from the events that the packages define.

``python -m tools.event_catalogue`` rewrites the page.
"""

import importlib
import logging
import pkgutil
from pathlib import Path

import damaskproxy
from damaskproxy.events import Event, defined_events

__all__ = ["PAGE", "all_events", "render"]

PAGE = Path(__file__).resolve().parent.parent / "docs" / "events.md"

HEAD = """# Events

Numbered events of the log. The number is stable over releases; the thousands name the
package. This page is generated: `python -m tools.event_catalogue`.

| number | name | level | meaning |
| ---: | --- | --- | --- |
"""


def all_events() -> list[Event]:
    """Import all modules that define log events and return the events.

    A package defines its events in its module ``events``. A program in a package with
    several programs defines them in a module whose name ends in ``_events``.
    """
    for module in pkgutil.walk_packages(damaskproxy.__path__, "damaskproxy."):
        name = module.name.rpartition(".")[2]
        if not module.ispkg and (name == "events" or name.endswith("_events")):
            importlib.import_module(module.name)
    return defined_events()


def render() -> str:
    """Return the text of the page."""
    rows = [
        f"| {event.number} | `{event.name}` | {logging.getLevelName(event.level)} "
        f"| {event.meaning} |\n"
        for event in all_events()
    ]
    return HEAD + "".join(rows)


def main() -> None:
    """Rewrite the page."""
    PAGE.write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    main()
