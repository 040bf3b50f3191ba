"""How a node meets the first other member, and members that live apart."""

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
    """Greets seeds, contacts from the table and dead members.

    Parameters
    ----------
    settings : MembershipSettings
        Seeds and intervals.
    own : OwnRecord
        Record of this node.
    members : MemberList
        Member list.
    exchanger : Exchanger
        Sends the greetings.
    contacts : Contacts
        Contact rows in the table.
    is_isolated : callable
        Tells whether no other member replies.
    sleep : callable
        Coroutine function that sleeps for some seconds.
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
        """Join while this node is alone; afterwards keep the contact rows fresh."""
        while True:
            if len(self._members.ring) <= 1:
                await self._join()
                pause_s = self._join_retry_s
            else:
                await self._keep_contact()
                pause_s = self._contact_interval_s
            await self._sleep(pause_s * (0.5 + self._rng.random()))

    async def dead_loop(self) -> None:
        """Try one dead member now and then, so that parted regions meet again."""
        while True:
            jitter = 1 + JITTER_SHARE * (2 * self._rng.random() - 1)
            await self._sleep(self._dead_retry_s * jitter)
            dead = self._members.dead_ids()
            if dead:
                node_id = self._rng.choice(dead)
                await self._greet(self._members.get(node_id).member.control, node_id)

    async def _greet(self, address: Address, node_id: str = "") -> bool:
        """Exchange with a node; tell whether another node than this one replied."""
        try:
            replier = await self._exchanger.exchange(address, node_id, eager=True)
        except ControlError:
            return False
        return replier != self._own.member.node_id

    async def _join(self) -> None:
        if await self._try(self._seeds):
            return
        await self._sleep(self._rng.random() * self._join_retry_s)
        if not await self._try(await self._contacts.read()):
            await self._contacts.refresh(self._own.member, self._members.live())

    async def _try(self, addresses: list[Address]) -> bool:
        """Greet nodes in random order until one replies."""
        own = self._own.member.control
        others = [address for address in addresses if address != own]
        self._rng.shuffle(others)
        for address in others:
            if await self._greet(address):
                log_event(_log, events.JOINED, members=len(self._members))
                return True
        return False

    async def _keep_contact(self) -> None:
        """Refresh the contact rows and greet nodes that are in no member list here.

        Nodes that start together may form separate meshes; they meet through the rows
        and the seeds, which the nodes that write the rows read as well.
        """
        chosen = await self._contacts.refresh(self._own.member, self._members.live())
        addresses = list(self._seeds)
        if chosen or self._is_isolated():
            addresses += await self._contacts.read()
        known = {member.control for member in self._members.live()}
        strangers = [address for address in addresses if address not in known]
        if strangers:
            await self._try(strangers)


_log = logging.getLogger(__name__)
