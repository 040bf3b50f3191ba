"""Start, upkeep and stop of a node beside a backend server."""

import asyncio
import gc
import logging
import os
import signal
from collections.abc import Awaitable, Callable

import msgspec

from damaskproxy.common import RefusalReason
from damaskproxy.common.clock import boot_s
from damaskproxy.directory import MemberRecord, RecordError, decode_member
from damaskproxy.events import log_event
from damaskproxy.forwarding import STATE_PATH, StateFrame, StateRequestFrame
from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.model import MemberState
from damaskproxy.platform import decode_bounds
from damaskproxy.sidecar import events
from damaskproxy.sidecar.compose import Sidecar, compose
from damaskproxy.sidecar.settings import (
    SidecarSettings,
    SidecarSettingsError,
    load_settings,
    to_address,
)

__all__ = ["drain", "run_sidecar", "start", "stop"]

logger = logging.getLogger(__name__)

UPKEEP_S = 0.5
SETTINGS_POLL_S = 2.0
"""The settings file may change without a signal."""
ASK_PEER_S = 0.5
"""Pause between questions to peers while the store is dark; a configuration has to be
in force within 2 s."""
NEAR_SHARE = 0.5
"""Share of the questions that stay in the data centre, whose bytes are not charged; the
others reach nodes that a whole data centre without the store does not have."""
SEED_TIMEOUT_S = 0.5
RECALL_PEERS = 3
"""Peers that a restarted node asks for what it had confirmed; one may be gone."""
RECALL_TIMEOUT_S = 0.1
"""Two round trips between regions. When all nodes start at once, none remembers."""
UNKNOWN_DIGEST = -1
"""Equal to that of no directory, so that a peer sends all its records."""
RESTART_PAUSE_S = 0.2
STOP_SERVE_S = 2.7
"""Time after SIGTERM in which clients may still come: the platform takes a node out
after two health checks a second apart. A request that is taken later might not end
before the platform kills the process."""
STOP_MARGIN_S = 0.3
"""The node ends itself so long before it would be killed."""
GC_THRESHOLD = 20_000
"""Objects between collections. A request leaves no cycles, so the usual 700 would cost
several collections per hundred requests for nothing."""


async def run_sidecar(
    settings: SidecarSettings,
    path: str,
    dropped_log_lines: Callable[[], int] = lambda: 0,
) -> None:
    """Run a node until SIGTERM and the end of its requests.

    Parameters
    ----------
    settings : SidecarSettings
        Checked settings.
    path : str
        Of the settings file, which is read again when it changes.
    dropped_log_lines : callable
        Returns how many lines of the log a slow reader has cost.
    """
    sidecar = compose(settings, dropped_log_lines=dropped_log_lines)
    stopping = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    tasks = await start(sidecar, path, reload)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await stopping.wait()
    await drain(sidecar)
    for task in tasks:
        task.cancel()
    await stop(sidecar)


async def start(
    sidecar: Sidecar, path: str, reload: asyncio.Event | None = None
) -> list[asyncio.Task]:
    """Open the listeners and start the background tasks.

    Parameters
    ----------
    sidecar : Sidecar
        From `compose`.
    path : str
        Of the settings file.
    reload : asyncio.Event, optional
        Set when the settings file has to be read again.

    Returns
    -------
    list of asyncio.Task
        Tasks to cancel at the end.
    """
    reload = reload or asyncio.Event()
    await _open_listeners(sidecar)
    log_event(logger, events.SIDECAR_STARTED, node_id=sidecar.settings.node_id)
    steps: list[Callable[[], Awaitable[None]]] = [
        sidecar.watch.follow_configuration,
        sidecar.watch.follow_members,
        sidecar.own_row.write_published_records,
        lambda: _ask_seeds(sidecar),
        lambda: _ask_peers_while_dark(sidecar),
        lambda: _become_ready(sidecar),
        lambda: _upkeep(sidecar),
        lambda: _follow_settings(sidecar, path, reload),
    ]
    return [asyncio.create_task(_keep_running(step)) for step in steps]


