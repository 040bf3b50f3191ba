"""Reading of the tables in the pages."""

import re

__all__ = ["first_column"]


def first_column(text: str, heading: str) -> list[str]:
    """Return the code names in the first column of the table below a heading.

    Parameters
    ----------
    text : str
        Markdown page.
    heading : str
        Text of the heading; the table ends with the section.

    Raises
    ------
    ValueError
        If the page has no such heading.
    """
    _, found, rest = text.partition(f"\n## {heading}\n")
    if not found:
        raise ValueError(f"no heading {heading!r}")
    section = rest.partition("\n## ")[0]
    return re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE)
