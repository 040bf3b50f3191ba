"""Caller-chosen keys: pinned to issued keys in the table, or scoped to an attempt."""

import asyncio
import logging
import time
from collections import OrderedDict

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.events import Throttle, log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.keys import KEY_PREFIX, IssuedKey, KeyRing
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.ledger.tables import (
    Table,
    TableErrors,
    platform_errors,
    versions_of,
)

__all__ = ["PinnedKeys", "ScopedKeys"]

logger = logging.getLogger(__name__)

CHOSEN_KEY_MAX_CHARS = 200
PIN_RETRY_AFTER_MS = 1000
INSERT_ATTEMPTS = 3
SCOPED_KEYS_MAX = 1000


class PinnedKeys:
    """Maps each caller-chosen key to the same issued key on all nodes.

    Parameters
    ----------
    table : Table
        Stores a pin, the issued key of a caller-chosen key, in the row
        ``pin/<service>/<key>``.
    key_ring : KeyRing
        Issues the key of a new pin and verifies the others.
    settings : LedgerSettings
        Timeout of the table and size of the cache.
    errors : TableErrors, optional
        Exceptions of `table`; those of the platform by default.

    Notes
    -----
    A pin is used only after its row has been committed or read, so two entry nodes that
    pin the same key concurrently use the same issued key. Rows never change, so a
    cached pin stays valid while the table is unavailable.
    """

    def __init__(
        self,
        table: Table,
        key_ring: KeyRing,
        *,
        settings: LedgerSettings | None = None,
        errors: TableErrors | None = None,
    ):
        settings = settings or LedgerSettings()
        self._table = table
        self._key_ring = key_ring
        self._errors = errors or platform_errors()
        self._timeout_s = settings.pin_timeout_ms / 1000
        self._cache_max = settings.pin_cache_max
        self._log = Throttle(time.monotonic)
        self._cache: OrderedDict[str, str] = OrderedDict()

    async def resolve(self, service: str, key: str) -> IssuedKey | Refusal:
        """Return the issued key that `key` of `service` is pinned to.

        Returns
        -------
        IssuedKey or Refusal
            ``pin-unavailable`` has the outcome unknown, because an earlier request
            with the same key may have run.
        """
        if key.startswith(KEY_PREFIX):
            return self._key_ring.parse(key)
        if not _is_valid(key):
            return Refusal(
                RefusalReason.KEY_INVALID,
                Outcome.NOT_RUN,
                detail=f"keys have 1 to {CHOSEN_KEY_MAX_CHARS} visible characters",
            )
        row_key = f"pin/{service}/{key}"
        pinned = self._cache.get(row_key) or await self._create_pin(row_key)
        if pinned is None:
            return Refusal(
                RefusalReason.PIN_UNAVAILABLE,
                Outcome.UNKNOWN,
                PIN_RETRY_AFTER_MS,
                "the table that maps chosen keys is unavailable",
            )
        self._cache_pin(row_key, pinned)
        return self._key_ring.parse(pinned)

    async def _create_pin(self, row_key: str) -> str | None:
        candidate = self._key_ring.issue_key().text
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._insert(row_key, candidate)
        except self._errors.all as error:
            if self._log.ready():
                log_event(logger, events.PIN_UNAVAILABLE, cause=type(error).__name__)
            return None

    async def _insert(self, row_key: str, candidate: str) -> str:
        """Insert `candidate` unless the row exists, and return the value of the row.

        After a lost response the row is read back. If it does not exist, the insert may
        still be in flight, so the same value is inserted again; it does not matter
        which of the two inserts is applied.
        """
        for _ in range(INSERT_ATTEMPTS):
            try:
                result = await self._table.commit(
                    {row_key: 0}, {row_key: candidate.encode()}
                )
            except self._errors.unknown:
                rows = await self._table.read([row_key])
            else:
                if versions_of(result) is not None:
                    return candidate
                rows = result.rows
            if row_key in rows:
                return rows[row_key].value.decode()
        raise self._errors.unknown("the pin could be neither written nor read back")

    def _cache_pin(self, row_key: str, pinned: str) -> None:
        self._cache[row_key] = pinned
        self._cache.move_to_end(row_key)
        if len(self._cache) > self._cache_max:
            self._cache.popitem(last=False)


class ScopedKeys:
    """Caller-chosen keys of the calls that a backend server makes during one attempt.

    Parameters
    ----------
    key_ring : KeyRing
        Issues the keys; this node holds their ledger records.

    Notes
    -----
    The parent attempt runs at most once and only on the backend server of this node, so
    the mapping is not stored in the table. The user of this class must refuse calls
    whose parent attempt has ended, because their mapping has been dropped.
    """

    def __init__(self, key_ring: KeyRing):
        self._key_ring = key_ring
        self._scopes: dict[str, dict[tuple[str, str], IssuedKey]] = {}

    def resolve(self, parent_id: str, service: str, key: str) -> IssuedKey | Refusal:
        """Return the issued key for `key` of `service` within the parent attempt."""
        if not _is_valid(key):
            return Refusal(RefusalReason.KEY_INVALID, Outcome.NOT_RUN)
        scope = self._scopes.setdefault(parent_id, {})
        existing = scope.get((service, key))
        if existing is not None:
            return existing
        if len(scope) >= SCOPED_KEYS_MAX:
            return Refusal(
                RefusalReason.KEY_INVALID,
                Outcome.NOT_RUN,
                detail=f"one request may use {SCOPED_KEYS_MAX} keys",
            )
        scope[service, key] = self._key_ring.issue_key()
        return scope[service, key]

    def remove(self, parent_id: str) -> None:
        """Drop the keys of an attempt that has ended."""
        self._scopes.pop(parent_id, None)


def _is_valid(key: str) -> bool:
    printable = key.isascii() and key.isprintable() and " " not in key
    return 0 < len(key) <= CHOSEN_KEY_MAX_CHARS and printable
