"""Keeps this node's view of the mesh equal to the store's."""

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
"""Raises `RecordError` for a configuration that cannot be read."""

logger = logging.getLogger(__name__)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
MEMBER_TABLE = "damask-members"

CONFIGURATION_WAIT_MS = 4000
"""A feed that went silent delays a configuration by no more than this and its grace;
the bound on a configuration holds again 3 s after a disruption."""
MEMBERS_WAIT_MS = 20000
"""Members also reach a node through refusals of their peers, so a silent feed harms
less and fewer calls are charged."""
MEMBERS_PAUSE_S = 0.4
"""Pause after a change of members. Many nodes change at once at a start or a release,
and without a pause each change would cost each node a call."""
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
"""Longest pause between calls to a store that does not answer, well within the 3 s
after which the bounds hold again."""


def apply_encoded_configuration(
    book: CurrentConfiguration, encoded: bytes, decode: DecodeConfiguration
) -> None:
    """Put an encoded configuration in force if it is newer and readable."""
    try:
        configuration = decode(encoded)
    except RecordError as error:
        log_event(logger, events.ROW_IGNORED, key=CONFIGURATION_KEY, reason=str(error))
        return
    if book.apply_if_newer(configuration):
        log_event(logger, events.CONFIGURATION_IN_FORCE, version=configuration.version)


class _Pause:
    """Growing pauses between calls to a store that does not answer.

    Parameters
    ----------
    rng : random.Random
        Spreads the calls of many nodes.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.reset()

    @property
    def is_first(self) -> bool:
        """Whether no pause was made since the store last answered."""
        return self._pause_s == RETRY_MIN_S

    def reset(self) -> None:
        """Start with the shortest pause again: the store has answered."""
        self._pause_s = RETRY_MIN_S

    async def wait(self) -> None:
        """Make the next pause."""
        await asyncio.sleep(self._pause_s * (0.75 + 0.5 * self._rng.random()))
        self._pause_s = min(2 * self._pause_s, RETRY_MAX_S)


class StoreWatcher:
    """Follows the configuration and the members in the store.

    Parameters
    ----------
    store : RowStore
        The store.
    configuration : CurrentConfiguration
        Receives configurations.
    directory : Directory
        Receives members.
    decode : callable
        Returns the configuration in a row of the operator.
    node_id : str
        Of this node; its own row is not merged.
    rng : random.Random
        Spreads repeated calls.

    Attributes
    ----------
    own_row : Row or None
        Row of this node as last read.
    has_read_members : bool
        Whether the members were read once.
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
        """Whether the store does not answer this node."""
        return bool(self._failing)

    async def wait_until_members_read(self) -> None:
        """Wait until the members were read once."""
        await self._members_read.wait()

    async def follow_configuration(self) -> None:
        """Follow the operator's rows for ever."""
        await self._follow(
            OPERATOR_TABLE,
            CONFIGURATION_WAIT_MS,
            0.0,
            self._apply_operator,
            lambda keys: None,
        )

    async def follow_members(self) -> None:
        """Follow the members' rows for ever."""
        await self._follow(
            MEMBER_TABLE,
            MEMBERS_WAIT_MS,
            MEMBERS_PAUSE_S,
            self._apply_member,
            self._keep_members,
        )

    async def _follow(
        self,
        table: str,
        wait_ms: int,
        change_pause_s: float,
        apply: Callable[[Row], None],
        keep: Callable[[set[str]], None],
    ) -> None:
        after: int | None = None
        pause = _Pause(self._rng)
        while True:
            try:
                body = await self._next(table, after, wait_ms)
            except HistoryLost as error:
                log_event(logger, events.HISTORY_LOST, table=table, reason=str(error))
                after = None
                continue
            except StoreError as error:
                self._note_failure(table, error)
                await pause.wait()
                continue
            pause.reset()
            self._note_success(table)
            for row in body.rows:
                apply(row)
            if after is None:
                keep({row.key for row in body.rows})
            after = body.version
            if body.rows and change_pause_s:
                await asyncio.sleep(change_pause_s)

    async def _next(self, table: str, after: int | None, wait_ms: int) -> Rows:
        if after is None:
            return await self._store.read(table)
        return await self._store.changes(table, after, wait_ms)

    def _apply_operator(self, row: Row) -> None:
        if row.key == CONFIGURATION_KEY and row.value is not None:
            apply_encoded_configuration(self._configuration, row.value, self._decode)

    def _apply_member(self, row: Row) -> None:
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

    def _keep_members(self, keys: set[str]) -> None:
        """Drop the members that the store no longer has."""
        for record in list(self._directory.records()):
            if record.node_id not in keys and record.node_id != self._node_id:
                self._directory.remove(record.node_id)
        self.has_read_members = True
        self._members_read.set()

    def _note_failure(self, table: str, error: StoreError) -> None:
        if table not in self._failing:
            self._failing.add(table)
            log_event(logger, events.STORE_LOST, table=table, reason=str(error))

    def _note_success(self, table: str) -> None:
        if table in self._failing:
            self._failing.discard(table)
            log_event(logger, events.STORE_REGAINED, table=table)


class OwnRowWriter:
    """Writes the record of this node to the store.

    Parameters
    ----------
    store : RowStore
        The store.
    watch : StoreWatcher
        Knows the row as last read.
    spread : callable
        Sends a record that the store did not take to other nodes.
    rng : random.Random
        Spreads repeated calls.
    """

    def __init__(
        self,
        store: RowStore,
        watch: StoreWatcher,
        spread: Callable[[MemberRecord], None],
        rng: random.Random,
    ):
        self._store = store
        self._watch = watch
        self._spread = spread
        self._rng = rng
        self._record: MemberRecord | None = None
        self._version = 0
        self._changed = asyncio.Event()
        self._stored = asyncio.Event()

    def publish(self, record: MemberRecord) -> None:
        """Write `record` soon; it replaces one that is not written yet."""
        self._record = record
        self._stored.clear()
        self._changed.set()

    async def wait_until_stored(self) -> None:
        """Wait until the newest record is in the store."""
        await self._stored.wait()

    async def write_published_records(self) -> None:
        """Write each published record, for ever."""
        pause = _Pause(self._rng)
        while True:
            await self._changed.wait()
            self._changed.clear()
            record = self._record
            try:
                is_written = await self._write(record)
            except StoreError:
                if pause.is_first:
                    self._spread(record)
                self._changed.set()
                await pause.wait()
                continue
            pause.reset()
            if not is_written or record is not self._record:
                self._changed.set()
            else:
                self._stored.set()

    async def _write(self, record: MemberRecord) -> bool:
        """Write over the row as last read; False if it has changed meanwhile.

        Notes
        -----
        The condition keeps a delayed write of an earlier record from replacing a newer
        one.
        """
        read = self._watch.own_row
        is_there = read is not None and read.value is not None
        version = max(self._version, read.version if is_there else 0)
        outcome, body = await self._store.put(
            MEMBER_TABLE, record.node_id, version, encode_member(record)
        )
        if outcome is WriteOutcome.APPLIED:
            self._version = body.version
            return True
        rows = [row for row in body.rows if row.key == record.node_id]
        self._version = rows[0].version if rows else 0
        self._watch.own_row = rows[0] if rows else None
        return False
