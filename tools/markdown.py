"""Reads tables of the documentation pages."""

import re

__all__ = ["first_column"]


def first_column(text: str, heading: str) -> list[str]:
    """Return the names in backticks in the first column of the table below a heading.

    Parameters
    ----------
    text : str
        Markdown page.
    heading : str
        Text of a heading of level 2. The search ends at the next one.

    Raises
    ------
    ValueError
        If the page does not have the heading.
    """
    _, found, rest = text.partition(f"\n## {heading}\n")
    if not found:
        raise ValueError(f"the page has no heading {heading!r}")
    section = rest.partition("\n## ")[0]
    return re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE)
