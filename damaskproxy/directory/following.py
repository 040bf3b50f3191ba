"""Synchronizes this node's view of the mesh with the store."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import NoReturn, Protocol

from damaskproxy.directory import events
from damaskproxy.directory.configuration import Configuration, CurrentConfiguration
from damaskproxy.directory.lost_rows import write_lost_rows
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
    RowWrite,
    StoreError,
    StorePosition,
    StoreRestored,
    WriteOutcome,
)
from damaskproxy.events import Event, log_event

__all__ = [
    "DecodeConfiguration",
    "OwnRowWriter",
    "StorePlan",
    "StoreWatcher",
    "apply_encoded_configuration",
]

DecodeConfiguration = Callable[[bytes], Configuration]
"""Decodes a configuration; raises `RecordError` if it is invalid."""

logger = logging.getLogger(__name__)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
MEMBER_TABLE = "damask-members"

MS_PER_S = 1000
PATH_CHECK_S = 0.5
"""Interval at which the path to the store is checked while a call waits.

The kernel finds a connection that went silent after up to 2 s. If all nodes that follow
the store are cut off from it at once, the others have to ask it within 2 s."""
RESPONSE_USUAL_S = 0.1
"""Time after which a call without a response makes the first check of the path."""
LOGGED_ROWS_MAX = 10_000
"""Odd rows that are remembered, so that each version of them is logged once."""
MEMBERS_CHECK_S = 0.25
"""Interval at which the plan is asked whether to read the members."""
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
        if current.note_ignored(encoded):
            log_event(
                logger, events.ROW_IGNORED, key=CONFIGURATION_KEY, reason=str(error)
            )
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


class StorePlan(Protocol):
    """Decides when this node calls the store."""

    configuration_position: StorePosition
    members_position: StorePosition
    is_feed_open: bool

    async def wait_until_store_wanted(self) -> None:
        """Wait until the configuration is to be read from the store."""

    def feed_wait_s(self) -> float:
        """Return how long the next call of the configuration feed may wait."""

    @property
    def wants_store(self) -> bool:
        """Whether the configuration is to be read from the store now."""

    def store_retry_s(self, failures: int) -> float:
        """Return the pause after a number of failed calls in a row."""

    def feed_closed(self) -> None:
        """Record that no call of the feed waits any more."""

    async def wait_until_feed_stuck(self) -> None:
        """Wait until the feed has evidently missed a change."""

    def store_succeeded(self, position: StorePosition, clock_s: float) -> None:
        """Record that all changes up to a position have been applied.

        Parameters
        ----------
        position : StorePosition
            Position of the store.
        clock_s : float
            Clock of the store when it responded, 0 if it names none.
        """

    def store_failed(self) -> None:
        """Record a failed call."""

    def note_era(self, era: int) -> None:
        """Record the era of a response of the store."""

    def is_members_poll_due(self) -> bool:
        """Tell whether to read changed member rows now."""

    @property
    def must_restore_members(self) -> bool:
        """Whether rows that the store has lost are to be written again."""

    def members_restored(self, position: StorePosition) -> None:
        """Record that all known members are in the store."""


class FeedStuck(StoreError):
    """The feed did not end in time, or not with what other nodes have received."""


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
    plan : StorePlan
        Decides when this node calls the store.
    publish : callable
        Passes on a record that was found in the store.
    own_row_deleted : callable
        Called when the row of this node was deleted by another writer.
    rng : random.Random
        Jitter of retries.

    Attributes
    ----------
    own_row : Row or None
        Row of this node as read last.
    has_read_members : bool
        Whether the members have been read at least once.
    is_store_unavailable : bool
        Whether the last call of this node failed.
    """

    def __init__(
        self,
        store: RowStore,
        configuration: CurrentConfiguration,
        directory: Directory,
        decode: DecodeConfiguration,
        node_id: str,
        plan: StorePlan,
        publish: Callable[[MemberRecord], None],
        own_row_deleted: Callable[[], None],
        rng: random.Random,
    ):
        self.own_row: Row | None = None
        self.has_read_members = False
        self.is_store_unavailable = False
        self._store = store
        self._configuration = configuration
        self._directory = directory
        self._decode = decode
        self._node_id = node_id
        self._plan = plan
        self._publish = publish
        self._own_row_deleted = own_row_deleted
        self._rng = rng
        self._logged_rows: dict[str, tuple[int, int]] = {}

    async def read_members(self) -> None:
        """Read all members once, with retries while the store is unavailable."""
        backoff = _Backoff(self._rng)
        while not self.has_read_members:
            try:
                body = await self._store.read(MEMBER_TABLE)
            except StoreError as error:
                self._record_failure(error)
                await backoff.wait()
                continue
            self.record_success(body)
            for row in body.rows:
                self._apply_member_row(row)
            self._plan.members_position = body.position
            self.has_read_members = True

    async def follow_configuration(self) -> None:
        """Apply the operator's configuration while the plan asks for it.

        The feed continues at the position up to which this node, or the node that it
        followed before, knows the configuration.
        """
        failures = 0
        is_stuck = False
        while True:
            if not self._plan.wants_store:
                self._plan.feed_closed()
                await self._plan.wait_until_store_wanted()
            wait_s = 0.0
            if self._plan.is_feed_open and not is_stuck:
                wait_s = self._plan.feed_wait_s()
            is_stuck = False
            try:
                rows = await self._read_configuration(wait_s)
            except HistoryLost as error:
                log_event(logger, events.HISTORY_LOST, reason=str(error))
                self._plan.configuration_position = StorePosition()
                continue
            except FeedStuck as error:
                log_event(logger, events.FEED_STUCK, reason=str(error))
                is_stuck = True
                continue
            except StoreError as error:
                self._plan.store_failed()
                self._record_failure(error)
                failures += 1
                await asyncio.sleep(self._plan.store_retry_s(failures))
                continue
            failures = 0
            self.record_success(rows)
            for row in rows.rows:
                if row.key == CONFIGURATION_KEY and row.value is not None:
                    self._apply_configuration_row(row)
            self._plan.store_succeeded(rows.position, rows.clock_s)

    async def _read_configuration(self, wait_s: float) -> Rows:
        """Return the rows of the operator that have changed.

        The first call after a failure, a stuck feed or a change of the source does not
        wait, so that a change in the meantime is found and the contact is confirmed at
        once.
        """
        position = self._plan.configuration_position
        if not position.version or self._configuration.current is None:
            call = self._store.read(OPERATOR_TABLE)
        else:
            wait_ms = int(wait_s * MS_PER_S)
            call = self._read_changes(OPERATOR_TABLE, position, wait_ms)
        response = asyncio.create_task(call)
        broken = asyncio.create_task(self._check_path())
        stuck = asyncio.create_task(self._plan.wait_until_feed_stuck())
        tasks = {response, broken, stuck}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if response.done():
                return response.result()
            if broken.done():
                return broken.result()
            raise FeedStuck("it is late, or another node has received more")
        finally:
            for task in tasks:
                task.cancel()

    async def _read_changes(
        self, table: str, after: StorePosition, wait_ms: int
    ) -> Rows:
        """Return the changes after a position.

        Raises
        ------
        HistoryLost
            If the store no longer has all of them.
        StoreRestored
            If the response is of another era. Its version may be the same or higher,
            but changes between the copy and `after` are missing from it.
        StoreError
            If there was no valid response.
        """
        rows = await self._store.changes(table, after.version, wait_ms)
        if rows.position.era != after.era:
            self._plan.note_era(rows.position.era)
            raise StoreRestored(
                f"{table} was known up to version {after.version} of era {after.era};"
                f" the store is in era {rows.position.era}"
            )
        return rows

    async def _check_path(self) -> NoReturn:
        """Check the path to the store at intervals, until it is broken."""
        await asyncio.sleep(RESPONSE_USUAL_S)
        while True:
            await self._store.check_path()
            await asyncio.sleep(PATH_CHECK_S)

    async def poll_members(self) -> None:
        """Read changed member rows when the plan asks for it, until cancelled."""
        while True:
            await asyncio.sleep(MEMBERS_CHECK_S)
            if not self._plan.is_members_poll_due():
                continue
            try:
                await self._read_changed_members()
            except StoreError as error:
                self._record_failure(error)

    async def _read_changed_members(self) -> None:
        if self._plan.must_restore_members:
            await self._restore_members()
            return
        position = self._plan.members_position
        try:
            if not position.version:
                raise HistoryLost("no member rows have been read")
            body = await self._read_changes(MEMBER_TABLE, position, 0)
        except StoreRestored:
            # The plan has noted the new era and asks for the members when it is due.
            return
        except HistoryLost as error:
            log_event(logger, events.HISTORY_LOST, reason=str(error))
            # It may be beyond the newest version of the store.
            self._plan.members_position = StorePosition()
            body = await self._store.read(MEMBER_TABLE)
            self._remove_missing_members({row.key for row in body.rows})
        self._apply_member_rows(body)
        self._plan.members_position = max(self._plan.members_position, body.position)

    async def _restore_members(self) -> None:
        """Read all members, and write again what the store has lost.

        A member that the copy lacks was not deleted; its row is written again.
        """
        started_s = asyncio.get_running_loop().time()
        body = await self._store.read(MEMBER_TABLE)
        self._apply_member_rows(body)
        written = await write_lost_rows(
            self._store, MEMBER_TABLE, self._directory, body
        )
        self._plan.members_restored(body.position)
        log_event(
            logger,
            events.MEMBERS_RESTORED,
            era=body.position.era,
            position=body.position.version,
            rows_read=len(body.rows),
            rows_written=written,
            elapsed_ms=int((asyncio.get_running_loop().time() - started_s) * MS_PER_S),
        )

    def _apply_member_rows(self, body: Rows) -> None:
        """Apply rows and pass on what was news."""
        self.record_success(body)
        for row in body.rows:
            record = self._apply_member_row(row)
            if record is not None:
                self._publish(record)

    def _apply_configuration_row(self, row: Row) -> None:
        try:
            apply_encoded_configuration(self._configuration, row.value, self._decode)
        except Exception as error:
            self._log_row(row, events.ROW_FAILED, exc_info=error)

    def _apply_member_row(self, row: Row) -> MemberRecord | None:
        """Apply a row; return the record if it was news.

        Whatever a row has, the others of the same response are applied.
        """
        try:
            record = self._merge_member_row(row)
        except RecordError as error:
            self._log_row(row, events.ROW_IGNORED, reason=str(error))
            return None
        except Exception as error:
            self._log_row(row, events.ROW_FAILED, exc_info=error)
            return None
        self._logged_rows.pop(row.key, None)
        return record

    def _merge_member_row(self, row: Row) -> MemberRecord | None:
        if row.key == self._node_id:
            self.own_row = row
            if row.value is None:
                self._own_row_deleted()
            return None
        if row.value is None:
            return self._directory.remove(row.key)
        record = decode_member(row.value)
        if record.node_id != row.key:
            raise RecordError(f"the row names node {record.node_id[:200]!r}")
        return record if self._directory.merge(record) else None

    def _log_row(
        self,
        row: Row,
        event: Event,
        *,
        exc_info: BaseException | bool = False,
        **fields: object,
    ) -> None:
        """Log an event about a row, once for each version of the row."""
        version = (row.version, hash(row.value))
        if self._logged_rows.get(row.key) == version:
            return
        if len(self._logged_rows) >= LOGGED_ROWS_MAX:
            self._logged_rows.clear()
        self._logged_rows[row.key] = version
        log_event(logger, event, exc_info=exc_info, key=row.key, **fields)

    def _remove_missing_members(self, keys: set[str]) -> None:
        """Remove the members that are not in a complete read of the store."""
        if self._node_id not in keys:
            self._own_row_deleted()
        for record in list(self._directory.records()):
            if record.node_id not in keys and record.node_id != self._node_id:
                removed = self._directory.remove(record.node_id)
                if removed is not None:
                    self._publish(removed)

    def _record_failure(self, error: StoreError) -> None:
        if not self.is_store_unavailable:
            self.is_store_unavailable = True
            log_event(logger, events.STORE_LOST, reason=str(error))

    def record_success(self, rows: Rows) -> None:
        """Record a response of the store."""
        self._plan.note_era(rows.position.era)
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            log_event(logger, events.STORE_REGAINED)


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

    Attributes
    ----------
    has_stored : bool
        Whether a record of this node has been stored since the process started.
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
        self.has_stored = False

    async def create(self, record: MemberRecord) -> bool:
        """Write the first row of this node; False if it exists already.

        Raises
        ------
        StoreError
            If the outcome is unknown.
        """
        write = RowWrite(record.node_id, 0, encode_member(record))
        outcome, body = await self._store.write(MEMBER_TABLE, [write])
        self._watcher.record_success(body)
        if outcome is WriteOutcome.APPLIED:
            self._version = body.position.version
            self.has_stored = True
            self._stored.set()
        return outcome is WriteOutcome.APPLIED

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
        write = RowWrite(record.node_id, version, encode_member(record))
        outcome, body = await self._store.write(MEMBER_TABLE, [write])
        self._watcher.record_success(body)
        if outcome is WriteOutcome.APPLIED:
            self._version = body.position.version
            self.has_stored = True
            return True
        rows = [row for row in body.rows if row.key == record.node_id]
        self._version = rows[0].version if rows else 0
        self._watcher.own_row = rows[0] if rows else None
        return False
