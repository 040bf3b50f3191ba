"""Reading of accepted sections from the table, and the snapshot for starting nodes."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

from damaskproxy.events import log_event
from damaskproxy.model import Section
from damaskproxy.move import events
from damaskproxy.move.errors import DocumentDamaged, MoveError
from damaskproxy.move.readiness import Readiness, is_behind
from damaskproxy.move.reading import read_head, read_rows
from damaskproxy.move.rows import (
    HEAD_KEY,
    HeadRow,
    SectionRow,
    decode_row,
    section_key,
)
from damaskproxy.move.settings import PollerSettings
from damaskproxy.move.snapshot import (
    SNAPSHOT_NAME,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
)
from damaskproxy.move.store import SectionStore
from damaskproxy.store import ObjectStore, ObjectStoreError, Row, Table

__all__ = ["SectionPoller"]

logger = logging.getLogger(__name__)

JITTER = 0.1
MAX_ROWS_PER_READ = 100


class SectionPoller:
    """Keeps a `SectionStore` and the snapshot of the sections up to date.

    Parameters
    ----------
    table : Table
        Table service.
    objects : ObjectStore
        Store of the snapshot.
    store : SectionStore
        Sections in force on this node.
    polls : callable
        Whether this node is one of the selected pollers of its data centre.
    neighbour_versions : callable
        Section versions of each neighbour that has reported them since the start.
    now_s, sleep, rng
        Monotonic clock, pause in seconds, and source of jitter.
    settings : PollerSettings
        Intervals and delays.

    Notes
    -----
    All intervals have jitter, and no failure shortens the interval to the next read.
    Neither a cold start of all nodes nor the end of an outage causes a burst of reads.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        store: SectionStore,
        *,
        polls: Callable[[], bool],
        neighbour_versions: Callable[[], Sequence[Mapping[str, int]]] = tuple,
        now_s: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        rng: random.Random | None = None,
        settings: PollerSettings | None = None,
    ):
        self._table = table
        self._objects = objects
        self._store = store
        self._polls = polls
        self._now_s = now_s
        self._sleep = sleep
        self._rng = rng or random.Random()
        self._settings = settings or PollerSettings()
        self._head_row_version = 0
        self._head_failures = 0
        self._unreadable: set[str] = set()
        self._snapshot_due_s: float | None = None
        self._readiness = Readiness(
            store, neighbour_versions, now_s, self._settings.alone_ms / 1000
        )

    def hold(self) -> str:
        """Return what a starting node waits for; empty if it is ready."""
        return self._readiness.hold()

    def is_ready(self) -> bool:
        """Tell whether the sections have been as new as all available sources."""
        return not self.hold()

    async def run(self) -> None:
        """Load the first sections, then poll until cancelled."""
        self._readiness.start()
        await self._load_first_sections()
        settings = self._settings
        slow_s = settings.slow_poll_ms / 1000
        # The random time of the first slow poll keeps the polls of the nodes apart.
        slow_due_s = self._now_s() + self._rng.uniform(0, slow_s)
        while True:
            pause_s = settings.poll_ms / 1000
            is_poller = self._readiness.is_neighbour_wait_over() and self._polls()
            if is_poller or self._now_s() >= slow_due_s:
                slow_due_s = self._now_s() + self._jittered(slow_s)
                if not await self._poll() and is_poller:
                    pause_s = max(pause_s, settings.retry_ms / 1000)
            if is_poller:
                await self._sync_snapshot_if_due()
            await self._sleep(self._jittered(pause_s))

    def _jittered(self, pause_s: float) -> float:
        return pause_s * self._rng.uniform(1 - JITTER, 1 + JITTER)

    async def _load_first_sections(self) -> None:
        """Read the snapshot, or else the table, until the node has sections.

        Neighbours may supply them first, even while both stores are unavailable.
        """
        spread_s = self._settings.cold_spread_ms / 1000
        retry_s = self._settings.cold_retry_ms / 1000
        max_pause_s = spread_s
        await self._sleep(self._rng.uniform(0, spread_s))
        while not await self._load_snapshot():
            # Three times the spread, because each node reads the table three times.
            if await self._ready_within(self._rng.uniform(0, 3 * spread_s)):
                return
            if await self._poll():
                return
            max_pause_s = min(retry_s, 2 * max_pause_s)
            if await self._ready_within(
                self._rng.uniform(max_pause_s / 2, max_pause_s)
            ):
                return

    async def _ready_within(self, pause_s: float) -> bool:
        """Wait until the node is ready, at most `pause_s`; return whether it is."""
        end_s = self._now_s() + pause_s
        while not self.is_ready():
            remaining_s = end_s - self._now_s()
            if remaining_s <= 0:
                return False
            await self._sleep(min(remaining_s, self._settings.poll_ms / 1000))
        return True

    async def _load_snapshot(self) -> bool:
        """Apply the snapshot; return whether a readable one exists."""
        self._readiness.snapshot_attempted = True
        try:
            snapshot = await self._read_snapshot()
        except ObjectStoreError as error:
            log_event(logger, events.SNAPSHOT_FAILED, detail=str(error))
            return False
        if snapshot is None:
            return False
        self._apply_sections(snapshot.sections)
        self._readiness.snapshot_read = True
        return True

    async def _read_snapshot(self) -> Snapshot | None:
        """Return the snapshot, or None if there is no readable one."""
        data = await self._objects.get(SNAPSHOT_NAME)
        try:
            snapshot = None if data is None else decode_snapshot(data)
        except DocumentDamaged as error:
            log_event(logger, events.SECTION_UNREADABLE, detail=str(error))
            return None
        if snapshot is not None and snapshot.unreadable:
            detail = f"{snapshot.unreadable} sections of the snapshot cannot be decoded"
            log_event(logger, events.SECTION_UNREADABLE, detail=detail)
        return snapshot

    def _apply_sections(self, sections: Sequence[Section]) -> None:
        for section in sections:
            if self._store.apply(section):
                log_event(
                    logger,
                    events.SECTION_IN_FORCE,
                    section=section.name,
                    version=section.version,
                    edit_id=section.edit_id,
                )

    async def _poll(self) -> bool:
        """Apply newer sections from the table; return whether the reads succeeded."""
        try:
            rows = await read_rows(self._table, [HEAD_KEY])
            head = rows.get(HEAD_KEY)
            if head is not None and head.version != self._head_row_version:
                versions = await self._current_versions(head)
                await self._fetch_newer(versions)
                self._readiness.head_versions = self._readable(versions)
                self._head_row_version = head.version
                self._schedule_snapshot_sync(self._settings.snapshot_spread_ms)
        except MoveError as error:
            self._head_failures += 1
            if self._head_failures == 1:
                log_event(logger, events.HEAD_READ_FAILED, detail=str(error))
            return False
        if self._head_failures:
            failures, self._head_failures = self._head_failures, 0
            log_event(logger, events.HEAD_READ_RESUMED, failures=failures)
        if self._readiness.head_versions is None:
            self._readiness.head_versions = {}
        return True

    async def _current_versions(self, head: Row) -> dict[str, int]:
        """Return the accepted versions; after a single edit this needs no read."""
        previous = self._readiness.head_versions
        if previous is None or head.version != self._head_row_version + 1:
            return await read_head(self._table)
        edit = decode_row(HEAD_KEY, head, HeadRow)
        return {**previous, edit.section: edit.version}

    async def _fetch_newer(self, accepted: Mapping[str, int]) -> None:
        """Read and apply the sections whose accepted version is newer."""
        current = self._store.versions()
        names = [
            name
            for name, version in accepted.items()
            if is_behind(current, name, version)
        ]
        for offset in range(0, len(names), MAX_ROWS_PER_READ):
            keys = [
                section_key(name) for name in names[offset : offset + MAX_ROWS_PER_READ]
            ]
            rows = await read_rows(self._table, keys)
            for key in keys:
                self._apply_row(key, rows.get(key))

    def _apply_row(self, key: str, row: Row | None) -> None:
        """Apply a row; one that cannot be decoded must not block the others."""
        try:
            record = decode_row(key, row, SectionRow)
        except DocumentDamaged as error:
            self._unreadable.add(key)
            log_event(logger, events.SECTION_UNREADABLE, detail=str(error))
            return
        self._unreadable.discard(key)
        if record is not None:
            self._apply_sections([record.section])

    def _readable(self, versions: Mapping[str, int]) -> dict[str, int]:
        return {
            name: version
            for name, version in versions.items()
            if section_key(name) not in self._unreadable
        }

    def _schedule_snapshot_sync(self, max_delay_ms: int) -> None:
        due_s = self._now_s() + self._rng.uniform(0, max_delay_ms / 1000)
        self._snapshot_due_s = min(due_s, self._snapshot_due_s or due_s)

    async def _sync_snapshot_if_due(self) -> None:
        """Compare the snapshot with the sections in force if this is due.

        The object store has no conditional put, so that a delayed put can overwrite the
        snapshot with an older one. The next comparison repairs it.
        """
        if self._snapshot_due_s is None:
            self._schedule_snapshot_sync(self._settings.snapshot_check_ms)
        if self._now_s() < self._snapshot_due_s:
            return
        self._snapshot_due_s = None
        await self._sync_snapshot()
        self._schedule_snapshot_sync(2 * self._settings.snapshot_check_ms)

    async def _sync_snapshot(self) -> None:
        """Apply newer sections of the snapshot; write it if it lacks newer ones."""
        try:
            snapshot = await self._read_snapshot() or Snapshot([], 0)
            self._apply_sections(snapshot.sections)
            versions = {section.name: section.version for section in snapshot.sections}
            # Do not overwrite sections that only a newer release can read.
            if snapshot.unreadable or not self._store.newer_than(versions):
                return
            await self._objects.put(SNAPSHOT_NAME, encode_snapshot(self._store.all()))
        except ObjectStoreError as error:
            log_event(logger, events.SNAPSHOT_FAILED, detail=str(error))
            return
        log_event(logger, events.SNAPSHOT_WRITTEN, sections=len(self._store.all()))
