"""Builders of calls, routes, members and reports for the tests of forwarding."""

import msgspec

from damaskproxy.directory import BackendRecord, MemberRecord, Route
from damaskproxy.forwarding import HeaderNames, StatusReport
from damaskproxy.forwarding.calls import Call

__all__ = ["NAMES", "make_call", "make_member", "make_report", "make_route"]

NAMES = HeaderNames(
    request_id=b"X-Id",
    deadline_ms=b"X-Deadline",
    caller=b"X-Caller",
    target_instance=b"X-Target",
    not_executed=b"X-Not-Run",
    stamp=b"X-Stamp",
    server_limit=b"X-Limit",
    server_leaving=b"X-Leaving",
    instance_id=b"X-Instance",
    organisation=b"X-Organisation",
)


def make_call(**changes):
    """Return a call of an idempotent route."""
    call = Call(
        service="orders",
        route="r",
        method=b"GET",
        target=b"/a/1?q=%41",
        headers=[(b"Host", b"h")],
        body=b"",
        request_id=b"id-1",
        caller="stores",
        priority=1,
        is_idempotent=True,
        deadline_ms=1000,
    )
    return msgspec.structs.replace(call, **changes)


def make_route(**changes):
    """Return an idempotent route."""
    fields = {
        "name": "r",
        "host": "h",
        "prefix": "/a/",
        "services": (("orders", 1.0),),
        "is_idempotent": True,
        "max_attempts": 2,
        "timeout_ms": 1000,
        "objective_ms": 500,
        "priority": 1,
    }
    return Route(**{**fields, **changes})


def make_member(node_id="n1", data_centre="a", slots=4, **changes):
    """Return a serving member."""
    backend = BackendRecord(f"i-{node_id}", "orders", slots)
    record = MemberRecord(node_id, 1, 1, data_centre, "127.0.0.1", 1, backend=backend)
    return msgspec.structs.replace(record, **changes)


def make_report(**changes):
    """Return a status report of a ready backend server."""
    fields = {
        "instance_id": "i-1",
        "service": "orders",
        "slots": 4,
        "is_draining": False,
        "born_ms": 1000,
        "sequence": 1,
    }
    return StatusReport(**{**fields, **changes})
