"""Links: the connections of a node to other nodes."""

import asyncio
import heapq
import logging
import socket
from collections import Counter
from collections.abc import Callable

from damaskproxy.common.clock import boot_s
from damaskproxy.common.memory import LargestHolders
from damaskproxy.common.turns import Turns
from damaskproxy.directory import MemberRecord
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.calls import Call, NotRun, NotRunReason, Result
from damaskproxy.forwarding.frames import HelloFrame
from damaskproxy.forwarding.large_frames import LinkMemory
from damaskproxy.forwarding.link import Link, LinkHandlers
from damaskproxy.http1.limits import BACKLOG_DEFAULT
from damaskproxy.http1.sockets import accept_queued

__all__ = ["Links"]

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
"""Several round trips between regions; a slower node counts as unreachable."""
IDLE_CLOSE_S = 120.0
LEAVE_POLL_S = 0.01
LIVENESS_CHECK_S = 0.1
"""A third of the time after which a peer counts as unresponsive. Checks are no more
frequent, since each of them wakes the process up."""


HELLO_CHECKS_MAX = 6
"""Checks after which an accepted connection without a hello frame is closed. They are
0.5 s apart, so that a peer has 3 s like a client for the head of a request. Checks are
counted, since frames may wait in the kernel while this node is suspended."""
ACCEPTED_MAX = 1 << 16
"""Default limit on accepted connections; the number of ports of a machine."""
SHED_SHARE = 1 / 16
"""Share of the accepted connections that are closed at once when there are too many."""


