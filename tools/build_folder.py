"""Installs libraries into a folder, unless the folder is as the installation left it.

Usage: ``python3 -m tools.build_folder FOLDER [--input FILE] [--fact TEXT] -- COMMAND``.
``{}`` in the words of the command stands for the folder.

A folder may come from another kind of machine, another version of Python or an
installation that was interrupted; the extension modules in it do not load then. The
last step of an installation writes a stamp with what it depends on. A folder without
the stamp, or with another one, is replaced by a new one.
"""

import argparse
import hashlib
import json
import os
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Sequence
from pathlib import Path

__all__ = ["facts", "install", "main"]

STAMP = ".installed"


def facts(inputs: Sequence[Path], command: Sequence[str], other: Sequence[str]) -> dict:
    """Return what an installation depends on.

    Parameters
    ----------
    inputs : sequence of Path
        Files that the command reads.
    command : sequence of str
        Command of the installation.
    other : sequence of str
        Other facts, such as the path of a folder that cannot be moved.
    """
    return {
        "system": os.uname().sysname,
        "machine": os.uname().machine,
        "python": f"{sys.implementation.name} {sys.version_info[0]}"
        f".{sys.version_info[1]}",
        "abi": sysconfig.get_config_var("SOABI") or "",
        "inputs": {
            str(path): hashlib.sha256(path.read_bytes()).hexdigest() for path in inputs
        },
        "command": list(command),
        "other": list(other),
    }


def install(folder: Path, expected: dict, command: Sequence[str]) -> int:
    """Make `folder` what `command` installs; return the exit status.

    A folder that has the expected stamp is kept. If the command fails, the former
    folder is put back, without becoming valid.
    """
    if _read_stamp(folder) == expected:
        return 0
    former = folder.with_name(f"{folder.name}.former")
    _remove(former)
    folder.parent.mkdir(parents=True, exist_ok=True)
    if folder.exists() or folder.is_symlink():
        folder.rename(former)
    is_complete = False
    try:
        folder.mkdir()
        words = [word.replace("{}", str(folder)) for word in command]
        status = subprocess.run(words, check=False).returncode
        is_complete = status == 0
        if is_complete:
            text = json.dumps(expected, indent=1)
            (folder / STAMP).write_text(text, encoding="utf-8")
    finally:
        if not is_complete:
            _remove(folder)
            if former.exists():
                former.rename(folder)
    _remove(former)
    return status


def _read_stamp(folder: Path) -> dict | None:
    try:
        return json.loads((folder / STAMP).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None


def _remove(folder: Path) -> None:
    if folder.is_symlink():
        folder.unlink()
    elif folder.exists():
        shutil.rmtree(folder)


def main(arguments: Sequence[str]) -> int:
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="python3 -m tools.build_folder")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--input", type=Path, action="append", default=[])
    parser.add_argument("--fact", action="append", default=[])
    parser.add_argument("command", nargs="+")
    options = parser.parse_args(arguments)
    expected = facts(options.input, options.command, options.fact)
    return install(options.folder, expected, options.command)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
