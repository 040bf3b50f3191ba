"""Start, drain and graceful shutdown of a node."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable, Coroutine

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.config import NodeSettings
from damaskproxy.events import log_event
from damaskproxy.ledger import HandoverResult, hand_over
from damaskproxy.model import Address, MemberState
from damaskproxy.node import events
from damaskproxy.node.compose import compose
from damaskproxy.node.control import make_handover_sender
from damaskproxy.node.heirs import make_choose_heir, record_heirs
from damaskproxy.node.parts import Parts

__all__ = ["Node", "run_node"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# Polling intervals; each check costs only a few comparisons.
POLL_INTERVAL_S = 0.02
MAINTENANCE_INTERVAL_S = 0.5
# Time without any candidate as heir before the hand-over is skipped; also lets other
# nodes receive the drain before the listeners of this node close.
NO_HEIR_GRACE_S = 3.0
FLUSH_TIMEOUT_S = 5.0
EXIT_OK = 0
EXIT_FORCED = 4


class Node:
    """A running node.

    Parameters
    ----------
    parts : Parts
        Components built by `damaskproxy.node.compose`.
    """

    def __init__(self, parts: Parts):
        self.parts = parts
        self._tasks: list[asyncio.Task] = []
        self._closing_streams: set[asyncio.Task] = set()
        self._drain_lock = asyncio.Lock()

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        Raises
        ------
        NodeError, ControlError
            If a listener cannot be opened at its address.
        """
        parts = self.parts
        for name in ("peer", "backend", "admin", "call"):
            address = await parts.listeners[name].start()
            setattr(parts.addresses, name, address)
        control = parts.settings.listeners.control
        parts.addresses.control = await parts.control_server.start(
            Address(control.host, control.port)
        )
        parts.membership.update_self(
            peer=self._advertised(parts.addresses.peer),
            control=self._advertised(parts.addresses.control),
            call=self._advertised(parts.addresses.call),
        )
        parts.membership.on_change(self._member_changed)
        for run in (
            parts.membership.run,
            parts.poller.run,
            parts.outcomes.run,
            self._upkeep,
            self._become_ready,
            self._drain_when_wanted,
        ):
            self._tasks.append(asyncio.create_task(_run_logged(run)))
        log_event(
            logger,
            events.NODE_STARTED,
            node_id=parts.settings.node_id,
            incarnation=parts.incarnation,
            **{name: str(getattr(parts.addresses, name)) for name in parts.listeners},
            control=str(parts.addresses.control),
        )

    def _advertised(self, address: Address) -> Address:
        host = self.parts.settings.advertised_host or address.host
        return Address(host, address.port)

    def _member_changed(self, member) -> None:
        """Close the streams to a member that is dead or has restarted.

        That fails the calls that wait for it.
        """
        if self.parts.membership.is_live(member.node_id):
            return
        self.parts.balancer.remove(member.node_id)
        task = asyncio.ensure_future(self.parts.streams.drop(member.node_id))
        self._closing_streams.add(task)
        task.add_done_callback(self._closing_streams.discard)

    async def _become_ready(self) -> None:
        parts = self.parts
        await self._wait(parts.poller.is_ready, "")
        parts.state.is_ready = True
        if not parts.state.is_draining:
            parts.membership.update_self(state=MemberState.SERVING)
        log_event(logger, events.NODE_READY, sections=parts.sections.versions())

    async def _upkeep(self) -> None:
        parts = self.parts
        while True:
            parts.backend.expire()
            parts.ledger.sweep()
            await parts.streams.close_idle()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def _drain_when_wanted(self) -> None:
        """Drain each time that the drain planner requests it."""
        parts = self.parts
        while True:
            await parts.planner.run()
            await parts.state.drain_requested.wait()
            parts.state.drain_requested.clear()
            await self.drain()
            await self._wait(lambda: bool(parts.backend.service), "")
            self._serve_again()

    def _serve_again(self) -> None:
        """Accept requests for a backend server announced after the drain."""
        if not self.parts.state.is_stopping:
            self.parts.state.is_draining = False
            self.parts.membership.update_self(state=MemberState.SERVING)

    async def drain(self) -> None:
        """Take no new work, complete the calls in flight, stop the backend server."""
        async with self._drain_lock:
            await self._drain()

    async def _drain(self) -> None:
        parts = self.parts
        parts.state.is_draining = True
        parts.membership.update_self(state=MemberState.DRAINING)
        log_event(logger, events.DRAINING, in_flight=parts.target.in_flight)
        parts.target.refuse_waiting(Refusal(RefusalReason.LEAVING, Outcome.NOT_RUN))
        await self._wait(
            lambda: not parts.target.in_flight, "requests on the backend server"
        )
        address = parts.backend.address
        if address is not None:
            await parts.backend_client.stop(address)
            await self._wait_backend_gone(address)
        parts.state.hold = ""
        log_event(logger, events.DRAINED)

    async def _wait_backend_gone(self, address: Address) -> None:
        parts = self.parts
        parts.state.hold = "the backend server to stop"
        while parts.backend.address is not None:
            if not await parts.backend_client.is_listening(address):
                parts.backend.drop()
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait(self, done: Callable[[], bool], hold: str) -> None:
        """Wait until `done`; log each time that the drain time-out elapses."""
        state, settings = self.parts.state, self.parts.settings
        state.hold = hold
        elapsed_s, report_s = 0.0, settings.drain_timeout_ms / MS_PER_S
        while not done():
            await asyncio.sleep(POLL_INTERVAL_S)
            elapsed_s += POLL_INTERVAL_S
            if hold and elapsed_s >= report_s:
                log_event(logger, events.STOP_HELD, hold=hold)
                elapsed_s = 0.0
        state.hold = ""

    async def stop(self) -> None:
        """Shut down gracefully: drain, hand over the ledger, leave, close."""
        parts = self.parts
        log_event(logger, events.STOP_REQUESTED)
        parts.state.is_stopping = True
        await self.drain()
        await self._wait(lambda: not parts.gateway.in_flight, "calls of callers")
        await self._hand_over()
        await parts.membership.leave()
        await self.close()
        log_event(logger, events.NODE_STOPPED)

    async def _hand_over(self) -> None:
        parts = self.parts
        parts.state.hold = "the hand-over of the ledger"
        result = await self._hand_over_to_heir()
        await self._flush()
        if result is None:
            log_event(
                logger,
                events.HANDOVER_SKIPPED,
                entries=parts.ledger.stats()["entries"],
            )
            return
        issuers = [issuer for issuer, _ in parts.ledger.issuers()]
        await record_heirs(parts.table, issuers, result.heir.node_id)
        parts.membership.update_self(heir=result.heir.node_id, sealed=result.sealed)

    async def _hand_over_to_heir(self) -> HandoverResult | None:
        """Return the result, or None if there was no candidate for some time."""
        parts = self.parts
        membership = parts.membership
        choose = make_choose_heir(membership, parts.sections)
        task = asyncio.create_task(
            hand_over(
                parts.ledger,
                (parts.settings.node_id, parts.incarnation),
                choose_heir=choose,
                send=make_handover_sender(parts.control_client, membership),
                settings=parts.settings.ledger,
            )
        )
        no_candidate_s = 0.0
        while not task.done() and no_candidate_s < NO_HEIR_GRACE_S:
            await asyncio.wait({task}, timeout=POLL_INTERVAL_S)
            has_no_candidate = (
                choose(frozenset()) is None and not parts.ledger.stats()["running"]
            )
            no_candidate_s = (
                no_candidate_s + POLL_INTERVAL_S if has_no_candidate else 0.0
            )
        if task.done():
            return task.result()
        task.cancel()
        return None

    async def _flush(self) -> None:
        """Write the pending outcomes to the table, within a time limit."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self.parts.outcomes.flush()
        except TimeoutError:
            return

    async def close(self) -> None:
        """Close all listeners, connections and background tasks immediately."""
        parts = self.parts
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await parts.peer_server.close()
        for listener in parts.listeners.values():
            await listener.close()
        await parts.streams.close()
        await parts.backend_client.close()
        await parts.control_server.stop()
        await parts.control_client.close()
        await parts.table.close()
        await parts.objects.close()


async def _run_logged(run: Callable[[], Coroutine]) -> None:
    try:
        await run()
    except Exception:
        log_event(logger, events.TASK_FAILED, exc_info=True, task=run.__qualname__)
        raise


def _watch_signals() -> tuple[asyncio.Event, Awaitable[bool]]:
    """Return an event set by the first signal and an awaitable for the second."""
    first, second = asyncio.Event(), asyncio.Event()

    def received() -> None:
        if first.is_set():
            second.set()
        first.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, received)
    return first, second.wait()


async def run_node(settings: NodeSettings) -> int:
    """Run a node until a signal; return the exit status.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.

    Returns
    -------
    int
        0 after a graceful shutdown, 4 if a second signal aborted it.
    """
    first, second = _watch_signals()
    node = Node(compose(settings))
    try:
        await node.start()
    except BaseException:
        await node.close()
        raise
    await first.wait()
    stopping = asyncio.create_task(node.stop())
    forced = asyncio.ensure_future(second)
    await asyncio.wait({stopping, forced}, return_when=asyncio.FIRST_COMPLETED)
    if stopping.done():
        forced.cancel()
        stopping.result()
        return EXIT_OK
    log_event(logger, events.STOP_FORCED, hold=node.parts.state.hold)
    stopping.cancel()
    await node.close()
    return EXIT_FORCED
