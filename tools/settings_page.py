"""Write docs/settings.md from the data models of the settings.

``python -m tools.settings_page`` rewrites the page.
"""

import inspect
import re
import textwrap
from pathlib import Path

import msgspec
from msgspec import inspect as models

from damaskproxy.config import NodeSettings
from damaskproxy.sidecar import SidecarSettings

__all__ = ["PAGE", "field_meanings", "render"]

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"

HEAD = """# Settings of a node

`damask-node run SETTINGS` reads a JSON file; `damask-node check SETTINGS` checks it
without a start. Unknown fields are refused, and an error names the path of the field.
Fields that end in `_ms` are milliseconds, those in `_bytes` bytes. A field without a
default is required. This page is generated: `python -m tools.settings_page`.
"""

SIDECAR_HEAD = """
# Settings of a node on the prepared machines

`python -m damaskproxy.sidecar SETTINGS` reads a JSON file, which the platform fills in
from `deploy/node.json.template`; `damask-node check-sidecar SETTINGS` checks it. The
file is read again after SIGHUP and when it changes.
"""

BOUNDS = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}
TYPE_NAMES = {
    models.IntType: "integer",
    models.FloatType: "number",
    models.StrType: "text",
    models.BoolType: "true or false",
    models.ListType: "list",
    models.VarTupleType: "list",
    models.DictType: "object",
}


def field_meanings(model: type) -> dict[str, str]:
    """Return the meaning of each field from the numpydoc docstring of a model."""
    doc = inspect.getdoc(model) or ""
    _, _, section = doc.partition("Parameters\n----------\n")
    section = re.split(r"\n\n?[A-Z]\w+\n-+\n", section)[0]
    meanings = {}
    for names, text in re.findall(
        r"^([\w, ]+) : [^\n]*\n((?:(?:    [^\n]*)?\n?)*)", section, re.MULTILINE
    ):
        meaning = " ".join(textwrap.dedent(text).split())
        for name in names.split(","):
            meanings[name.strip()] = meaning
    return meanings


def describe_type(kind: models.Type) -> str:
    """Describe the type and the bounds of a field in English."""
    if isinstance(kind, models.Metadata):
        return describe_type(kind.type)
    if isinstance(kind, models.LiteralType):
        return ", ".join(f"`{value}`" for value in kind.values)
    if isinstance(kind, models.UnionType):
        return " or ".join(map(describe_type, kind.types))
    if isinstance(kind, models.NoneType):
        return "null"
    parts = [TYPE_NAMES.get(type(kind), "value")]
    for bound, phrase in BOUNDS.items():
        limit = getattr(kind, bound, None)
        if limit is not None:
            parts.append(f"{phrase} {limit}")
    return ", ".join(parts)


def describe_default(field: models.Field) -> str:
    """Return the default of a field as JSON, or ``required``."""
    if field.required:
        return "required"
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    return f"`{msgspec.json.encode(default).decode()}`"


def nested_struct(kind: models.Type) -> models.StructType | None:
    """Return the model of a field that holds nested settings, None for others."""
    if isinstance(kind, models.Metadata):
        return nested_struct(kind.type)
    return kind if isinstance(kind, models.StructType) else None


def first_line(model: type) -> str:
    """Return the first line of the docstring of a model."""
    return (inspect.getdoc(model) or "").partition("\n")[0]


def render_model(model: type, path: str, documented: dict[type, str]) -> list[str]:
    """Return the lines of the section of a model and of the models nested in it.

    Parameters
    ----------
    model : type
        Model of settings.
    path : str
        Path of the field that holds it, empty for the top level.
    documented : dict
        Models that already have a section, with the path of the section. Extended by
        the models of this call.
    """
    documented[model] = path
    meanings = field_meanings(model)
    title = f"`{path}`" if path else "Top level"
    rows, nested = [], []
    for field in models.type_info(model).fields:
        name = field.encode_name
        inner = nested_struct(field.type)
        meaning = meanings.get(name, "")
        if inner is None:
            kind, default = describe_type(field.type), describe_default(field)
        else:
            field_path = f"{path}.{name}" if path else name
            meaning = meaning or first_line(inner.cls)
            if inner.cls not in documented:
                nested.append((inner.cls, field_path))
                documented[inner.cls] = field_path
            kind, default = "object", f"see `{documented[inner.cls]}`"
        meaning = meaning.replace("``", "`")
        rows.append(f"| `{name}` | {kind} | {default} | {meaning} |")
    lines = ["", f"## {title}", "", first_line(model), ""]
    lines += [
        "| field | value | default | meaning |",
        "| --- | --- | --- | --- |",
        *rows,
    ]
    for inner_model, field_path in nested:
        lines += render_model(inner_model, field_path, documented)
    return lines


def render() -> str:
    """Return the text of the page."""
    node = "\n".join(render_model(NodeSettings, "", {}))
    sidecar = "\n".join(render_model(SidecarSettings, "", {}))
    return f"{HEAD}{node}\n{SIDECAR_HEAD}{sidecar}\n"


def main() -> None:
    """Rewrite the page."""
    PAGE.write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    main()
