"""Resolution of edits whose outcome is unknown."""

from dataclasses import dataclass

from damaskproxy.move.edit import EDIT_ID, Accepted
from damaskproxy.move.errors import DocumentUnavailable, MoveError
from damaskproxy.move.reading import read_edit
from damaskproxy.move.rows import EditRow, edit_key, encode_row
from damaskproxy.store import Table, TableRejected, TableUnavailable, TableUnknown

__all__ = ["Abandoned", "resolve_edit"]

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The edit was not accepted and cannot be accepted later; falsy."""

    edit_id: str

    def __bool__(self) -> bool:
        return False


async def resolve_edit(table: Table, edit_id: str) -> Accepted | Abandoned:
    """Find out whether an edit was accepted, and prevent it if it was not.

    Parameters
    ----------
    table : Table
        Table service.
    edit_id : str
        Identity of the edit.

    Raises
    ------
    DocumentUnavailable
        If the table is unavailable; the outcome remains unknown.
    MoveError
        If `edit_id` is not a valid edit id, or the table rejects the request.

    Notes
    -----
    A commit may still be in transit when the row of its edit is read as absent. The row
    that this function then inserts makes the check of such a commit fail.
    """
    if not EDIT_ID.fullmatch(edit_id):
        raise MoveError(f"{edit_id!r} is not the id of an edit")
    for _ in range(MAX_ATTEMPTS):
        recorded = await read_edit(table, edit_id)
        if recorded is not None:
            return recorded_result(edit_id, recorded)
        abandoned = {edit_key(edit_id): encode_row(EditRow("", 0))}
        try:
            if await table.commit({edit_key(edit_id): 0}, abandoned):
                return Abandoned(edit_id)
        except TableUnavailable as error:
            raise DocumentUnavailable(f"the table is unavailable: {error}") from error
        except TableUnknown:
            continue
        except TableRejected as error:
            raise MoveError(f"the table rejected the request: {error}") from error
    raise DocumentUnavailable("the table did not confirm the request")


def recorded_result(edit_id: str, recorded: EditRow) -> Accepted | Abandoned:
    """Return the result that is recorded in the row of an edit."""
    if recorded.version == 0:
        return Abandoned(edit_id)
    return Accepted(recorded.section, recorded.version, edit_id)
