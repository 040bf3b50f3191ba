"""Readiness of the section set of a cold node."""

from collections.abc import Callable, Mapping, Sequence

from damaskproxy.move.store import SectionStore

__all__ = ["Readiness", "is_behind"]

Versions = Mapping[str, int]


def is_behind(current: Versions, name: str, version: int) -> bool:
    """Tell whether `current` lacks `version` of a section."""
    return current.get(name, 0) < version


def first_missing(current: Versions, wanted: Versions) -> str:
    """Return which section `current` lacks, empty when it lacks none."""
    for name in sorted(wanted):
        if is_behind(current, name, wanted[name]):
            return f"section {name} {current.get(name, 0)} of {wanted[name]}"
    return ""


class Readiness:
    """Decides when a cold node has a current section set; then it stays ready.

    Parameters
    ----------
    store : SectionStore
        Sections in force.
    neighbour_versions : callable
        Section versions of each neighbour that was heard since the start.
    now_s : callable
        Monotonic clock.
    alone_s : float
        Time for neighbours to be heard before the snapshot alone is enough.

    Notes
    -----
    The head of the table is authoritative. The snapshot can lag behind it, so that it
    counts with the neighbours, or alone once none was heard for `alone_s`. Neighbours
    count alone only after the services were tried, and only if they have sections.
    """

    def __init__(
        self,
        store: SectionStore,
        neighbour_versions: Callable[[], Sequence[Versions]],
        now_s: Callable[[], float],
        alone_s: float,
    ):
        self._store = store
        self._neighbour_versions = neighbour_versions
        self._now_s = now_s
        self._alone_s = alone_s
        self._started_s: float | None = None
        self._ready = False
        self.consulted = False
        self.snapshot_read = False
        self.head_versions: Versions | None = None

    def start(self) -> None:
        """Start the time for neighbours to be heard."""
        self._started_s = self._now_s()

    def hold(self) -> str:
        """Return what the node waits for, empty when it is ready."""
        if self._ready:
            return ""
        hold = self._source_hold() or self._version_hold()
        self._ready = not hold
        return hold

    def has_company(self) -> bool:
        """Tell whether a neighbour was heard, or enough time passed without one.

        Before that, every node of a mesh that starts at once would take itself for
        the chosen poller of its data centre.
        """
        if self._neighbour_versions():
            return True
        if self._started_s is None:
            return False
        return self._now_s() - self._started_s >= self._alone_s

    def _source_hold(self) -> str:
        if self.head_versions is not None:
            return ""
        if not self.consulted:
            return "the first read of the snapshot"
        if self.snapshot_read:
            return "" if self.has_company() else "a neighbour"
        if any(self._neighbour_versions()):
            return ""
        return "the table, the snapshot or a neighbour with sections"

    def _version_hold(self) -> str:
        current = self._store.versions()
        for versions in (self.head_versions or {}, *self._neighbour_versions()):
            missing = first_missing(current, versions)
            if missing:
                return missing
        return ""
