"""Differences between two versions of a section."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from damaskproxy.model import Section
from damaskproxy.move.document import document_of

__all__ = ["Change", "diff_sections"]

ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Change:
    """A value that differs between two versions.

    Parameters
    ----------
    path : str
        Names from the root to the value, for example
        ``services.orders.placement.tb1``.
    old, new : str
        Values as JSON, or ``absent``.
    """

    path: str
    old: str
    new: str

    def __str__(self) -> str:
        return f"{self.path}: {self.old} -> {self.new}"


def flatten(value, path: str) -> Iterator[tuple[str, str]]:
    """Yield each leaf of `value` with its path; list items are addressed by name."""
    if isinstance(value, dict) and value:
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and value:
        for item in value:
            yield from flatten(
                {key: field for key, field in item.items() if key != "name"},
                f"{path}.{item['name']}",
            )
    else:
        yield path, msgspec.json.encode(value).decode()


def leaf_values(section: Section | None) -> dict[str, str]:
    """Return the leaf values of a section by path, without its version."""
    if section is None:
        return {}
    document = msgspec.to_builtins(document_of(section))
    document.pop("version")
    return dict(flatten(document, ""))


def diff_sections(old: Section | None, new: Section | None) -> tuple[Change, ...]:
    """Return the changes from `old` to `new`, sorted by path.

    Parameters
    ----------
    old, new : Section or None
        None stands for a section that does not exist.
    """
    before, after = leaf_values(old), leaf_values(new)
    paths = sorted(before.keys() | after.keys())
    changes = (
        Change(path, before.get(path, ABSENT), after.get(path, ABSENT))
        for path in paths
    )
    return tuple(change for change in changes if change.old != change.new)