class Links:
    """Connections of this node to other nodes.

    Parameters
    ----------
    hello : callable
        Returns the first frame of this node on a connection.
    handlers : LinkHandlers
        Callbacks of this node.
    volatile : frozenset of bytes
        Lower-case names of headers whose values differ in each message.
    on_open : callable
        Called with the id of a node after a connection to it was opened.
    memory : LinkMemory, optional
        Accounts that the bytes of all connections are counted in.
    accepted_max : callable
        Returns how many connections other nodes may open. Beyond it, those that have
        not been used for the longest time are closed.
    backlog : int
        Connections that the kernel keeps until they are accepted.

    Attributes
    ----------
    closures : Counter
        Connections that were closed because of their peers, by kind.
    """

    def __init__(
        self,
        hello: Callable[[], HelloFrame],
        handlers: LinkHandlers,
        volatile: frozenset[bytes],
        on_open: Callable[[str], None] = lambda node_id: None,
        memory: LinkMemory | None = None,
        accepted_max: Callable[[], int] = lambda: ACCEPTED_MAX,
        backlog: int = BACKLOG_DEFAULT,
    ):
        self._memory = memory or LinkMemory()
        self._accepted_max = accepted_max
        self._backlog = backlog
        self._partial = LargestHolders(self._memory.partial)
        self._accepted: set[Link] = set()
        self._turns = Turns()
        self.closures: Counter[str] = Counter()
        self._on_open = on_open
        self._hello = hello
        self._handlers = handlers
        self._volatile = volatile
        self._outgoing: dict[str, Link] = {}
        self._replaced: set[Link] = set()
        self._links: set[Link] = set()
        self._opening: dict[str, asyncio.Task] = {}
        self._unreachable: set[str] = set()
        self._server: asyncio.Server | None = None
        self._is_leaving = False
        self._liveness_timer: asyncio.TimerHandle | None = None

    @property
    def running_count(self) -> int:
        """Calls of other nodes that run here."""
        return sum(link.running_count for link in self._links)

    @property
    def unfinished_count(self) -> int:
        """Connections with calls that run here, or results that were not received."""
        return sum(link.is_unfinished for link in self._links)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of frames that the kernel has not taken yet."""
        return sum(link.unsent_bytes for link in self._links)

    @property
    def port(self) -> int:
        """Port on which connections of other nodes are accepted."""
        return self._server.sockets[0].getsockname()[1]

    async def serve(self, sock: socket.socket) -> None:
        """Accept connections of other nodes on a socket that listens."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_accepted_link, sock=sock, backlog=self._backlog
        )

    async def run(self, member: MemberRecord, call: Call) -> Result:
        """Run `call` at `member`."""
        link = await self.open(member)
        if link is None:
            return NotRun(NotRunReason.PEER_UNREACHABLE)
        if self._liveness_timer is None:
            self._schedule_check()
        return await link.run(call)

    async def open(self, member: MemberRecord) -> Link | None:
        """Return the connection to `member`, None if it cannot be reached.

        Notes
        -----
        If the node could not be reached before, or does not respond on its open
        connection, this returns None at once: the call runs elsewhere, and a connection
        for later calls is opened in the background.
        """
        if self._is_leaving:
            return None
        existing = self._outgoing.get(member.node_id)
        if existing is not None and existing.is_open:
            if existing.is_to_earlier_incarnation(member.incarnation):
                existing.close()
            elif not existing.is_unresponsive:
                return existing
        is_suspect = member.node_id in self._unreachable or (
            existing is not None and existing.is_unresponsive
        )
        task = self._opening.get(member.node_id)
        if task is None:
            task = asyncio.create_task(self._open(member, must_send_hello=is_suspect))
            self._opening[member.node_id] = task
            task.add_done_callback(lambda _: self._opening.pop(member.node_id, None))
        if is_suspect:
            return None
        return await asyncio.shield(task)

    def close_outdated(self, member: MemberRecord) -> None:
        """Close the connection to an earlier incarnation of `member`.

        Notes
        -----
        A record may arrive long after the node has restarted, and the connection may
        already be to the new process. The incarnation in the hello frame of the peer
        decides.
        """
        self._unreachable.discard(member.node_id)
        existing = self._outgoing.get(member.node_id)
        if existing is not None and existing.is_to_earlier_incarnation(
            member.incarnation
        ):
            existing.close()

    def open_links(self) -> list[Link]:
        """Return the open connections."""
        return [link for link in self._links if link.is_open]

    def close_idle(self) -> None:
        """Close connections without calls for `IDLE_CLOSE_S`, or without a hello."""
        self._close_without_hello()
        idle_before_s = boot_s() - IDLE_CLOSE_S
        self._replaced = {link for link in self._replaced if link.is_open}
        for link in (*self._outgoing.values(), *self._replaced):
            is_busy = link.running_count or link.has_calls_in_flight
            if link.last_used_s < idle_before_s and not is_busy:
                link.close()

    async def leave(self, timeout_s: float) -> None:
        """Tell the peers which of their calls have not run.

        To be called once no call can start here any more. Returns when the peers have
        closed their connections, or after `timeout_s`; a call that a peer sent just
        before it learned of the stop would otherwise end as unknown.
        """
        self._is_leaving = True
        end_s = boot_s() + timeout_s
        if self._server is not None and self._server.is_serving():
            accepting = accept_queued(self._server, self._make_accepted_link)
            self._server.close()
            if accepting:
                await asyncio.wait(accepting, timeout=timeout_s)
        while boot_s() < end_s:
            links = [link for link in self.open_links() if link.awaits_goodbye]
            if not links:
                return
            for link in links:
                link.say_goodbye()
            await asyncio.sleep(LEAVE_POLL_S)

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        if self._liveness_timer is not None:
            self._liveness_timer.cancel()
        for link in self.open_links():
            link.close()

    def _make_link(self, *, is_accepted: bool = False) -> Link:
        return Link(
            self._handlers,
            self._volatile,
            self._hello(),
            on_open=self._opened,
            on_lost=self._lost,
            memory=self._memory,
            partial=self._partial,
            on_unsent_excess=self._close_most_unread,
            turns=self._turns,
            closures=self.closures,
            is_accepted=is_accepted,
        )

    def _make_accepted_link(self) -> Link:
        return self._make_link(is_accepted=True)

    def _opened(self, link: Link) -> None:
        self._links.add(link)
        if link.is_accepted:
            self._accepted.add(link)
            accepted_max = self._accepted_max()
            if len(self._accepted) > accepted_max:
                self._shed(link, max(1, int(SHED_SHARE * accepted_max)))

    def _lost(self, link: Link) -> None:
        self._links.discard(link)
        self._accepted.discard(link)

    def _shed(self, newcomer: Link, count: int) -> None:
        """Close accepted connections that were not used for the longest time."""
        idle = [k for k in self._accepted if k is not newcomer and not k.running_count]
        oldest = heapq.nsmallest(count, idle, key=lambda k: k.last_used_s)
        for link in oldest or [newcomer]:
            self._accepted.discard(link)
            link.shed()

    def _close_without_hello(self) -> None:
        for link in list(self._accepted):
            if link.hello_received.is_set():
                continue
            link.checks_without_hello += 1
            if link.checks_without_hello > HELLO_CHECKS_MAX:
                link.abort_without_hello()

    def _close_most_unread(self, link: Link) -> None:
        """Close the connection whose peer has left most unread."""
        largest = max(self._links, key=lambda k: k.held_unsent_bytes, default=link)
        largest.abort_unread()
        largest.resume_writing()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._liveness_timer = loop.call_later(LIVENESS_CHECK_S, self._check_liveness)

    def _check_liveness(self) -> None:
        """Check the peers with calls in flight, and schedule the next check if any."""
        self._liveness_timer = None
        now_s = boot_s()
        in_use = [link for link in self._outgoing.values() if link.has_calls_in_flight]
        for link in in_use:
            link.check_liveness(now_s)
        if in_use:
            self._schedule_check()

    async def _open(
        self, member: MemberRecord, *, must_send_hello: bool
    ) -> Link | None:
        """Open a connection.

        Parameters
        ----------
        member : MemberRecord
            Member whose node to connect to.
        must_send_hello : bool
            Whether the connection counts only after the hello frame of the peer has
            arrived. The kernel accepts connections also for a suspended process.
        """
        loop = asyncio.get_running_loop()
        link: Link | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    self._make_link, member.host, member.port
                )
                if must_send_hello:
                    await link.hello_received.wait()
        # An address that cannot be used raises UnicodeError, OverflowError or others.
        except Exception as error:
            if link is not None:
                link.close()
            log_event(
                logger,
                events.LINK_REFUSED,
                peer=member.node_id,
                reason=str(error) or "connection timed out",
            )
            self._unreachable.add(member.node_id)
            return None
        self._unreachable.discard(member.node_id)
        link.peer_id = member.node_id
        replaced = self._outgoing.get(member.node_id)
        if replaced is not None and replaced.is_open:
            # It may still have calls that cannot be repeated.
            self._replaced.add(replaced)
        self._outgoing[member.node_id] = link
        self._on_open(member.node_id)
        log_event(logger, events.LINK_OPENED, peer=member.node_id)
        return link
