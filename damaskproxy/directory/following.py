"""Synchronizes this node's view of the mesh with the store."""

import asyncio
import logging
import random
from collections.abc import Callable

from damaskproxy.directory import events
from damaskproxy.directory.configuration import Configuration, CurrentConfiguration
from damaskproxy.directory.members import (
    Directory,
    MemberRecord,
    RecordError,
    decode_member,
    encode_member,
)
from damaskproxy.directory.rows import (
    HistoryLost,
    Row,
    Rows,
    RowStore,
    StoreError,
    WriteOutcome,
)
from damaskproxy.events import log_event

__all__ = [
    "DecodeConfiguration",
    "OwnRowWriter",
    "StoreWatcher",
    "apply_encoded_configuration",
]

DecodeConfiguration = Callable[[bytes], Configuration]
"""Decodes a configuration; raises `RecordError` if it is invalid."""

logger = logging.getLogger(__name__)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
MEMBER_TABLE = "damask-members"

CONFIGURATION_WAIT_MS = 4000
"""Long-poll time of the configuration feed.

An unresponsive feed delays a configuration by at most this time and the grace time of
the request. The limit on the delay of a configuration holds again 3 s after a
disruption."""
MEMBERS_WAIT_MS = 20000
"""Long-poll time of the member feed.

It is longer than that of the configuration to reduce the number of calls charged. An
unresponsive feed matters less, since refusals of peers also carry member records."""
MEMBERS_PAUSE_S = 0.4
"""Pause after a change of members, which batches changes.

When many nodes start or are upgraded together, each change would otherwise cost each
node one call."""
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
"""Longest pause between calls to an unavailable store.

It is well within the 3 s after a disruption from which the limits hold again."""


def apply_encoded_configuration(
    current: CurrentConfiguration, encoded: bytes, decode: DecodeConfiguration
) -> None:
    """Put an encoded configuration in force if it is valid and newer."""
    try:
        configuration = decode(encoded)
    except RecordError as error:
        log_event(logger, events.ROW_IGNORED, key=CONFIGURATION_KEY, reason=str(error))
        return
    if current.apply_if_newer(configuration):
        log_event(logger, events.CONFIGURATION_IN_FORCE, version=configuration.version)


class _Backoff:
    """Exponential backoff, with jitter, between calls to an unavailable store.

    Parameters
    ----------
    rng : random.Random
        Jitter, which spreads the calls of many nodes.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.reset()

    @property
    def is_first(self) -> bool:
        """Whether no call has failed since the last response of the store."""
        return self._pause_s == RETRY_MIN_S

    def reset(self) -> None:
        """Start again with the shortest pause, after a response of the store."""
        self._pause_s = RETRY_MIN_S

    async def wait(self) -> None:
        """Wait for the next pause."""
        await asyncio.sleep(self._pause_s * (0.75 + 0.5 * self._rng.random()))
        self._pause_s = min(2 * self._pause_s, RETRY_MAX_S)


class StoreWatcher:
    """Applies changes of the configuration and the members in the store.

    Parameters
    ----------
    store : RowStore
        The row store.
    configuration : CurrentConfiguration
        Configuration to update.
    directory : Directory
        Member records to update.
    decode : callable
        Decodes the configuration in the operator's row.
    node_id : str
        Id of this node, whose own row is not merged.
    rng : random.Random
        Jitter of retries.

    Attributes
    ----------
    own_row : Row or None
        Row of this node as read last.
    has_read_members : bool
        Whether the members have been read at least once.
    """

    def __init__(
        self,
        store: RowStore,
        configuration: CurrentConfiguration,
        directory: Directory,
        decode: DecodeConfiguration,
        node_id: str,
        rng: random.Random,
    ):
        self.own_row: Row | None = None
        self.has_read_members = False
        self._store = store
        self._configuration = configuration
        self._directory = directory
        self._decode = decode
        self._node_id = node_id
        self._rng = rng
        self._failing: set[str] = set()
        self._members_read = asyncio.Event()

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the last call for any of the followed tables failed."""
        return bool(self._failing)

    async def wait_until_members_read(self) -> None:
        """Wait until the members have been read once."""
        await self._members_read.wait()

    async def follow_configuration(self) -> None:
        """Apply changes of the operator's rows until cancelled."""
        await self._follow(
            OPERATOR_TABLE,
            CONFIGURATION_WAIT_MS,
            0.0,
            self._apply_operator_row,
            lambda keys: None,
        )

    async def follow_members(self) -> None:
        """Apply changes of the members' rows until cancelled."""
        await self._follow(
            MEMBER_TABLE,
            MEMBERS_WAIT_MS,
            MEMBERS_PAUSE_S,
            self._apply_member_row,
            self._remove_missing_members,
        )

    async def _follow(
        self,
        table: str,
        wait_ms: int,
        change_pause_s: float,
        apply: Callable[[Row], None],
        after_full_read: Callable[[set[str]], None],
    ) -> None:
        after: int | None = None
        backoff = _Backoff(self._rng)
        while True:
            try:
                body = await self._read_next(table, after, wait_ms)
            except HistoryLost as error:
                log_event(logger, events.HISTORY_LOST, table=table, reason=str(error))
                after = None
                continue
            except StoreError as error:
                self._record_failure(table, error)
                await backoff.wait()
                continue
            backoff.reset()
            self._record_success(table)
            for row in body.rows:
                apply(row)
            if after is None:
                after_full_read({row.key for row in body.rows})
            after = body.version
            if body.rows and change_pause_s:
                await asyncio.sleep(change_pause_s)

    async def _read_next(self, table: str, after: int | None, wait_ms: int) -> Rows:
        if after is None:
            return await self._store.read(table)
        return await self._store.changes(table, after, wait_ms)

    def _apply_operator_row(self, row: Row) -> None:
        if row.key == CONFIGURATION_KEY and row.value is not None:
            apply_encoded_configuration(self._configuration, row.value, self._decode)

    def _apply_member_row(self, row: Row) -> None:
        if row.key == self._node_id:
            self.own_row = row
            return
        if row.value is None:
            self._directory.remove(row.key)
            return
        try:
            record = decode_member(row.value)
            if record.node_id != row.key:
                raise RecordError(f"the row names node {record.node_id!r}")
        except RecordError as error:
            log_event(logger, events.ROW_IGNORED, key=row.key, reason=str(error))
            return
        self._directory.merge(record)

    def _remove_missing_members(self, keys: set[str]) -> None:
        """Remove the members that are not in a complete read of the store."""
        for record in list(self._directory.records()):
            if record.node_id not in keys and record.node_id != self._node_id:
                self._directory.remove(record.node_id)
        self.has_read_members = True
        self._members_read.set()

    def _record_failure(self, table: str, error: StoreError) -> None:
        if table not in self._failing:
            self._failing.add(table)
            log_event(logger, events.STORE_LOST, table=table, reason=str(error))

    def _record_success(self, table: str) -> None:
        if table in self._failing:
            self._failing.discard(table)
            log_event(logger, events.STORE_REGAINED, table=table)


