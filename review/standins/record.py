"""Record of a case: what was sent, answered and run."""

import time

__all__ = ["Record"]


class Record:
    """Lines with the time since the start of the case, in order.

    Parameters
    ----------
    path : str
        File that is written when the case ends.
    """

    def __init__(self, path: str):
        self._path = path
        self._lines: list[str] = []
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def add(self, kind: str, **fields: object) -> float:
        """Add a line and return its time."""
        now_s = self.now_s()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{now_s:9.4f} {kind} {text}")
        return now_s

    def times(self, kind: str) -> list[tuple[float, str]]:
        """Return the times and texts of the lines of one kind."""
        lines = [line.split(None, 2) for line in self._lines]
        return [(float(line[0]), line[-1]) for line in lines if line[1] == kind]

    def save(self) -> None:
        """Write all lines."""
        with open(self._path, "w", encoding="utf-8") as file:
            file.write("\n".join(self._lines) + "\n")
