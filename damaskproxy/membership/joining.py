"""How a node joins the mesh, and how separate meshes and partitions merge."""

import logging
import random
from collections.abc import Awaitable, Callable

from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.contacts import Contacts
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.exchange import Exchanger
from damaskproxy.membership.own import OwnRecord
from damaskproxy.membership.records import MemberList
from damaskproxy.membership.settings import MembershipSettings
from damaskproxy.model import Address

__all__ = ["Joiner"]

MS_PER_S = 1_000
JITTER_SHARE = 0.1


class Joiner:
    """Sends an ``Exchange`` to seeds, to nodes in contact rows and to dead members.

    Parameters
    ----------
    settings : MembershipSettings
        Seeds and intervals.
    own : OwnRecord
        Record of this node.
    members : MemberList
        Member list.
    exchanger : Exchanger
        Sends the messages.
    contacts : Contacts
        Contact rows in the table.
    is_isolated : callable
        Returns whether no other member replies.
    sleep : callable
        Coroutine function that sleeps for a number of seconds.
    rng : random.Random
        Jitter and order of attempts.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        *,
        own: OwnRecord,
        members: MemberList,
        exchanger: Exchanger,
        contacts: Contacts,
        is_isolated: Callable[[], bool],
        sleep: Callable[[float], Awaitable[None]],
        rng: random.Random,
    ):
        self._join_retry_s = settings.join_retry_ms / MS_PER_S
        self._contact_interval_s = settings.contact_interval_ms / MS_PER_S
        self._dead_retry_s = settings.dead_retry_ms / MS_PER_S
        pairs = (seed.rsplit(":", 1) for seed in settings.seeds)
        self._seeds = [Address(host, int(port)) for host, port in pairs]
        self._own = own
        self._members = members
        self._exchanger = exchanger
        self._contacts = contacts
        self._is_isolated = is_isolated
        self._sleep = sleep
        self._rng = rng

    async def join_loop(self) -> None:
        """Join while no other live member is known; then maintain the contact rows."""
        while True:
            if len(self._members.ring) <= 1:
                await self._join()
                pause_s = self._join_retry_s
            else:
                await self._maintain_contacts()
                pause_s = self._contact_interval_s
            await self._sleep(pause_s * (0.5 + self._rng.random()))

    async def reconnect_loop(self) -> None:
        """Contact a random dead member periodically, which heals network partitions."""
        while True:
            jitter = 1 + JITTER_SHARE * (2 * self._rng.random() - 1)
            await self._sleep(self._dead_retry_s * jitter)
            dead = self._members.dead_ids()
            if dead:
                node_id = self._rng.choice(dead)
                await self._exchange_with(
                    self._members.get(node_id).member.control, node_id
                )

    async def _exchange_with(self, address: Address, node_id: str = "") -> bool:
        """Exchange with a node; return whether a node other than this one replied."""
        try:
            responder = await self._exchanger.exchange(address, node_id, eager=True)
        except ControlError:
            return False
        return responder != self._own.member.node_id

    async def _join(self) -> None:
        if await self._join_through(self._seeds):
            return
        await self._sleep(self._rng.random() * self._join_retry_s)
        if not await self._join_through(await self._contacts.read()):
            await self._contacts.refresh(self._own.member, self._members.live())

    async def _join_through(self, addresses: list[Address]) -> bool:
        """Exchange with the nodes in random order until one replies."""
        own = self._own.member.control
        others = [address for address in addresses if address != own]
        self._rng.shuffle(others)
        for address in others:
            if await self._exchange_with(address):
                log_event(_log, events.JOINED, members=len(self._members))
                return True
        return False

    async def _maintain_contacts(self) -> None:
        """Refresh the contact rows and exchange with a node that is not in the list.

        Nodes that start at the same time may form separate meshes. These merge because
        every node contacts seeds that it does not know, and the nodes that write the
        contact rows do the same with the nodes in the rows.
        """
        writes_rows = await self._contacts.refresh(
            self._own.member, self._members.live()
        )
        addresses = list(self._seeds)
        if writes_rows or self._is_isolated():
            addresses += await self._contacts.read()
        known = {member.control for member in self._members.live()}
        unknown = [address for address in addresses if address not in known]
        if unknown:
            await self._join_through(unknown)


_log = logging.getLogger(__name__)
