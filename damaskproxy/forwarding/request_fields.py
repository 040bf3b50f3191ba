"""Fields of log events that tell how a request shares servers with others."""

from damaskproxy.admission.tickets import admission_position
from damaskproxy.forwarding.calls import Call, to_priority
from damaskproxy.forwarding.parent_requests import root_ordinal_of

__all__ = ["sharing_fields"]


def sharing_fields(call: Call, level: int | None = None) -> dict[str, object]:
    """Return the fields of a call, none without organisations in the configuration.

    Parameters
    ----------
    call : Call
        Call that was refused.
    level : int, optional
        Level that the origin knows of the servers. The event of a target has the level
        in its load report.

    Notes
    -----
    The position is the one that is comparable with these levels, which are those that
    the organisation meets by the hash of its request ids; a call of a begun request is
    refused from `BEGUN_MARGIN` above the level.
    """
    if not call.is_shared:
        return {}
    ordinal = call.ordinal if call.has_begun else None
    if ordinal is None:
        ordinal = root_ordinal_of(call.request_id)
    fields: dict[str, object] = {
        "has_begun": call.has_begun,
        "position": admission_position(to_priority(call.priority), ordinal),
    }
    if call.organisation:
        fields["organisation"] = call.organisation
    if level is not None:
        fields["level"] = level
    return fields
