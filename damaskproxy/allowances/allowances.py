"""Connects the gate and the ledger of a node with those of other nodes."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from damaskproxy.allowances import events
from damaskproxy.allowances.accounts import OrganisationState
from damaskproxy.allowances.gate import Gate, Message
from damaskproxy.allowances.ledger import Ledger
from damaskproxy.allowances.limits import AllowanceBounds, Limit
from damaskproxy.allowances.owners import Owners
from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import Waiter
from damaskproxy.directory import Configuration, Directory, MemberRecord
from damaskproxy.events import log_event
from damaskproxy.forwarding.frames import (
    AllowanceAskFrame,
    AllowanceFrame,
    AllowanceGrantFrame,
    AllowanceNoticeFrame,
    AllowanceReportFrame,
)
from damaskproxy.forwarding.link import Link
from damaskproxy.forwarding.request_allowance import Decision
from damaskproxy.model import MemberState
from damaskproxy.organisations import Organisation

__all__ = ["Allowances"]

logger = logging.getLogger(__name__)

LATE_WAIT_S = 0.1
"""Retry-After of a request whose deadline is too close to wait for an owner."""
QUEUED_MAX = 1000
"""Frames that wait for a connection, which opens within 0.3 s."""


class Allowances:
    """Allowances at one node.

    Parameters
    ----------
    node_id : str
        Id of this node.
    directory : Directory
        Known members.
    open_link : callable
        Returns the connection to a member, None if it cannot be reached.
    bounds : AllowanceBounds
        Tolerance of the platform.
    now_s : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        node_id: str,
        directory: Directory,
        open_link: Callable[[MemberRecord], Awaitable[Link | None]],
        bounds: AllowanceBounds,
        now_s: Callable[[], float] = boot_s,
    ):
        self._node_id = node_id
        self._directory = directory
        self._open_link = open_link
        self._now_s = now_s
        self._owners = Owners(node_id)
        self._ledger = Ledger(self._owners, bounds)
        self._gate = Gate(self._owners, bounds, self._send)
        self._limits_applied = asyncio.Event()
        self._is_configured = self._is_closed = False
        self._members_changed = True
        self._running: set[str] = set()
        self._outgoing: dict[str, Link] = {}
        self._reporters: dict[str, Link] = {}
        self._queued: dict[str, list[Message]] = {}
        self._dropping: set[str] = set()
        self._opening: set[asyncio.Task] = set()

    def apply(self, configuration: Configuration) -> None:
        """Put the limits of a configuration in force."""
        limits = {
            each.name: Limit(each.rate_per_s, each.burst)
            for each in configuration.organisations or ()
            if each.is_limited
        }
        self._is_configured = True
        if limits:
            self._limits_applied.set()
        elif self._limits_applied.is_set():
            self._limits_applied.clear()
        else:
            return
        now_s = self._now_s()
        self._update_members()
        self._ledger.apply(limits, now_s)
        self._gate.apply(limits, now_s)

    def member_changed(self, record: MemberRecord) -> None:
        """Note whether the process of a member runs."""
        is_running = record.state is MemberState.SERVING
        if is_running != (record.node_id in self._running):
            self._running ^= {record.node_id}
            self._members_changed = True

    def check(self, organisation: Organisation) -> Decision | None:
        """Decide about a request; None if it has to ask."""
        wait_s = self._gate.check(organisation.name, self._now_s())
        return None if wait_s is None else self._decision(organisation, wait_s)

    async def ask(self, organisation: Organisation, timeout_s: float) -> Decision:
        """Decide about a request after asking the owner of the organisation.

        Parameters
        ----------
        organisation : Organisation
            Organisation of the request.
        timeout_s : float
            Time after which the request is refused.
        """
        waiter = Waiter()
        decision: Decision | None = None

        def deliver(wait_s: float) -> bool:
            nonlocal decision
            if waiter.is_done:
                return False
            decision = self._decision(organisation, wait_s)
            waiter.set_result(decision)
            return True

        self._gate.ask(organisation.name, deliver, self._now_s())
        timer = None
        if not waiter.is_done:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(max(timeout_s, 0.0), deliver, LATE_WAIT_S)
        try:
            return await waiter
        except asyncio.CancelledError:
            # The token that the owner grants is then given to another request.
            waiter.is_done = True
            if decision is not None and decision.term is not None:
                # Cancelled after the grant, before the request could go on.
                self.finish(organisation, decision.term, 0)
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def finish(self, organisation: Organisation, term: int, reached_count: int) -> None:
        """Record how many servers a request that was charged in a term has reached."""
        self._gate.finish(organisation.name, term, reached_count, self._now_s())

    async def wait_for_limits(self) -> None:
        """Wait until an organisation has a limit."""
        await self._limits_applied.wait()

    def flush(self) -> None:
        """Send what is due; to be called every 0.1 s while there are limits."""
        if not self._limits_applied.is_set():
            return
        now_s = self._now_s()
        if self._members_changed and self._update_members():
            self._gate.members_changed(now_s)
        self._gate.tick(now_s)
        self._ledger.tick(now_s)
        self._push_limited(now_s)

    def handle(self, link: Link, frame: AllowanceFrame) -> None:
        """Handle a frame of another node."""
        now_s = self._now_s()
        if isinstance(frame, AllowanceNoticeFrame):
            self._gate.handle_notice(link.peer_id, frame, now_s)
        elif isinstance(frame, AllowanceGrantFrame):
            self._gate.handle_grant(link.peer_id, frame, now_s)
        elif link.peer_id and self._is_configured:
            # Without a configuration, it would grant everything after a restart.
            self._reporters[link.peer_id] = link
            link.write(self._answer(link.peer_id, frame, now_s))
            self._push_limited(now_s)

    def lost(self, link: Link) -> None:
        """Record that a connection was lost."""
        if self._reporters.get(link.peer_id) is link:
            del self._reporters[link.peer_id]
        if self._outgoing.get(link.peer_id) is link:
            del self._outgoing[link.peer_id]
            self._gate.lost(link.peer_id, self._now_s())

    def close(self) -> None:
        """Send nothing from now on, since the process ends."""
        self._is_closed = True
        for task in self._opening:
            task.cancel()

    def describe(self) -> list[OrganisationState]:
        """Return limit, spent tokens, state and owner of each organisation."""
        return self._gate.describe()

    def _decision(self, organisation: Organisation, wait_s: float) -> Decision:
        if wait_s > 0:
            return Decision(wait_s)
        return Decision(wait_s, self._gate.term(organisation.name))

    def _update_members(self) -> bool:
        self._members_changed = False
        has_changed = self._owners.update(self._running)
        if has_changed:
            self._ledger.members_changed()
            self._dropping.intersection_update(self._owners.members)
        return has_changed

    def _answer(
        self, node_id: str, frame: Message, now_s: float
    ) -> AllowanceNoticeFrame | AllowanceGrantFrame:
        if isinstance(frame, AllowanceReportFrame):
            return self._ledger.handle_report(node_id, frame, now_s)
        return self._ledger.handle_ask(node_id, frame, now_s)

    def _push_limited(self, now_s: float) -> None:
        """Tell all nodes which organisations have been limited just now."""
        names = self._ledger.take_newly_limited()
        if not names:
            return
        notice = AllowanceNoticeFrame(0, names)
        self._gate.handle_notice(self._node_id, notice, now_s)
        for node_id in self._ledger.fresh_nodes(now_s):
            link = self._reporters.get(node_id)
            if link is not None:
                link.write(notice)

    def _send(self, node_id: str, message: Message) -> None:
        if self._is_closed:
            return
        if node_id == self._node_id:
            self._send_to_itself(message)
            return
        link = self._outgoing.get(node_id)
        if link is not None and link.is_open and link.write(message):
            return
        # Kept while the connection opens, so that their order stays.
        queued = self._queued.get(node_id)
        if queued is not None:
            if len(queued) < QUEUED_MAX:
                queued.append(message)
            elif node_id not in self._dropping:
                self._dropping.add(node_id)
                log_event(
                    logger, events.MESSAGES_DROPPED, owner=node_id, queued=QUEUED_MAX
                )
            return
        self._queued[node_id] = [message]
        task = asyncio.create_task(self._open(node_id))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _send_to_itself(self, message: Message) -> None:
        now_s = self._now_s()
        answer = self._answer(self._node_id, message, now_s)
        if isinstance(message, AllowanceAskFrame):
            self._gate.handle_grant(self._node_id, answer, now_s)
        else:
            self._gate.handle_notice(self._node_id, answer, now_s)
        self._push_limited(now_s)

    async def _open(self, node_id: str) -> None:
        """Open a connection and send what waits for it."""
        link = None
        try:
            member = self._directory.get(node_id)
            if member is not None and not member.is_removed:
                link = await self._open_link(member)
        finally:
            queued = self._queued.pop(node_id)
        is_open = link is not None and link.is_open
        if is_open:
            self._outgoing[node_id] = link
            self._dropping.discard(node_id)
            is_open = all(link.write(message) for message in queued)
        if not is_open:
            self._outgoing.pop(node_id, None)
            self._gate.lost(node_id, self._now_s())
