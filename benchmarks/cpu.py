"""Processor time of other processes, from ``/proc``."""

from pathlib import Path

__all__ = ["process_cpu_s"]


def process_cpu_s(pid: int) -> float:
    """Return the processor time of all threads of a process in seconds.

    ``schedstat`` has a resolution of 1 ns, ``stat`` only of 10 ms.
    """
    total_ns = 0
    for thread in Path(f"/proc/{pid}/task").iterdir():
        total_ns += int((thread / "schedstat").read_text().split()[0])
    return total_ns / 1e9
