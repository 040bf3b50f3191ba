"""Shared data model: members, services, routes and sections."""

from damaskproxy.model.members import Address, Member, MemberState
from damaskproxy.model.services import DrainLimits, Placement, Route, Section, Service

__all__ = [
    "Address",
    "Member",
    "MemberState",
    "DrainLimits",
    "Placement",
    "Route",
    "Section",
    "Service",
]
