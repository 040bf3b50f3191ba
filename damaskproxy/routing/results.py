"""Conversion between refusals and the frames that transport them."""

from damaskproxy.common import Refusal
from damaskproxy.wire import Call, Load, Refused

__all__ = ["refused_frame", "to_refusal"]


def refused_frame(
    call: Call, refusal: Refusal, *, tokens_left: int = 0, load: Load | None = None
) -> Refused:
    """Return the frame that refuses `call`."""
    return Refused(
        call.attempt_id,
        refusal.reason,
        refusal.outcome,
        refusal.retry_after_ms,
        tokens_left,
        refusal.detail,
        load,
    )


def to_refusal(frame: Refused) -> Refusal:
    """Return the refusal in `frame`."""
    return Refusal(
        frame.reason,
        frame.outcome,
        frame.retry_after_ms,
        frame.detail,
        frame.tokens_left,
    )
