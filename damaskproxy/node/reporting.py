"""Status object and gauges of a node."""

from collections import Counter
from collections.abc import Callable

from damaskproxy.model import Member
from damaskproxy.node.parts import Parts
from damaskproxy.wire import Load

__all__ = ["make_refresh", "make_status"]


def _load(parts: Parts) -> Load:
    admission = parts.target.admission
    return admission.load() if admission else Load()


def make_refresh(parts: Parts) -> Callable[[], None]:
    """Return the function that updates the gauges."""

    def refresh() -> None:
        load = _load(parts)
        parts.metrics.in_flight.set(load.in_flight)
        parts.metrics.queued.set(load.queued)
        parts.metrics.limit.set(load.limit)
        counts = Counter(member.state for member in parts.membership.members())
        for state in type(parts.membership.self_member().state):
            parts.metrics.members.labels(state).set(counts.get(state, 0))

    return refresh


def make_status(parts: Parts) -> Callable[[], dict]:
    """Return the function that builds the status object."""

    def status() -> dict:
        own = parts.membership.self_member()
        load = _load(parts)
        return {
            "node_id": own.node_id,
            "incarnation": own.incarnation,
            "region": own.region,
            "data_centre": own.data_centre,
            "state": own.state,
            "ready": not parts.state.not_ready_reason(),
            "hold": parts.state.hold or parts.planner.hold() or parts.poller.hold(),
            "isolated": parts.membership.is_isolated(),
            "service": own.service,
            "slots": own.slots,
            "backend": str(parts.backend.address or ""),
            "addresses": {
                name: str(getattr(parts.addresses, name))
                for name in ("call", "backend", "peer", "control", "admin")
            },
            "in_flight": parts.target.in_flight,
            "entry_in_flight": parts.gateway.in_flight,
            "queued": load.queued,
            "limit": load.limit,
            "level": load.level,
            "sections": parts.sections.versions(),
            "ledger_entries": parts.ledger.stats()["entries"],
            "ledger": parts.ledger.stats(),
            "outcomes": parts.outcomes.stats(),
            "peers": len(parts.streams),
            "members": [_member(member) for member in parts.membership.members()],
        }

    return status


def _member(member: Member) -> dict:
    return {
        "node_id": member.node_id,
        "incarnation": member.incarnation,
        "data_centre": member.data_centre,
        "state": member.state,
        "service": member.service,
        "slots": member.slots,
        "peer": str(member.peer),
    }
