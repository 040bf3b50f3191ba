"""Checks of JSON text that a decoder into structs does not make."""

import json

from damaskproxy.move.checks import Fault

__all__ = ["check_json_text"]


def check_json_text(data: bytes) -> list[Fault]:
    """Return the syntax error or the duplicate names in `data`.

    Notes
    -----
    Decoders keep the last of two equal names, which would drop what the operator
    wrote in the first.
    """
    duplicates: dict[int, str] = {}

    def collect(pairs):
        result = dict(pairs)
        if len(result) < len(pairs):
            names = [name for name, _ in pairs]
            duplicates[id(result)] = next(n for n in names if names.count(n) > 1)
        return result

    try:
        tree = json.loads(data.decode("utf-8"), object_pairs_hook=collect)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        return [Fault("$", f"not JSON: {error.msg} at {place}")]
    except (UnicodeDecodeError, ValueError) as error:
        return [Fault("$", f"not JSON: {error}")]
    except RecursionError:
        return [Fault("$", "nested too deeply")]
    return list(find_duplicates(tree, "$", duplicates))


def find_duplicates(tree, path: str, duplicates: dict[int, str]):
    """Yield a fault for each object that repeats a name."""
    if isinstance(tree, dict):
        if id(tree) in duplicates:
            yield Fault(f"{path}.{duplicates[id(tree)]}", "appears twice")
        for name, value in tree.items():
            yield from find_duplicates(value, f"{path}.{name}", duplicates)
    elif isinstance(tree, list):
        for index, value in enumerate(tree):
            yield from find_duplicates(value, f"{path}[{index}]", duplicates)
