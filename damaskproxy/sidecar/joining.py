"""Joins a node to the mesh: own record, members, configuration."""

import asyncio
import contextlib
import logging

import msgspec

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import (
    MemberRecord,
    RecordError,
    StoreError,
    decode_member,
)
from damaskproxy.events import log_event
from damaskproxy.forwarding import (
    STATE_PATH,
    FrameError,
    RecordRequestFrame,
    StateFrame,
    decode_state,
)
from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.model import MemberState
from damaskproxy.sidecar import events
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.sidecar import Sidecar

__all__ = ["become_ready", "fetch_state", "join_from_seeds"]

logger = logging.getLogger(__name__)

SEED_INTERVAL_S = 0.5
SEED_TIMEOUT_S = 0.5
FIRST_REPORT_WAIT_S = 4.0
"""Time that a node waits for the first status report when the whole mesh starts, so
that it writes one row instead of two; requests follow some ten seconds later."""
FIRST_READ_S = 4.5
"""Time from the first start of the whole mesh until a node reads the members. By then
all nodes have written their rows, so that each one reads the complete mesh and only the
first nodes of the data centres read the configuration from the store."""
LEAVE_REQUEST_PEERS = 3
"""Peers from which a restarted node requests a leave that it had confirmed; more than
one, since a peer may be down."""
LEAVE_REQUEST_TIMEOUT_S = 1.0
"""Longer than a peer is busy with a garbage collection or waits for a processor: with
0.1 s, an answer that came late let a server be called that had left. Peers answer
whether or not they have the record, and connection attempts end after 0.3 s, so that
only a suspended peer costs the whole time."""
CHECK_TIMEOUT_S = 0.1
"""Time that a restarted node waits for the health check of its backend server before it
is ready; until then it would refuse the calls to it."""
START_SPREAD_S = 1.5
"""Time within which all nodes are started that start together."""
MS_PER_S = 1000


async def become_ready(sidecar: Sidecar) -> None:
    """Publish the node once it has members and a configuration."""
    created: MemberRecord | None = None
    if sidecar.settings.is_first_start:
        created = await _create_own_row(sidecar)
        if created is None:
            sidecar.require_verification()
    if created is not None:
        # A leave may have been reported while the row was written.
        if created is not sidecar.record:
            sidecar.own_row_writer.publish(sidecar.record)
        sidecar.own_record_restored.set()
        await asyncio.sleep(sidecar.started_s + FIRST_READ_S - boot_s())
    await sidecar.store_watcher.read_members()
    if created is None:
        stored = _stored_record(sidecar)
        await _request_own_record_of_peers(sidecar, stored)
        if stored is not None:
            _restore_own_record(sidecar, stored)
        sidecar.update_record()
        sidecar.own_record_restored.set()
    sidecar.propagation.start(is_first_start=created is not None)
    await sidecar.configuration.wait_until_known()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            await sidecar.server_check.wait_until_settled()
    sidecar.is_ready = True
    log_event(
        logger,
        events.SIDECAR_READY,
        configuration_version=sidecar.configuration.version,
        members=len(sidecar.directory),
    )


async def _request_own_record_of_peers(
    sidecar: Sidecar, stored: MemberRecord | None
) -> None:
    """Ask peers for the record of this node that they have; its leave is applied.

    Notes
    -----
    The store lacks a leave that was confirmed while it was unavailable, and has lost
    one, or the whole row, if it returned from an older copy. The peers that received
    the leave have it. Calls are refused until the record of the backend server is
    restored, so a node waits for all answers, but only for a short time.
    """
    peers = _other_members(sidecar)
    if not peers:
        return
    sidecar.rng.shuffle(peers)
    if stored is not None:
        peers.sort(key=lambda p: _started_after_s(p, stored) > START_SPREAD_S)
    asked = peers[:LEAVE_REQUEST_PEERS]
    answer_count = unreachable_count = 0
    is_complete = asyncio.Event()

    def check() -> None:
        if answer_count + unreachable_count >= len(asked):
            is_complete.set()

    def receive(answer: StateFrame) -> None:
        nonlocal answer_count
        answer_count += 1
        check()

    async def request(member: MemberRecord) -> None:
        nonlocal unreachable_count
        link = await sidecar.links.open(member)
        if link is None:
            unreachable_count += 1
            check()
        else:
            link.write(RecordRequestFrame(sidecar.settings.node_id))

    sidecar.propagation.on_record_answer = receive
    tasks = [asyncio.create_task(request(member)) for member in asked]
    try:
        async with asyncio.timeout(LEAVE_REQUEST_TIMEOUT_S):
            await is_complete.wait()
    except TimeoutError:
        pass
    finally:
        sidecar.propagation.on_record_answer = None
        for task in tasks:
            task.cancel()
    if not answer_count:
        log_event(logger, events.NO_PEER_ANSWERED, peers=len(peers))


