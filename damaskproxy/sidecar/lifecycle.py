"""Start, background tasks and graceful stop of a sidecar."""

import asyncio
import contextlib
import gc
import logging
import signal
import socket
import time
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
from damaskproxy.forwarding import (
    STATE_PATH,
    FrameError,
    RecordRequestFrame,
    StateFrame,
    decode_state,
)
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

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
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
VOUCH_MARGIN_S = 3.0
"""Time by which a peer must have been up longer than this process. Nodes that were
killed together are not started at the same moment."""
START_SPREAD_S = 1.5
"""Time within which all nodes are started that start together."""
MS_PER_S = 1000
TASK_RESTART_DELAY_S = 0.2
TASK_RESTART_MAX_S = 5.0
"""First and longest pause before a failed task is started again. It doubles while the
task fails within `TASK_STEADY_S`."""
TASK_STEADY_S = 10.0
REASON_MAX = 200
"""Characters of an exception in the log."""
REOPEN_DELAY_S = 0.05
"""Time in which the event loop closes the sockets of a start that was given up."""
STOP_ACCEPT_S = 2.7
"""Time after SIGTERM in which requests are still accepted: the platform takes a node
out of rotation after two failed health checks, one second apart. A request accepted
later might not complete before the platform kills the process."""
STOP_POLL_S = 0.02
CONTROL_END_S = 0.8
"""Time before the end in which the control listener accepts nothing more, a little
longer than a confirmation may wait for the store."""
PARTLY_READ_END_S = 0.2
"""Time before the end at which requests that are still partly read are refused."""
GOODBYE_TIMEOUT_S = 0.15
"""Three round trips between regions."""
RELOADED_FIELDS = frozenset({"bounds", "seeds", "service"})
"""Settings that a reload changes in a running node, `bounds` only for its stop. The
others are those of its listeners, connections and limits, and of its record."""
SERVED_EARLY = frozenset({"readiness", "metrics"})
"""Listeners that answer before all listeners are open."""
STOP_MARGIN_S = 0.3
"""The node has nothing in progress this long before the platform would kill it. It then
takes leave of the other nodes and exits."""
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
    for number in STOP_SIGNALS:
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
            _ignore_signals(loop)
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
    _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals until the process has returned its status.

    The event loop removes its handlers when it closes, and a signal would then end the
    process.
    """
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


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
    """Run `job`, again after each failure; the traceback is logged once in a row."""
    pause_s = TASK_RESTART_DELAY_S
    known = ""
    while True:
        started_s = boot_s()
        try:
            await job()
            return
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            # What the job waited for was cancelled, not the job.
            failure = error
        except Exception as error:
            failure = error
        if boot_s() - started_s >= TASK_STEADY_S:
            pause_s = TASK_RESTART_DELAY_S
            known = ""
        reason = repr(failure)[:REASON_MAX]
        log_event(
            logger,
            events.TASK_ENDED,
            exc_info=failure if reason != known else False,
            reason=reason,
            pause_s=pause_s,
        )
        known = reason
        del failure
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, TASK_RESTART_MAX_S)


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
        # A leave may have been reported while the row was written.
        if created is not sidecar.record:
            sidecar.own_row_writer.publish(sidecar.record)
        sidecar.own_record_restored.set()
        await asyncio.sleep(sidecar.started_s + FIRST_READ_S - boot_s())
    await sidecar.store_watcher.read_members()
    if created is None:
        stored = _stored_record(sidecar)
        answers = await _request_own_record_of_peers(sidecar, stored)
        if stored is not None:
            _restore_own_record(sidecar, stored, answers)
        sidecar.update_record()
        sidecar.own_record_restored.set()
    sidecar.propagation.start(is_first_start=created is not None)
    await sidecar.configuration.wait_until_known()
    sidecar.is_ready = True
    log_event(
        logger,
        events.SIDECAR_READY,
        configuration_version=sidecar.configuration.version,
        members=len(sidecar.directory),
    )


async def _request_own_record_of_peers(
    sidecar: Sidecar, stored: MemberRecord | None
) -> list[StateFrame]:
    """Return the records of this node that peers have.

    Notes
    -----
    The store lacks a leave that was confirmed while it was unavailable, and has lost
    one, or the whole row, if it returned from an older copy. The peers that received
    the leave have it, and those that were up all the time without it know that there is
    none. Calls are refused until the record of the backend server is restored, so a
    node waits for all answers, but only for a short time.
    """
    peers = _other_members(sidecar)
    if not peers:
        return []
    sidecar.rng.shuffle(peers)
    if stored is not None:
        peers.sort(key=lambda p: _started_after_s(p, stored) > START_SPREAD_S)
    answers: list[StateFrame] = []
    unreachable: list[MemberRecord] = []
    asked = peers[:LEAVE_REQUEST_PEERS]
    is_complete = asyncio.Event()

    def check() -> None:
        if len(answers) + len(unreachable) >= len(asked):
            is_complete.set()

    def receive(answer: StateFrame) -> None:
        answers.append(answer)
        check()

    async def request(member: MemberRecord) -> None:
        link = await sidecar.links.open(member)
        if link is None:
            unreachable.append(member)
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
    if not answers:
        log_event(logger, events.NO_PEER_ANSWERED, peers=len(peers))
    return answers


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


def _restore_own_record(
    sidecar: Sidecar, stored: MemberRecord, answers: list[StateFrame]
) -> None:
    """Restore the stored record, and the backend server if it may be served."""
    incarnation = max(sidecar.record.incarnation, stored.incarnation + 1)
    sidecar.record = msgspec.structs.replace(sidecar.record, incarnation=incarnation)
    backend = stored.backend
    if stored.host != sidecar.record.host or backend is None:
        return
    if backend.is_leaving:
        sidecar.backend.restore(backend)
        return
    own_uptime_s = boot_s() - sidecar.started_s
    stored_age_s = time.time() - stored.incarnation / MS_PER_S
    is_verified = backend.state is MemberState.SERVING and any(
        vouches(answer, stored, own_uptime_s, stored_age_s) for answer in answers
    )
    if not is_verified and sidecar.backend.record is None:
        log_event(
            logger,
            events.SERVER_UNVERIFIED,
            instance_id=backend.instance_id,
            stored_state=backend.state,
            stored_age_s=round(stored_age_s, 3),
            peer_uptimes_ms=[answer.uptime_ms for answer in answers],
        )
    backend = msgspec.structs.replace(backend, state=MemberState.SERVING)
    sidecar.backend.restore(backend, is_verified=is_verified)


def vouches(
    answer: StateFrame,
    stored: MemberRecord,
    own_uptime_s: float,
    stored_age_s: float,
) -> bool:
    """Return whether a peer knows that the stored backend server has not left.

    Parameters
    ----------
    answer : StateFrame
        Record of this node that the peer has, and its uptime.
    stored : MemberRecord
        Record that this node has stored.
    own_uptime_s : float
        Time since this process was started.
    stored_age_s : float
        Time since the process was started that stored the record.

    Notes
    -----
    A leave that was confirmed without the store is known to the peers that were up at
    that time. A peer that was started later has read the same row as this node. So it
    has to have been up before the process that stored the record, except for the time
    by which the starts of nodes differ that start together.

    A planned stop ends with a record that has all leaves, since a node that stops
    confirms none that is not stored. A peer that was started later, but before this
    process, knows whether it is the last one; the store may have returned from an older
    copy.
    """
    uptime_s = answer.uptime_ms / MS_PER_S
    if uptime_s < own_uptime_s + VOUCH_MARGIN_S:
        return False
    was_up = uptime_s >= stored_age_s - START_SPREAD_S
    is_stopped = stored.state is MemberState.STOPPED
    return any(
        record.node_id == stored.node_id
        and record.backend is not None
        and record.backend.incarnation_key == stored.backend.incarnation_key
        and record.backend.state is MemberState.SERVING
        and (was_up or (is_stopped and record.order == stored.order))
        for record in answer.records
    )


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
        state = decode_state(response.body)
    except (HttpError, TimeoutError, FrameError):
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
    that arrive later, on a connection that is still open, are refused as not run. The
    node waits until all responses and results have been received, not only handed to
    the kernel. Those still in flight when the grace period ends are aborted.
    """
    start_s = boot_s()
    log_event(logger, events.SIDECAR_STOPPING, in_flight=sidecar.target.in_flight)
    sidecar.is_stopping = True
    sidecar.target.is_stopping = True
    sidecar.target.refuse_waiting(RefusalReason.LEAVING)
    sidecar.update_record(state=MemberState.STOPPED)
    sidecar.broadcast(sidecar.record)
    caller = sidecar.servers["caller"]
    caller.is_closing = True
    bounds = decode_bounds(sidecar.settings.bounds)
    total_s = max(bounds.stop_grace_s - STOP_MARGIN_S, 0.0)
    await asyncio.sleep(min(STOP_ACCEPT_S, total_s / 2))
    sidecar.origin.is_stopping = True
    await _finish(sidecar, start_s + total_s)
    log_event(
        logger,
        events.SIDECAR_STOPPED,
        cut=_in_progress_count(sidecar),
        partly_read=sum(s.partly_read_count for s in sidecar.servers.values()),
        unsent_bytes=_unsent_bytes(sidecar),
    )
    sidecar.propagation.stop()
    await sidecar.links.leave(GOODBYE_TIMEOUT_S)


