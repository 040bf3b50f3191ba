"""Heirs of ledgers: their choice, and the rows that name them."""

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
    """Return the function that chooses the next heir.

    Notes
    -----
    Nodes of a data centre that their service leaves come last, since they hand over
    themselves soon. Then the same service goes first, and the same data centre.
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
    """Return the function that reads who took over a ledger, empty if unknown."""

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
    """Write who took over the ledgers of `issuers`; tell whether that succeeded.

    Notes
    -----
    The member record names the heir until the node starts again. After that only
    these rows lead to it, and without them its keys are answered as unknown.
    """
    value = msgspec.json.encode(_HeirRow(heir))
    try:
        await table.commit({}, {_row_key(issuer): value for issuer in issuers})
    except TableError:
        return False
    return True