class OwnRowWriter:
    """Writes the record of this node to the store.

    Parameters
    ----------
    store : RowStore
        The row store.
    watcher : StoreWatcher
        Holds the row of this node as read last.
    broadcast : callable
        Sends a record to other nodes while the store is unavailable.
    rng : random.Random
        Jitter of retries.
    """

    def __init__(
        self,
        store: RowStore,
        watcher: StoreWatcher,
        broadcast: Callable[[MemberRecord], None],
        rng: random.Random,
    ):
        self._store = store
        self._watcher = watcher
        self._broadcast = broadcast
        self._rng = rng
        self._record: MemberRecord | None = None
        self._version = 0
        self._changed = asyncio.Event()
        self._stored = asyncio.Event()

    def publish(self, record: MemberRecord) -> None:
        """Queue `record` for writing; it replaces one that is not written yet."""
        self._record = record
        self._stored.clear()
        self._changed.set()

    async def wait_until_stored(self) -> None:
        """Wait until the newest record has been stored."""
        await self._stored.wait()

    async def write_published_records(self) -> None:
        """Write each published record, until cancelled."""
        backoff = _Backoff(self._rng)
        while True:
            await self._changed.wait()
            self._changed.clear()
            record = self._record
            try:
                is_written = await self._write(record)
            except StoreError:
                if backoff.is_first:
                    self._broadcast(record)
                self._changed.set()
                await backoff.wait()
                continue
            backoff.reset()
            if not is_written or record is not self._record:
                self._changed.set()
            else:
                self._stored.set()

    async def _write(self, record: MemberRecord) -> bool:
        """Replace the row as read last; return False if it has changed since.

        Notes
        -----
        The version check keeps a delayed write of an earlier record from replacing a
        newer one.
        """
        last_read = self._watcher.own_row
        exists = last_read is not None and last_read.value is not None
        version = max(self._version, last_read.version if exists else 0)
        outcome, body = await self._store.put(
            MEMBER_TABLE, record.node_id, version, encode_member(record)
        )
        if outcome is WriteOutcome.APPLIED:
            self._version = body.version
            return True
        rows = [row for row in body.rows if row.key == record.node_id]
        self._version = rows[0].version if rows else 0
        self._watcher.own_row = rows[0] if rows else None
        return False