async def _finish(sidecar: Sidecar, end_s: float) -> None:
    """Wait until all is answered and sent, until `end_s` at the latest.

    The other listeners stay open until the callers and the other nodes have got
    everything.
    """
    servers = sidecar.servers
    caller = servers["caller"]
    others = [server for server in servers.values() if server is not caller]
    while boot_s() < end_s:
        caller.stop_accepting()
        await asyncio.sleep(STOP_POLL_S)
        if boot_s() > end_s - PARTLY_READ_END_S:
            caller.refuse_partly_read()
        unfinished = caller.unfinished_count + sidecar.links.unfinished_count
        if unfinished and boot_s() < end_s - CONTROL_END_S:
            continue
        for server in others:
            server.stop_accepting()
            unfinished += server.unfinished_count
        if not unfinished:
            return


def _in_progress_count(sidecar: Sidecar) -> int:
    """Return how many requests of callers, peers and the backend server are handled."""
    requests = sum(server.busy_count for server in sidecar.servers.values())
    return requests + sidecar.links.running_count


def _unsent_bytes(sidecar: Sidecar) -> int:
    """Return how many bytes of responses and frames the kernel has not taken yet."""
    responses = sum(server.unsent_bytes for server in sidecar.servers.values())
    return responses + sidecar.links.unsent_bytes


async def stop(sidecar: Sidecar) -> None:
    """Close all listeners and connections immediately."""
    for server in sidecar.servers.values():
        await server.close()
    for task in sidecar.connect_tasks:
        task.cancel()
    await sidecar.links.close()
    sidecar.pool.close()
    sidecar.store.close()
