"""Decision whether the sections of a starting node are current."""

from collections.abc import Callable, Mapping, Sequence

from damaskproxy.move.store import SectionStore

__all__ = ["Readiness", "is_behind"]

Versions = Mapping[str, int]


def is_behind(current: Versions, name: str, version: int) -> bool:
    """Tell whether a section is older than `version` in `current`."""
    return current.get(name, 0) < version


def first_missing(current: Versions, expected: Versions) -> str:
    """Describe the first section that is older in `current`; empty if none is."""
    for name in sorted(expected):
        if is_behind(current, name, expected[name]):
            return f"section {name} {current.get(name, 0)} of {expected[name]}"
    return ""


class Readiness:
    """Decides when a starting node has current sections; then it stays ready.

    Parameters
    ----------
    store : SectionStore
        Sections in force.
    neighbour_versions : callable
        Section versions of each neighbour that has reported them since the start.
    now_s : callable
        Monotonic clock.
    alone_s : float
        Time to wait for neighbours before the snapshot alone is sufficient.

    Notes
    -----
    The head of the table is authoritative. The snapshot can be older, so that it is
    sufficient only together with the versions of a neighbour, or alone if no neighbour
    has reported within `alone_s`. Neighbours alone are sufficient only after a read of
    the snapshot was attempted, and only if they have sections.
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
        self.snapshot_attempted = False
        self.snapshot_read = False
        self.head_versions: Versions | None = None

    def start(self) -> None:
        """Start the time to wait for neighbours."""
        self._started_s = self._now_s()

    def hold(self) -> str:
        """Return what the node waits for; empty if it is ready."""
        if self._ready:
            return ""
        hold = self._source_hold() or self._version_hold()
        self._ready = not hold
        return hold

    def is_neighbour_wait_over(self) -> bool:
        """Tell whether a neighbour has reported or `alone_s` has passed.

        Before that, when all nodes of a mesh start at once, each would consider itself
        a selected poller of its data centre.
        """
        if self._neighbour_versions():
            return True
        if self._started_s is None:
            return False
        return self._now_s() - self._started_s >= self._alone_s

    def _source_hold(self) -> str:
        if self.head_versions is not None:
            return ""
        if not self.snapshot_attempted:
            return "the first read of the snapshot"
        if self.snapshot_read:
            return "" if self.is_neighbour_wait_over() else "a neighbour"
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
