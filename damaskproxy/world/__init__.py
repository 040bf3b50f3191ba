"""Data classes that mirror the world: members, services, routes and sections."""

from damaskproxy.world.members import Address, Member, MemberState
from damaskproxy.world.services import Pace, Placement, Route, Section, Service

__all__ = [
    "Address",
    "Member",
    "MemberState",
    "Pace",
    "Placement",
    "Route",
    "Section",
    "Service",
]