def _started_after_s(peer: MemberRecord, own: MemberRecord) -> float:
    """Return how long after a record of this node a peer was started."""
    return (peer.incarnation - own.incarnation) / MS_PER_S


async def _create_own_row(sidecar: Sidecar) -> MemberRecord | None:
    """Write the first row of this node before the members are read.

    Of two nodes that start at the same time, at least one then reads the row of the
    other. Returns None if the row exists or the store does not respond.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FIRST_REPORT_WAIT_S):
            await sidecar.backend_reported.wait()
    record = sidecar.record
    try:
        return record if await sidecar.own_row_writer.create(record) else None
    except StoreError as error:
        log_event(logger, events.FIRST_ROW_NOT_WRITTEN, reason=str(error))
        return None


def _other_members(sidecar: Sidecar) -> list[MemberRecord]:
    """Return the records of the other nodes that run, as far as known."""
    own_id = sidecar.settings.node_id
    return [
        record
        for record in sidecar.directory.records()
        if record.node_id != own_id and record.state is MemberState.SERVING
    ]


def _stored_record(sidecar: Sidecar) -> MemberRecord | None:
    """Return the record that this node had stored before it was restarted."""
    row = sidecar.store_watcher.own_row
    if row is None or row.value is None:
        return None
    try:
        return decode_member(row.value)
    except RecordError as error:
        log_event(logger, events.OWN_ROW_UNREADABLE, reason=str(error))
        return None


def _restore_own_record(sidecar: Sidecar, stored: MemberRecord) -> None:
    """Restore the stored record and the backend server."""
    incarnation = max(sidecar.record.incarnation, stored.incarnation + 1)
    sidecar.record = msgspec.structs.replace(sidecar.record, incarnation=incarnation)
    if stored.host != sidecar.record.host or stored.backend is None:
        return
    backend = stored.backend
    if not backend.is_leaving:
        backend = msgspec.structs.replace(backend, state=MemberState.SERVING)
    sidecar.backend.restore(backend)


async def join_from_seeds(sidecar: Sidecar) -> None:
    """Fetch the state from seeds while the store is unavailable to a starting node."""
    while not sidecar.store_watcher.has_read_members:
        await asyncio.sleep(SEED_INTERVAL_S)
        if (
            sidecar.store_watcher.has_read_members
            or not sidecar.store_watcher.is_store_unavailable
        ):
            continue
        for seed in sidecar.settings.seeds:
            if await fetch_state(sidecar, seed):
                sidecar.is_ready = sidecar.configuration.current is not None
                sidecar.update_record()
                sidecar.propagation.start()
                break


async def fetch_state(sidecar: Sidecar, seed: str) -> bool:
    """Apply the state of a seed; return whether it sent one."""
    pool = ConnectionPool(to_address(seed), SEED_TIMEOUT_S)
    request = Request(b"GET", STATE_PATH, [(b"Host", seed.encode())])
    try:
        async with asyncio.timeout(SEED_TIMEOUT_S):
            response = await pool.exchange(request)
        state = decode_state(response.body)
    except (HttpError, TimeoutError, FrameError):
        return False
    finally:
        pool.close()
    sidecar.propagation.apply_state(state)
    return True
