"""Checks of JSON text that the decoder into structs does not perform."""

import json

from damaskproxy.move.checks import ValidationIssue

__all__ = ["check_json_text"]


def check_json_text(data: bytes) -> list[ValidationIssue]:
    """Return the syntax error or the duplicate names in `data`.

    Notes
    -----
    Decoders keep the last value of a duplicate name, which would silently discard the
    first one that the operator wrote.
    """
    duplicates: dict[int, str] = {}

    def build_object(pairs):
        result = dict(pairs)
        if len(result) < len(pairs):
            names = [name for name, _ in pairs]
            duplicates[id(result)] = next(n for n in names if names.count(n) > 1)
        return result

    try:
        tree = json.loads(data.decode("utf-8"), object_pairs_hook=build_object)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return [ValidationIssue("$", f"not JSON: {error.msg} at {position}")]
    except (UnicodeDecodeError, ValueError) as error:
        return [ValidationIssue("$", f"not JSON: {error}")]
    except RecursionError:
        return [ValidationIssue("$", "nested too deeply")]
    return list(find_duplicates(tree, "$", duplicates))


def find_duplicates(tree, path: str, duplicates: dict[int, str]):
    """Yield an issue for each object with a duplicate name."""
    if isinstance(tree, dict):
        if id(tree) in duplicates:
            yield ValidationIssue(f"{path}.{duplicates[id(tree)]}", "appears twice")
        for name, value in tree.items():
            yield from find_duplicates(value, f"{path}.{name}", duplicates)
    elif isinstance(tree, list):
        for index, value in enumerate(tree):
            yield from find_duplicates(value, f"{path}[{index}]", duplicates)
