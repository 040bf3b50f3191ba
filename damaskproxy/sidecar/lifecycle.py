"""Start, background tasks and graceful stop of a sidecar."""

import asyncio
import contextlib
import gc
import logging
import signal
import socket
from collections.abc import Awaitable, Callable

import msgspec

from damaskproxy.common import RefusalReason
from damaskproxy.common.clock import boot_s
from damaskproxy.directory import (
    MemberRecord,
    RecordError,
    StoreError,
    decode_member,
)
from damaskproxy.events import log_event
from damaskproxy.forwarding import STATE_PATH, RecordRequestFrame, StateFrame
from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.model import MemberState
from damaskproxy.platform import decode_bounds
from damaskproxy.sidecar import events
from damaskproxy.sidecar.compose import Sidecar, compose
from damaskproxy.sidecar.early_signals import EarlySignals
from damaskproxy.sidecar.listening import ListenerError, ListenerSockets
from damaskproxy.sidecar.memory import MemoryWatch
from damaskproxy.sidecar.settings import (
    SidecarSettings,
    SidecarSettingsError,
    file_stamp,
    load_settings,
    to_address,
)

__all__ = ["drain", "run_sidecar", "start", "stop"]

logger = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_S = 0.5
SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval at which the modification time of the settings file is checked; the file may
change without SIGHUP."""
PROPAGATION_TICK_S = 0.2
"""Half of the interval between heartbeats."""
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
LEAVE_REQUEST_TIMEOUT_S = 0.1
"""Two round trips between regions. Short, since no peer has the record when all nodes
start at the same time."""
TASK_RESTART_DELAY_S = 0.2
REOPEN_DELAY_S = 0.05
"""Time in which the event loop closes the sockets of a start that was given up."""
STOP_ACCEPT_S = 2.7
"""Time after SIGTERM in which requests are still accepted: the platform takes a node
out of rotation after two failed health checks, one second apart. A request accepted
later might not complete before the platform kills the process."""
RELOADED_FIELDS = frozenset({"bounds", "seeds", "service"})
"""Settings that a reload changes in a running node, `bounds` only for its stop. The
others are those of its listeners, connections and limits, and of its record."""
SERVED_EARLY = frozenset({"readiness", "metrics"})
"""Listeners that answer before all listeners are open."""
STOP_MARGIN_S = 0.3
"""The node exits this long before the platform would kill it."""
GC_THRESHOLD = 20_000
"""Net allocations between garbage collections. A request creates no reference cycles,
so the default of 700 would run several useless collections per hundred requests."""


async def run_sidecar(
    settings: SidecarSettings,
    path: str,
    dropped_log_lines: Callable[[], int] = lambda: 0,
    stamp: tuple[int, ...] = (),
    signals: EarlySignals | None = None,
) -> None:
    """Run a sidecar until SIGTERM, then drain and close it.

    Parameters
    ----------
    settings : SidecarSettings
        Validated settings.
    path : str
        Path of the settings file, which is reloaded when it changes.
    dropped_log_lines : callable
        Returns how many log lines were dropped because of a slow reader.
    stamp : tuple of int
        Stamp of the settings file from before it was read.
    signals : EarlySignals, optional
        Handled the signals before the event loop does.
    """
    try:
        await _run(settings, path, dropped_log_lines, stamp, signals)
    except ListenerError as error:
        log_event(logger, events.LISTENER_FAILED, reason=str(error))
        raise
    except Exception:
        log_event(logger, events.PROCESS_FAILED, exc_info=True)
        raise


async def _run(
    settings: SidecarSettings,
    path: str,
    dropped_log_lines: Callable[[], int],
    stamp: tuple[int, ...],
    signals: EarlySignals | None,
) -> None:
    stopping = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    # Read once the event loop handles the signal, so that none is lost in between.
    if signals is not None and signals.is_reload_requested:
        reload.set()
    tasks: list[asyncio.Task] | None = None
    while tasks is None:
        if reload.is_set() or file_stamp(path) != stamp:
            reload.clear()
            stamp = file_stamp(path)
            settings = _load_or_keep(settings, path)
        sidecar = compose(settings, dropped_log_lines=dropped_log_lines)
        starting = asyncio.create_task(start(sidecar, path, reload, stamp))
        await _wait_for_start(starting, path, stamp, stopping, reload)
        if starting.done():
            tasks = starting.result()
            break
        starting.cancel()
        await asyncio.wait([starting])
        await stop(sidecar)
        if stopping.is_set():
            # Nothing has been accepted.
            log_event(
                logger, events.SIDECAR_STOPPED, cut=0, partly_read=0, unsent_bytes=0
            )
            return
        await asyncio.sleep(REOPEN_DELAY_S)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await stopping.wait()
    await drain(sidecar)
    for task in tasks:
        task.cancel()
    await stop(sidecar)


async def _wait_for_start(
    starting: asyncio.Task,
    path: str,
    stamp: tuple[int, ...],
    stopping: asyncio.Event,
    reload: asyncio.Event,
) -> None:
    """Wait until the start is complete, or has to be given up.

    It is given up for a stop, and for a change of the settings, since a node whose
    listeners wait for their addresses can start again with any settings.
    """
    waits = [asyncio.create_task(event.wait()) for event in (stopping, reload)]
    try:
        while True:
            done, _ = await asyncio.wait(
                [starting, *waits],
                timeout=SETTINGS_POLL_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done or file_stamp(path) != stamp:
                return
    finally:
        for task in waits:
            task.cancel()


def _load_or_keep(settings: SidecarSettings, path: str) -> SidecarSettings:
    """Return the settings in the file, `settings` if they are invalid."""
    try:
        return load_settings(path)
    except SidecarSettingsError as error:
        log_event(logger, events.SETTINGS_KEPT, reason=str(error))
        return settings


async def start(
    sidecar: Sidecar,
    path: str,
    reload: asyncio.Event | None = None,
    stamp: tuple[int, ...] | None = None,
) -> list[asyncio.Task]:
    """Open the listeners and start the background tasks.

    Parameters
    ----------
    sidecar : Sidecar
        From `compose`.
    path : str
        Path of the settings file.
    reload : asyncio.Event, optional
        Set to reload the settings file.
    stamp : tuple of int, optional
        Stamp of the settings file from before it was read; the current one by default.

    Returns
    -------
    list of asyncio.Task
        Background tasks, to be cancelled by the caller.
    """
    reload = reload or asyncio.Event()
    if stamp is None:
        stamp = file_stamp(path)
    await _open_listeners(sidecar)
    log_event(
        logger,
        events.SIDECAR_STARTED,
        node_id=sidecar.settings.node_id,
        service=sidecar.settings.service,
    )
    jobs: list[Callable[[], Awaitable[None]]] = [
        sidecar.store_watcher.follow_configuration,
        sidecar.store_watcher.poll_members,
        sidecar.own_row_writer.write_published_records,
        lambda: _join_from_seeds(sidecar),
        lambda: _run_propagation(sidecar),
        lambda: _become_ready(sidecar),
        lambda: _run_maintenance(sidecar),
        lambda: _follow_settings(sidecar, path, reload, stamp),
    ]
    return [asyncio.create_task(_run_with_restart(job)) for job in jobs]


async def _run_with_restart(job: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await job()
            return
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            # What the job waited for was cancelled, not the job.
            log_event(logger, events.TASK_ENDED, exc_info=True)
        except Exception:
            log_event(logger, events.TASK_ENDED, exc_info=True)
        await asyncio.sleep(TASK_RESTART_DELAY_S)


async def _open_listeners(sidecar: Sidecar) -> None:
    """Open all listeners; wait for addresses that are not free.

    The health check and the metrics answer before the others are open. Requests, calls
    of other nodes and status reports are accepted once all are: a node without its peer
    address must not publish a record, and one without its control address does not know
    whether its backend server leaves.
    """
    listeners = sidecar.settings.listeners
    names = (*sidecar.servers, "peer")
    sockets = ListenerSockets(
        {name: to_address(getattr(listeners, name)) for name in names}
    )

    async def serve(name: str, sock: socket.socket) -> None:
        server = sidecar.links if name == "peer" else sidecar.servers[name]
        await server.serve(sock)

    try:
        await sockets.open([n for n in names if n in SERVED_EARLY], serve)
    except BaseException:
        sockets.close()
        raise


async def _become_ready(sidecar: Sidecar) -> None:
    """Publish the node once it has members and a configuration."""
    created: MemberRecord | None = None
    if sidecar.settings.is_first_start:
        created = await _create_own_row(sidecar)
    if created is not None:
        await asyncio.sleep(sidecar.started_s + FIRST_READ_S - boot_s())
    await sidecar.store_watcher.read_members()
    if created is None:
        await _restore_confirmed_leave(sidecar)
        _restore_own_record(sidecar)
        sidecar.update_record()
    elif created is not sidecar.record:
        sidecar.own_row_writer.publish(sidecar.record)
    sidecar.propagation.start(is_first_start=created is not None)
    await sidecar.configuration.wait_until_known()
    sidecar.is_ready = True
    log_event(
        logger,
        events.SIDECAR_READY,
        configuration_version=sidecar.configuration.version,
        members=len(sidecar.directory),
    )


async def _restore_confirmed_leave(sidecar: Sidecar) -> None:
    """Request from peers a leave that was confirmed but is not in the store.

    Notes
    -----
    The store lacks a leave that was confirmed while it was unavailable, and has lost
    one, or the whole row, if it returned from an older copy. The peers that received
    the leave have it. Calls are refused until the record of the backend server is
    restored, so a node waits for the first state frame, but only for a short time.
    """
    peers = _other_members(sidecar)
    if not peers:
        return
    sidecar.rng.shuffle(peers)
    record_received = asyncio.Event()
    sidecar.on_own_record = record_received.set
    tasks = [
        asyncio.create_task(_request_own_record(sidecar, member))
        for member in peers[:LEAVE_REQUEST_PEERS]
    ]
    try:
        async with asyncio.timeout(LEAVE_REQUEST_TIMEOUT_S):
            await record_received.wait()
    except TimeoutError:
        log_event(logger, events.NO_PEER_ANSWERED, peers=len(peers))
    finally:
        sidecar.on_own_record = None
        for task in tasks:
            task.cancel()


async def _request_own_record(sidecar: Sidecar, member: MemberRecord) -> None:
    """Request the record of this node that a peer has."""
    link = await sidecar.links.open(member)
    if link is not None:
        link.write(RecordRequestFrame(sidecar.settings.node_id))


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
    """Return the records of the other nodes in the directory."""
    own_id = sidecar.settings.node_id
    return [r for r in sidecar.directory.records() if r.node_id != own_id]


def _restore_own_record(sidecar: Sidecar) -> None:
    """Restore the record that this node had stored before it was restarted."""
    row = sidecar.store_watcher.own_row
    if row is None or row.value is None:
        return
    try:
        stored = decode_member(row.value)
    except RecordError as error:
        log_event(logger, events.OWN_ROW_UNREADABLE, reason=str(error))
        return
    incarnation = max(sidecar.record.incarnation, stored.incarnation + 1)
    sidecar.record = msgspec.structs.replace(sidecar.record, incarnation=incarnation)
    backend = stored.backend
    is_same_machine = stored.host == sidecar.record.host
    if is_same_machine and backend is not None:
        if backend.state is MemberState.STARTING:
            return
        sidecar.backend.restore(backend)


async def _join_from_seeds(sidecar: Sidecar) -> None:
    """Fetch the state from seeds while the store is unavailable to a starting node."""
    while not sidecar.store_watcher.has_read_members:
        await asyncio.sleep(SEED_INTERVAL_S)
        if (
            sidecar.store_watcher.has_read_members
            or not sidecar.store_watcher.is_store_unavailable
        ):
            continue
        for seed in sidecar.settings.seeds:
            if await _fetch_state(sidecar, seed):
                sidecar.is_ready = sidecar.configuration.current is not None
                sidecar.update_record()
                sidecar.propagation.start()
                break


async def _fetch_state(sidecar: Sidecar, seed: str) -> bool:
    pool = ConnectionPool(to_address(seed), SEED_TIMEOUT_S)
    request = Request(b"GET", STATE_PATH, [(b"Host", seed.encode())])
    try:
        async with asyncio.timeout(SEED_TIMEOUT_S):
            response = await pool.exchange(request)
        state = msgspec.msgpack.decode(response.body, type=StateFrame)
    except (HttpError, TimeoutError, msgspec.MsgspecError):
        return False
    finally:
        pool.close()
    sidecar.propagation.apply_state(state)
    return True


async def _run_propagation(sidecar: Sidecar) -> None:
    while True:
        await asyncio.sleep(PROPAGATION_TICK_S)
        sidecar.propagation.tick()


async def _run_maintenance(sidecar: Sidecar) -> None:
    memory = MemoryWatch(sidecar.settings.memory_limit_mb << 20, sidecar.held_bytes)
    while True:
        await asyncio.sleep(MAINTENANCE_INTERVAL_S)
        memory.check()
        for server in sidecar.servers.values():
            server.enforce_timeouts()
        sidecar.pool.close_idle()
        sidecar.store.close_idle()
        sidecar.links.close_idle()
        sidecar.backend.check_heartbeat()


async def _follow_settings(
    sidecar: Sidecar, path: str, reload: asyncio.Event, known: tuple[int, ...]
) -> None:
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload.wait()
        except TimeoutError:
            pass
        stamp = file_stamp(path)
        if not reload.is_set() and stamp == known:
            continue
        reload.clear()
        known = stamp
        _apply_settings(sidecar, _load_or_keep(sidecar.settings, path))


def _apply_settings(sidecar: Sidecar, loaded: SidecarSettings) -> None:
    """Change those settings of a running node that can be changed."""
    if loaded is sidecar.settings:
        return
    changed = {
        name: getattr(loaded, name)
        for name in loaded.__struct_fields__
        if getattr(loaded, name) != getattr(sidecar.settings, name)
    }
    applied = {name: changed.pop(name) for name in RELOADED_FIELDS & changed.keys()}
    sidecar.settings = msgspec.structs.replace(sidecar.settings, **applied)
    log_event(
        logger,
        events.SETTINGS_RELOADED,
        changed=sorted(applied),
        needs_restart=sorted(changed),
    )


async def drain(sidecar: Sidecar) -> None:
    """Stop gracefully: announce the stop, serve for a while, finish what is in flight.

    Requests are accepted until the platform has taken the node out of rotation. Those
    that arrive later, on a connection that is still open, are refused as not run; those
    still in flight when the grace period ends are aborted.
    """
    start_s = boot_s()
    log_event(logger, events.SIDECAR_STOPPING, in_flight=sidecar.target.in_flight)
    sidecar.is_stopping = True
    sidecar.target.is_stopping = True
    sidecar.target.refuse_waiting(RefusalReason.LEAVING)
    sidecar.update_record(state=MemberState.STOPPED)
    sidecar.broadcast(sidecar.record)
    sidecar.servers["caller"].is_closing = True
    bounds = decode_bounds(sidecar.settings.bounds)
    end_s = start_s + bounds.stop_grace_s - STOP_MARGIN_S
    while boot_s() < end_s:
        await asyncio.sleep(0.05)
        if boot_s() - start_s < STOP_ACCEPT_S:
            continue
        sidecar.origin.is_stopping = True
        sidecar.servers["caller"].stop_accepting()
        busy = sidecar.servers["caller"].busy_count + sidecar.links.running_count
        if not busy:
            break
    caller = sidecar.servers["caller"]
    log_event(
        logger,
        events.SIDECAR_STOPPED,
        cut=caller.busy_count + sidecar.links.running_count,
        partly_read=caller.partly_read_count,
        unsent_bytes=caller.unsent_bytes + sidecar.links.unsent_bytes,
    )


async def stop(sidecar: Sidecar) -> None:
    """Close all listeners and connections immediately."""
    for server in sidecar.servers.values():
        await server.close()
    for task in sidecar.connect_tasks:
        task.cancel()
    await sidecar.links.close()
    sidecar.pool.close()
    sidecar.store.close()
