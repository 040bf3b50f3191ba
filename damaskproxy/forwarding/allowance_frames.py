"""Frames about the allowances of organisations; `frames` encodes them."""

from typing import Annotated

import msgspec

from damaskproxy.common.decoding import Count, Name

__all__ = [
    "AllowanceAskFrame",
    "AllowanceFrame",
    "AllowanceGrantFrame",
    "AllowanceNoticeFrame",
    "AllowanceReportFrame",
]

TOKENS_MAX = 1_000_000
"""Largest number of tokens in a frame; far more requests than a node handles between
two reports."""
SPENT_MAX = 100_000
"""Largest number of organisations in a report, ten times the largest planned number."""
Tokens = Annotated[int, msgspec.Meta(ge=-TOKENS_MAX, le=TOKENS_MAX)]
TokenCount = Annotated[int, msgspec.Meta(ge=0, le=TOKENS_MAX)]
OwnerIds = Annotated[list[Name], msgspec.Meta(max_length=64)]


class AllowanceReportFrame(msgspec.Struct, array_like=True, tag=16):
    """What a node has spent of the allowances of organisations, for their owner.

    Parameters
    ----------
    sequence : int
        Number that the answer repeats.
    candidates : list of str
        Candidates for owners that the sender knows, the most preferred first; empty if
        neither they nor `lost` have changed since a report that was answered.
    lost : list of str
        Those of them that are out of touch with the sender.
    spent : list of tuple
        Organisations, and the requests of each that reached a server since the last
        report, less than 0 after refunds.
    is_carried : bool
        Whether they were spent under an owner that may not have learned of them.
    """

    sequence: Count
    candidates: OwnerIds
    lost: OwnerIds
    spent: Annotated[list[tuple[Name, Tokens]], msgspec.Meta(max_length=SPENT_MAX)]
    is_carried: bool = False


class AllowanceNoticeFrame(msgspec.Struct, array_like=True, tag=17):
    """Organisations for which their owner is to be asked.

    Parameters
    ----------
    sequence : int
        Number of the report that this answers; the list is complete then. Otherwise 0,
        and the list has only those that have been limited just now.
    limited : list of str
        Names of organisations.
    """

    sequence: Count
    limited: list[str]


class AllowanceAskFrame(msgspec.Struct, array_like=True, tag=18):
    """Request for tokens of one organisation.

    Parameters
    ----------
    sequence : int
        Number that the answer repeats.
    organisation : str
        Name of the organisation.
    wanted : int
        Requests that wait for a token.
    extra : int
        Tokens for requests that are expected soon.
    spent : int
        As in a report.
    """

    sequence: Count
    organisation: Name
    wanted: TokenCount
    extra: TokenCount
    spent: Tokens


class AllowanceGrantFrame(msgspec.Struct, array_like=True, tag=19):
    """Answer to a request for tokens.

    Parameters
    ----------
    sequence : int
        Number of the request.
    organisation : str
        Name of the organisation.
    granted : int
        Tokens that the receiver may spend.
    wait_ms : int
        Time for which the receiver refuses requests before it asks again.
    """

    sequence: Count
    organisation: Name
    granted: TokenCount
    wait_ms: TokenCount


AllowanceFrame = (
    AllowanceReportFrame
    | AllowanceNoticeFrame
    | AllowanceAskFrame
    | AllowanceGrantFrame
)
"""Frames about allowances, which earlier releases do not know."""
