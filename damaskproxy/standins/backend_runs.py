"""Record of the runs of a development backend server, for the checker."""

import os
import time
from collections.abc import Callable

import msgspec

__all__ = ["Run", "RunLog", "read_runs"]


class Run(msgspec.Struct, frozen=True):
    """A request that a backend server started.

    Parameters
    ----------
    at_ms : int
        Unix time.
    service, server : str
        Where it ran.
    method, path : str
        What it was.
    key, attempt : str
        ``Idempotency-Key`` and ``Damask-Attempt``, empty if absent.
    digest : str
        Digest of the request.
    """

    at_ms: int
    service: str
    server: str
    method: str
    path: str
    key: str
    attempt: str
    digest: str


class RunLog:
    """Appends runs to a file that several processes may share.

    Parameters
    ----------
    path : str
        File; empty keeps the runs in memory only.
    unix_s : callable
        Wall clock.
    """

    def __init__(self, path: str = "", unix_s: Callable[[], float] = time.time):
        self._unix_s = unix_s
        self._file = None
        if path:
            self._file = os.open(path, os.O_APPEND | os.O_CREAT | os.O_WRONLY, 0o644)
        self.runs: list[Run] = []

    def append(self, **fields: str) -> None:
        """Record a run before it has any effect, so that a crash does not hide it."""
        run = Run(at_ms=int(self._unix_s() * 1000), **fields)
        if self._file is None:
            self.runs.append(run)
            return
        # One write per line: O_APPEND keeps lines of several processes whole.
        os.write(self._file, msgspec.json.encode(run) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None


def read_runs(path: str) -> list[Run]:
    """Return the runs in a file; an absent file holds none."""
    try:
        with open(path, "rb") as file:
            return [msgspec.json.decode(line, type=Run) for line in file]
    except FileNotFoundError:
        return []
