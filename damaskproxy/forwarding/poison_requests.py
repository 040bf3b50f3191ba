"""Quarantine of poison requests, which crash each backend server that runs them."""

import hashlib
import time
from collections.abc import Callable

from damaskproxy.directory import MemberRecord
from damaskproxy.forwarding.calls import Call

__all__ = ["PoisonRequestDetector", "digest_of"]

MS_PER_S = 1000
CRASHES_TO_QUARANTINE = 2
"""Crashes with the same request in flight after which it is quarantined. At one crash,
all requests in flight are suspect; a request in flight at two crashes is considered
their cause, one crash before the third, from which the retry rules count."""
CRASH_RETENTION_MS = 120_000
"""Time for which a crash counts; a caller resends such a request within seconds."""
CRASHES_KEPT = 4
"""Newest crashes that a node announces; only a server that crashes repeatedly has more
of them within `CRASH_RETENTION_MS`."""
SUSPECTS_MAX = 200
"""Requests in flight that are announced with one crash; keeps the record under 4 KB."""

Crashes = tuple[tuple[int, tuple[str, ...]], ...]


def digest_of(call: Call) -> str:
    """Return a digest of what stays the same when a caller resends a request."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (call.caller.encode(), call.method, call.target, call.body):
        digest.update(len(part).to_bytes(4) + part)
    return digest.hexdigest()


class PoisonRequestDetector:
    """Detects poison requests by what was in flight at the crashes of all servers.

    Parameters
    ----------
    node_id : str
        Id of this node, whose own record is merged like that of any other.
    on_crash : callable
        Called after a crash of the local backend server was recorded.
    wall_s : callable
        Returns the Unix time, seconds.
    """

    def __init__(
        self,
        node_id: str,
        on_crash: Callable[[], None],
        wall_s: Callable[[], float] = time.time,
    ):
        self._node_id = node_id
        self._on_crash = on_crash
        self._wall_s = wall_s
        self._own: Crashes = ()
        self._by_node: dict[str, Crashes] = {}
        self._quarantined: dict[str, int] = {}

    @property
    def local_crashes(self) -> Crashes:
        """Recent crashes of the local backend server, to announce to other nodes."""
        return self._own

    def record_crash(self, digests: list[str]) -> None:
        """Record a crash of the local backend server and the requests in flight."""
        now_ms = int(self._wall_s() * MS_PER_S)
        crash = (now_ms, tuple(digests[:SUSPECTS_MAX]))
        self._own = (*self._own, crash)[-CRASHES_KEPT:]
        self._by_node[self._node_id] = self._own
        self._count()
        self._on_crash()

    def merge_crashes(self, record: MemberRecord) -> None:
        """Merge the crashes that another node announces."""
        if record.crashes != self._by_node.get(record.node_id, ()):
            self._by_node[record.node_id] = record.crashes
            self._count()

    def is_quarantined(self, call: Call) -> bool:
        """Tell whether `call` was in flight at several crashes."""
        if not self._quarantined:
            # Hashing the body costs more than all other checks of a call.
            return False
        until_ms = self._quarantined.get(digest_of(call), 0)
        return until_ms > self._wall_s() * MS_PER_S

    def _count(self) -> None:
        now_ms = int(self._wall_s() * MS_PER_S)
        oldest_ms = now_ms - CRASH_RETENTION_MS
        # The clock of another node may be ahead, but not by more than a crash counts.
        newest_ms = now_ms + CRASH_RETENTION_MS
        seen: dict[str, list[int]] = {}
        for crashes in self._by_node.values():
            for at_ms, digests in crashes:
                if not oldest_ms <= at_ms <= newest_ms:
                    continue
                for digest in set(digests):
                    seen.setdefault(digest, []).append(at_ms)
        self._quarantined = {
            digest: max(times) + CRASH_RETENTION_MS
            for digest, times in seen.items()
            if len(times) >= CRASHES_TO_QUARANTINE
        }
