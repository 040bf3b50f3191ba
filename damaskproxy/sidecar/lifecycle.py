"""Start and background tasks of a sidecar."""

import asyncio
import gc
import logging
import signal
import socket
from collections.abc import Awaitable, Callable

import msgspec

from damaskproxy.common.clock import boot_s
from damaskproxy.events import log_event
from damaskproxy.sidecar import events
from damaskproxy.sidecar.compose import compose
from damaskproxy.sidecar.early_signals import EarlySignals
from damaskproxy.sidecar.joining import become_ready, join_from_seeds
from damaskproxy.sidecar.listening import ListenerError, ListenerSockets
from damaskproxy.sidecar.memory import MemoryWatch
from damaskproxy.sidecar.settings import (
    SidecarSettings,
    SidecarSettingsError,
    file_stamp,
    load_settings,
    to_address,
)
from damaskproxy.sidecar.sidecar import Sidecar
from damaskproxy.sidecar.stopping import drain, stop

__all__ = ["run_sidecar", "start"]

logger = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MAINTENANCE_INTERVAL_S = 0.5
SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval at which the modification time of the settings file is checked; the file may
change without SIGHUP."""
PROPAGATION_TICK_S = 0.2
"""Half of the interval between heartbeats."""
ALLOWANCE_FLUSH_S = 0.1
"""Interval at which reports on spent allowances are sent if they are due; owners learn
of a burst after this time at the latest."""
TASK_RESTART_DELAY_S = 0.2
TASK_RESTART_MAX_S = 5.0
"""First and longest pause before a failed task is started again. It doubles while the
task fails within `TASK_STEADY_S`."""
TASK_STEADY_S = 10.0
REASON_MAX = 200
"""Characters of an exception in the log."""
REOPEN_DELAY_S = 0.05
"""Time in which the event loop closes the sockets of a start that was given up."""
RELOADED_FIELDS = frozenset({"bounds", "seeds", "service"})
"""Settings that a reload changes in a running node, `bounds` only for its stop. The
others are those of its listeners, connections and limits, and of its record."""
SERVED_EARLY = frozenset({"readiness", "metrics"})
"""Listeners that answer before all listeners are open."""
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
        sidecar.server_check.run,
        lambda: join_from_seeds(sidecar),
        lambda: _run_propagation(sidecar),
        lambda: become_ready(sidecar),
        lambda: _run_maintenance(sidecar),
        lambda: _flush_allowances(sidecar),
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


async def _run_propagation(sidecar: Sidecar) -> None:
    while True:
        await asyncio.sleep(PROPAGATION_TICK_S)
        sidecar.propagation.tick()


async def _flush_allowances(sidecar: Sidecar) -> None:
    while True:
        await sidecar.allowances.wait_for_limits()
        await asyncio.sleep(ALLOWANCE_FLUSH_S)
        sidecar.allowances.flush()


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
