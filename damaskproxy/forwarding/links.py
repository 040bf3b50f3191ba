"""Connections of a node to other nodes."""

import asyncio
import logging
from collections.abc import Callable

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import MemberRecord
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.calls import Call, NotRun, NotRunReason, Result
from damaskproxy.forwarding.frames import HelloFrame
from damaskproxy.forwarding.link import Link, LinkHandlers

__all__ = ["Links"]

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
"""Several round trips between regions; a member that needs longer is left out."""
IDLE_CLOSE_S = 120.0


class Links:
    """Connections of this node to other nodes.

    Parameters
    ----------
    hello : callable
        Returns the first frame of this node on a connection.
    handlers : LinkHandlers
        Of this node.
    volatile : frozenset of bytes
        Lower-case names of headers whose values do not repeat.
    """

    def __init__(
        self,
        hello: Callable[[], HelloFrame],
        handlers: LinkHandlers,
        volatile: frozenset[bytes],
    ):
        self._hello = hello
        self._handlers = handlers
        self._volatile = volatile
        self._outgoing: dict[str, Link] = {}
        self._incoming: set[Link] = set()
        self._opening: dict[str, asyncio.Task] = {}
        self._server: asyncio.Server | None = None

    @property
    def running_count(self) -> int:
        """Calls of other nodes that run here."""
        links = [*self._incoming, *self._outgoing.values()]
        return sum(link.running_count for link in links)

    @property
    def port(self) -> int:
        """Port of the open listener."""
        return self._server.sockets[0].getsockname()[1]

    async def listen(self, host: str, port: int) -> None:
        """Accept connections of other nodes."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(
                self._handlers,
                self._volatile,
                self._hello(),
                on_open=self._incoming.add,
                on_lost=self._incoming.discard,
            ),
            host,
            port,
            backlog=1024,
        )

    async def run(self, member: MemberRecord, call: Call) -> Result:
        """Run `call` at `member`."""
        link = await self.open(member)
        if link is None:
            return NotRun(NotRunReason.PEER_UNREACHABLE)
        return await link.run(call)

    async def open(self, member: MemberRecord) -> Link | None:
        """Return the connection to `member`, None if it cannot be reached."""
        known = self._outgoing.get(member.node_id)
        if known is not None and known.is_open:
            if not known.is_to_earlier(member.incarnation):
                return known
            known.close()
        task = self._opening.get(member.node_id)
        if task is None:
            task = asyncio.create_task(self._open(member))
            self._opening[member.node_id] = task
            task.add_done_callback(lambda _: self._opening.pop(member.node_id, None))
        return await asyncio.shield(task)

    def drop(self, member: MemberRecord) -> None:
        """Close the connection to an earlier incarnation of `member`.

        Notes
        -----
        A record may arrive long after the node has started, so only what the peer said
        of itself tells that a connection is an old one.
        """
        known = self._outgoing.get(member.node_id)
        if known is not None and known.is_to_earlier(member.incarnation):
            known.close()

    def all_open(self) -> list[Link]:
        """Return the open connections."""
        links = (*self._outgoing.values(), *self._incoming)
        return [link for link in links if link.is_open]

    def close_idle(self) -> None:
        """Close connections that carry no calls."""
        oldest_s = boot_s() - IDLE_CLOSE_S
        for link in self._outgoing.values():
            if link.used_s < oldest_s and not link.running_count:
                link.close()

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for link in self.all_open():
            link.close()

    async def _open(self, member: MemberRecord) -> Link | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: Link(self._handlers, self._volatile, self._hello()),
                    member.host,
                    member.port,
                )
        except (OSError, TimeoutError) as error:
            log_event(
                logger,
                events.LINK_REFUSED,
                peer=member.node_id,
                reason=str(error) or "no answer in time",
            )
            return None
        link.peer_id = member.node_id
        self._outgoing[member.node_id] = link
        log_event(logger, events.LINK_OPENED, peer=member.node_id)
        return link
