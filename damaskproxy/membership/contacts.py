"""Contact rows in the table, through which starting nodes find the mesh."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Protocol

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.common.hashing import rendezvous
from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.model import Address, Member, MemberState

__all__ = ["CONTACT_SLOTS", "ContactRow", "ContactTable", "Contacts"]

CONTACT_SLOTS = 3
CONTACT_PREFIX = "contacts/"
# Six data centres with three slots each, and room for the rows of former data centres.
SCAN_LIMIT = 200


class ContactTable(Protocol):
    """Operations of the table client that `Contacts` needs."""

    async def read(self, keys):
        """Return the rows that exist, by key."""

    async def scan(self, prefix, limit):
        """Return up to `limit` pairs of key and row."""

    async def commit(self, checks, puts):
        """Write rows if every checked row has its expected version."""


class ContactRow(msgspec.Struct, frozen=True):
    """Value of a contact row: control address of a node."""

    node_id: str
    host: str
    port: int


class Contacts:
    """Reads and refreshes contact rows; errors of the table are logged, not raised.

    Parameters
    ----------
    table : ContactTable or None
        Client of the table service.
    timeout_s : float
        Deadline of one operation on the table, which may take several requests.
    """

    def __init__(self, table: ContactTable | None, *, timeout_s: float):
        self._table = table
        self._timeout_s = timeout_s
        self._available = True

    async def read(self) -> list[Address]:
        """Return the addresses in all rows, or none if the table is unavailable."""
        rows = await self._call_table(self._scan)
        addresses = []
        for _key, row in rows or []:
            try:
                contact = msgspec.json.decode(row.value, type=ContactRow)
            except msgspec.MsgspecError:
                continue
            addresses.append(Address(contact.host, contact.port))
        return addresses

    async def refresh(self, own: Member, members: Iterable[Member]) -> bool:
        """Write the rows assigned to this node; return whether there are any."""
        if self._table is None:
            return False
        candidates = [
            member.node_id
            for member in members
            if member.data_centre == own.data_centre
            and member.state in (MemberState.STARTING, MemberState.SERVING)
        ]
        keys = [
            key
            for slot in range(CONTACT_SLOTS)
            if rendezvous(candidates, key := _key(own.data_centre, slot), 1)
            == [own.node_id]
        ]
        if keys:
            await self._call_table(lambda: self._write(keys, own))
        return bool(keys)

    async def _scan(self):
        return await self._table.scan(CONTACT_PREFIX, SCAN_LIMIT)

    async def _write(self, keys: list[str], own: Member) -> None:
        row = ContactRow(own.node_id, own.control.host, own.control.port)
        value = msgspec.json.encode(row)
        current = await self._table.read(keys)
        checks = {key: current[key].version if key in current else 0 for key in keys}
        # On a conflict another node has just written; the next refresh tries again.
        await self._table.commit(checks, dict.fromkeys(keys, value))

    async def _call_table(self, operation):
        if self._table is None:
            return None
        try:
            async with asyncio.timeout(self._timeout_s):
                result = await operation()
        except (DamaskError, TimeoutError) as error:
            if self._available:
                log_event(_log, events.CONTACTS_UNAVAILABLE, error=str(error))
            self._available = False
            return None
        self._available = True
        return result


def _key(data_centre: str, slot: int) -> str:
    return f"{CONTACT_PREFIX}{data_centre}/{slot}"


_log = logging.getLogger(__name__)
