"""Graceful stop of a node."""

import asyncio
import logging

from damaskproxy.common import RefusalReason
from damaskproxy.common.clock import boot_s
from damaskproxy.events import log_event
from damaskproxy.model import MemberState
from damaskproxy.platform import decode_bounds
from damaskproxy.sidecar import events
from damaskproxy.sidecar.sidecar import Sidecar

__all__ = ["drain", "stop"]

logger = logging.getLogger(__name__)

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
STOP_MARGIN_S = 0.3
"""The node has nothing in progress this long before the platform would kill it. It then
takes leave of the other nodes and exits."""


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
    sidecar.allowances.close()
    await sidecar.links.close()
    sidecar.pool.close()
    sidecar.store.close()
