"""Member list of the mesh, failure detection, dissemination and control service."""

from damaskproxy.membership.contacts import ContactRow, Contacts, ContactTable
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.exchange import Extras
from damaskproxy.membership.messages import (
    Describe,
    DescribeReply,
    Exchange,
    Handover,
    HandoverReply,
    Mark,
    MemberRecord,
    ProbeReply,
    ProbeVia,
    Status,
)
from damaskproxy.membership.pollers import pollers
from damaskproxy.membership.service import Membership
from damaskproxy.membership.settings import MembershipSettings
from damaskproxy.membership.transport import ControlClient, ControlServer

__all__ = [
    "ContactRow",
    "ContactTable",
    "Contacts",
    "ControlClient",
    "ControlError",
    "ControlServer",
    "Describe",
    "DescribeReply",
    "Exchange",
    "Extras",
    "Handover",
    "HandoverReply",
    "Mark",
    "MemberRecord",
    "Membership",
    "MembershipSettings",
    "ProbeReply",
    "ProbeVia",
    "Status",
    "pollers",
]
