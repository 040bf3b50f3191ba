"""Records of suspect and quarantined identities, and their bounded store."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from damaskproxy.events import Throttle, log_event
from damaskproxy.quarantine import events
from damaskproxy.quarantine.settings import QuarantineSettings

__all__ = ["QuarantineRecord", "RecordStore"]

logger = logging.getLogger(__name__)


class QuarantineRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known about one identity; records merge by the maximum of each field.

    Parameters
    ----------
    identity : str
        Digest of service, method, path and body.
    suspected_ms, cleared_ms : int
        Unix time of the last death and of the last completion after it. A record is
        suspect while the first is greater.
    quarantined_until_ms : int
        Unix time, 0 when never quarantined.
    servers : tuple of str
        Nodes whose backend server died.
    """

    identity: str
    suspected_ms: int = 0
    cleared_ms: int = 0
    quarantined_until_ms: int = 0
    servers: tuple[str, ...] = ()

    def merged(self, other: "QuarantineRecord", servers_max: int) -> "QuarantineRecord":
        """Return the maximum of both records."""
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
        """Whether it was not cleared since the last death."""
        return self.suspected_ms > self.cleared_ms


class RecordStore:
    """Records that have not expired, bounded in number.

    Parameters
    ----------
    wall_ms : callable
        Unix time in milliseconds.
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
        """Merge `records`, and tell whether anything changed."""
        changed = [self._merge_one(self._clamped(record)) for record in records]
        return any(changed)

    def _merge_one(self, record: QuarantineRecord) -> bool:
        if self._is_expired(record):
            return False
        known = self._records.get(record.identity, QuarantineRecord(record.identity))
        merged = known.merged(record, self._settings.servers_max)
        if merged == known:
            return False
        if record.identity not in self._records and not self._make_room(merged):
            return False
        self.version += 1
        self._records[record.identity] = merged
        self._versions[record.identity] = self.version
        return True

    def _clamped(self, record: QuarantineRecord) -> QuarantineRecord:
        """Limit times that a node with a wrong clock has set far in the future."""
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
        """Drop what matters least until `new` fits, unless that is `new` itself."""
        if len(self._records) < self._settings.records_max:
            return True
        for identity in [i for i, r in self._records.items() if self._is_expired(r)]:
            self._drop(identity)
        if len(self._records) < self._settings.records_max:
            return True
        if self._full_log.ready():
            log_event(logger, events.RECORDS_FULL, records=len(self._records))
        least = min(self._records.values(), key=_weight)
        if _weight(new) <= _weight(least):
            return False
        self._drop(least.identity)
        return True

    def _drop(self, identity: str) -> None:
        del self._records[identity]
        del self._versions[identity]

    def _is_expired(self, record: QuarantineRecord) -> bool:
        now_ms = self._wall_ms()
        suspect_until_ms = record.suspected_ms + self._settings.suspect_ms
        return now_ms >= max(suspect_until_ms, record.quarantined_until_ms)


def _weight(record: QuarantineRecord) -> tuple[int, bool, int]:
    return (record.quarantined_until_ms, record.is_suspect, record.suspected_ms)
