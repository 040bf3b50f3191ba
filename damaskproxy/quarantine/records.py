"""Records of suspect and quarantined requests, and a bounded store of them."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from damaskproxy.events import Throttle, log_event
from damaskproxy.quarantine import events
from damaskproxy.quarantine.settings import QuarantineSettings

__all__ = ["QuarantineRecord", "RecordStore"]

logger = logging.getLogger(__name__)


class QuarantineRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of one identity; records are merged by the maximum of each field.

    Parameters
    ----------
    identity : str
        Digest of service, method, path and body.
    suspected_ms, cleared_ms : int
        Unix time of the last crash of a backend server that ran the request, and of
        the last completion after it. The request is suspect while the former is
        greater.
    quarantined_until_ms : int
        Unix time at which the quarantine ends, 0 if there was none.
    servers : tuple of str
        Nodes whose backend servers crashed while running the request.
    """

    identity: str
    suspected_ms: int = 0
    cleared_ms: int = 0
    quarantined_until_ms: int = 0
    servers: tuple[str, ...] = ()

    def merged(self, other: "QuarantineRecord", servers_max: int) -> "QuarantineRecord":
        """Return the merge of both records."""
        servers = tuple(sorted({*self.servers, *other.servers})[:servers_max])
        return QuarantineRecord(
            self.identity,
            max(self.suspected_ms, other.suspected_ms),
            max(self.cleared_ms, other.cleared_ms),
            max(self.quarantined_until_ms, other.quarantined_until_ms),
            servers,
        )

    @property
    def is_suspect(self) -> bool:
        """Whether the request has not been cleared since the last crash."""
        return self.suspected_ms > self.cleared_ms


class RecordStore:
    """Bounded store of records that have not expired.

    Parameters
    ----------
    wall_ms : callable
        Returns the Unix time in milliseconds.
    settings : QuarantineSettings
        Durations and bounds.
    """

    def __init__(self, *, wall_ms: Callable[[], int], settings: QuarantineSettings):
        self._wall_ms = wall_ms
        self._settings = settings
        self._records: dict[str, QuarantineRecord] = {}
        self._versions: dict[str, int] = {}
        self._full_log = Throttle(lambda: wall_ms() / 1000)
        self.version = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, identity: str) -> QuarantineRecord | None:
        """Return the record of `identity` unless it has expired."""
        record = self._records.get(identity)
        if record is None or not self._is_expired(record):
            return record
        self._drop(identity)
        return None

    def all(self, newer_than: int = 0) -> list[QuarantineRecord]:
        """Return the records that changed after version `newer_than`."""
        return [
            record
            for identity, record in self._records.items()
            if self._versions[identity] > newer_than and not self._is_expired(record)
        ]

    def merge(self, records: Iterable[QuarantineRecord]) -> bool:
        """Merge `records`, and return whether anything changed."""
        changed = [self._merge_one(self._clamped(record)) for record in records]
        return any(changed)

    def _merge_one(self, record: QuarantineRecord) -> bool:
        if self._is_expired(record):
            return False
        existing = self._records.get(record.identity, QuarantineRecord(record.identity))
        merged = existing.merged(record, self._settings.servers_max)
        if merged == existing:
            return False
        if record.identity not in self._records and not self._make_room(merged):
            return False
        self.version += 1
        self._records[record.identity] = merged
        self._versions[record.identity] = self.version
        return True

    def _clamped(self, record: QuarantineRecord) -> QuarantineRecord:
        """Limit times that a node with a wrong clock has set too far in the future."""
        now_ms = self._wall_ms()
        settings = self._settings
        return QuarantineRecord(
            record.identity,
            min(record.suspected_ms, now_ms + settings.suspect_ms),
            min(record.cleared_ms, now_ms + settings.suspect_ms),
            min(record.quarantined_until_ms, now_ms + settings.quarantine_ms),
            record.servers,
        )

    def _make_room(self, new: QuarantineRecord) -> bool:
        """Make room for `new`, unless it has the lowest priority, and return success.

        Expired records are dropped first, then the one with the lowest priority.
        """
        if len(self._records) < self._settings.records_max:
            return True
        for identity in [i for i, r in self._records.items() if self._is_expired(r)]:
            self._drop(identity)
        if len(self._records) < self._settings.records_max:
            return True
        if self._full_log.ready():
            log_event(logger, events.RECORDS_FULL, records=len(self._records))
        lowest = min(self._records.values(), key=_retention_priority)
        if _retention_priority(new) <= _retention_priority(lowest):
            return False
        self._drop(lowest.identity)
        return True

    def _drop(self, identity: str) -> None:
        del self._records[identity]
        del self._versions[identity]

    def _is_expired(self, record: QuarantineRecord) -> bool:
        now_ms = self._wall_ms()
        suspect_until_ms = record.suspected_ms + self._settings.suspect_ms
        return now_ms >= max(suspect_until_ms, record.quarantined_until_ms)


def _retention_priority(record: QuarantineRecord) -> tuple[int, bool, int]:
    return (record.quarantined_until_ms, record.is_suspect, record.suspected_ms)