async def _keep_running(step: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await step()
            return
        except Exception:
            log_event(logger, events.TASK_ENDED, exc_info=True)
            await asyncio.sleep(RESTART_PAUSE_S)


async def _open_listeners(sidecar: Sidecar) -> None:
    listeners = sidecar.settings.listeners
    for name, server in sidecar.servers.items():
        address = to_address(getattr(listeners, name))
        await server.open(address.host, address.port)
    peer = to_address(listeners.peer)
    await sidecar.links.listen(peer.host, peer.port)


async def _become_ready(sidecar: Sidecar) -> None:
    """Announce the node once it knows the mesh, from the store or from a peer."""
    await sidecar.watch.wait_until_members_read()
    await _recall_from_peers(sidecar)
    _restore(sidecar)
    sidecar.update_record()
    await sidecar.configuration.wait_until_known()
    sidecar.is_ready = True
    log_event(
        logger,
        events.SIDECAR_READY,
        configuration_version=sidecar.configuration.version,
        members=len(sidecar.directory),
    )


async def _recall_from_peers(sidecar: Sidecar) -> None:
    """Ask peers for a leave that this node confirmed while the store was dark.

    Notes
    -----
    Calls are refused until the backend server's record is restored, so a restarted
    node that had a serving backend server waits for an answer, but not for long.
    """
    row = sidecar.watch.own_row
    if row is None or row.value is None:
        return
    peers = _others(sidecar)
    sidecar.rng.shuffle(peers)
    answered = asyncio.Event()
    sidecar.on_state = answered.set
    tasks = [
        asyncio.create_task(_ask(sidecar, member, UNKNOWN_DIGEST))
        for member in peers[:RECALL_PEERS]
    ]
    try:
        async with asyncio.timeout(RECALL_TIMEOUT_S):
            await answered.wait()
    except TimeoutError:
        log_event(logger, events.NO_PEER_ANSWERED, peers=len(peers))
    finally:
        sidecar.on_state = None
        for task in tasks:
            task.cancel()


async def _ask(sidecar: Sidecar, member: MemberRecord, digest: int) -> None:
    """Ask a peer for a newer configuration and what a directory lacks."""
    link = await sidecar.links.open(member)
    if link is not None:
        link.write(StateRequestFrame(sidecar.configuration.version, digest))


def _others(sidecar: Sidecar) -> list[MemberRecord]:
    """Return the records of the other nodes that run."""
    own_id = sidecar.settings.node_id
    return [r for r in sidecar.directory.records() if r.node_id != own_id]


def _restore(sidecar: Sidecar) -> None:
    """Take over what this node had stored before it was restarted."""
    row = sidecar.watch.own_row
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
    if is_same_machine and backend is not None and not sidecar.backend.record:
        if backend.state is MemberState.STARTING:
            return
        sidecar.backend.restore(backend)


async def _ask_seeds(sidecar: Sidecar) -> None:
    """Read the mesh from seeds while the store has not answered a starting node."""
    while not sidecar.watch.has_read_members:
        await asyncio.sleep(ASK_PEER_S)
        if sidecar.watch.has_read_members or not sidecar.watch.is_store_unavailable:
            continue
        for seed in sidecar.settings.seeds:
            if await _ask_seed(sidecar, seed):
                sidecar.is_ready = sidecar.configuration.current is not None
                sidecar.update_record()
                break


async def _ask_seed(sidecar: Sidecar, seed: str) -> bool:
    pool = ConnectionPool(to_address(seed), SEED_TIMEOUT_S)
    request = Request(b"GET", STATE_PATH, [(b"Host", seed.encode())])
    try:
        async with asyncio.timeout(SEED_TIMEOUT_S):
            response = await pool.exchange(request)
        told = msgspec.msgpack.decode(response.body, type=StateFrame)
    except (HttpError, TimeoutError, msgspec.MsgspecError):
        return False
    finally:
        pool.close()
    sidecar.apply_state(told)
    return True


async def _ask_peers_while_dark(sidecar: Sidecar) -> None:
    while True:
        await asyncio.sleep(ASK_PEER_S)
        if not sidecar.watch.is_store_unavailable:
            continue
        others = _others(sidecar)
        near = [r for r in others if r.data_centre == sidecar.settings.data_centre]
        if not others:
            continue
        is_near = bool(near) and sidecar.rng.random() < NEAR_SHARE
        member = sidecar.rng.choice(near if is_near else others)
        await _ask(sidecar, member, sidecar.directory.digest())


async def _upkeep(sidecar: Sidecar) -> None:
    while True:
        await asyncio.sleep(UPKEEP_S)
        for server in sidecar.servers.values():
            server.enforce_timeouts()
        sidecar.pool.close_idle()
        sidecar.store.close_idle()
        sidecar.links.close_idle()
        sidecar.backend.check_heartbeat()


async def _follow_settings(sidecar: Sidecar, path: str, reload: asyncio.Event) -> None:
    seen = _modified(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload.wait()
        except TimeoutError:
            pass
        modified = _modified(path)
        if not reload.is_set() and modified == seen:
            continue
        reload.clear()
        seen = modified
        try:
            sidecar.settings = load_settings(path)
        except SidecarSettingsError as error:
            log_event(logger, events.SETTINGS_KEPT, reason=str(error))
            continue
        log_event(logger, events.SETTINGS_RELOADED)


def _modified(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


async def drain(sidecar: Sidecar) -> None:
    """Leave gracefully: announce, serve what comes and what runs, then end."""
    began_s = boot_s()
    log_event(logger, events.SIDECAR_STOPPING, in_flight=sidecar.target.in_flight)
    sidecar.is_stopping = True
    sidecar.target.is_stopping = True
    sidecar.target.refuse_waiting(RefusalReason.LEAVING)
    sidecar.update_record(state=MemberState.STOPPED)
    sidecar.spread(sidecar.record)
    sidecar.servers["caller"].is_closing = True
    bounds = decode_bounds(sidecar.settings.bounds)
    last_s = began_s + bounds.stop_grace_s - STOP_MARGIN_S
    while boot_s() < last_s:
        await asyncio.sleep(0.05)
        if boot_s() - began_s < STOP_SERVE_S:
            continue
        sidecar.servers["caller"].stop_accepting()
        busy = sidecar.servers["caller"].busy_count + sidecar.links.running_count
        if not busy:
            break
    log_event(
        logger,
        events.SIDECAR_STOPPED,
        cut=sidecar.servers["caller"].busy_count + sidecar.links.running_count,
    )


async def stop(sidecar: Sidecar) -> None:
    """Close everything at once."""
    for server in sidecar.servers.values():
        await server.close()
    await sidecar.links.close()
    sidecar.pool.close()
    sidecar.store.close()
