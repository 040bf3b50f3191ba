"""Heirs of ledgers: their selection, and the table rows that record them."""

from collections.abc import Awaitable, Callable, Iterable

import msgspec

from damaskproxy.ledger import Heir
from damaskproxy.membership import Membership
from damaskproxy.model import Member, MemberState, Placement
from damaskproxy.move import SectionStore
from damaskproxy.store import Table, TableError

__all__ = ["make_choose_heir", "make_find_heir", "record_heirs"]

Issuer = tuple[str, int]


class _HeirRow(msgspec.Struct, frozen=True):
    heir: str


def _row_key(issuer: Issuer) -> str:
    return f"ledger/{issuer[0]}/{issuer[1]}"


def make_choose_heir(
    membership: Membership, sections: SectionStore
) -> Callable[[frozenset[Heir]], Heir | None]:
    """Return the function that selects the next candidate as heir.

    Notes
    -----
    Nodes in a data centre that their service leaves are ranked last, since they will
    hand over their own ledgers soon. Otherwise nodes of the same service come first,
    then nodes in the same data centre.
    """
    own = membership.self_member()

    def rank(member: Member) -> tuple[bool, bool, bool, str]:
        placement = sections.placement(member.service, member.data_centre)
        return (
            placement == Placement.LEAVING,
            member.service != own.service,
            member.data_centre != own.data_centre,
            member.node_id,
        )

    def choose(tried: frozenset[Heir]) -> Heir | None:
        candidates = [
            member
            for member in membership.members()
            if member.node_id != own.node_id
            and member.state is MemberState.SERVING
            and Heir(member.node_id, member.incarnation) not in tried
        ]
        if not candidates:
            return None
        member = min(candidates, key=rank)
        return Heir(member.node_id, member.incarnation)

    return choose


def make_find_heir(table: Table) -> Callable[[str, int], Awaitable[str]]:
    """Return the function that reads the heir of a ledger, empty if unknown."""

    async def find(node_id: str, incarnation: int) -> str:
        key = _row_key((node_id, incarnation))
        try:
            rows = await table.read([key])
        except TableError:
            return ""
        if key not in rows:
            return ""
        try:
            return msgspec.json.decode(rows[key].value, type=_HeirRow).heir
        except msgspec.MsgspecError:
            return ""

    return find


async def record_heirs(table: Table, issuers: Iterable[Issuer], heir: str) -> bool:
    """Record the heir of the ledgers of `issuers`; return whether the write succeeded.

    Notes
    -----
    The member record contains the heir until the node is restarted. From then on the
    heir can be found only through these rows; without them, requests with keys of the
    old ledger have the outcome unknown.
    """
    value = msgspec.json.encode(_HeirRow(heir))
    try:
        await table.commit({}, {_row_key(issuer): value for issuer in issuers})
    except TableError:
        return False
    return True
