"""Allowances: requests that organisations may send, over all nodes together.

Each organisation with a limit has an owner, which keeps its token bucket (`Ledger`).
Every node admits requests by itself while the organisation is far below its limit, and
asks the owner otherwise (`Gate`). See ``docs/design/allowances.md``.
"""

from damaskproxy.allowances.accounts import OrganisationState
from damaskproxy.allowances.allowances import Allowances
from damaskproxy.allowances.gate import Gate
from damaskproxy.allowances.ledger import Ledger
from damaskproxy.allowances.limits import AllowanceBounds, Limit
from damaskproxy.allowances.owners import Owners

__all__ = [
    "AllowanceBounds",
    "Allowances",
    "Gate",
    "Ledger",
    "Limit",
    "OrganisationState",
    "Owners",
]
