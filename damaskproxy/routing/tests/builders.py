"""Calls and members for tests."""

from damaskproxy.common import Priority
from damaskproxy.model import Address, Member, MemberState
from damaskproxy.wire import Call

__all__ = ["make_call", "make_member"]


def make_member(node_id, **changes):
    """Return a serving member of the service ``orders``."""
    address = Address("127.0.0.1", 1)
    fields = {
        "node_id": node_id,
        "incarnation": 1,
        "version": 1,
        "region": "r",
        "data_centre": "d",
        "peer": address,
        "control": address,
        "call": address,
        "state": MemberState.SERVING,
        "service": "orders",
        "slots": 4,
    }
    return Member(**(fields | changes))


def make_call(**changes):
    """Return a call of the service ``orders``."""
    fields = {
        "attempt_id": "a" * 32,
        "request_id": "b" * 32,
        "service": "orders",
        "route": "place",
        "method": "POST",
        "path": "/place",
        "headers": [],
        "body": b"order",
        "priority": Priority.CRITICAL,
        "ordinal": 0,
        "deadline_ms": 1000,
        "start_by_ms": 1000,
        "retry_tokens": 2,
    }
    return Call(**(fields | changes))
