"""Log events of the ledger."""

import logging

from damaskproxy.events import define

__all__ = [
    "ADOPTED",
    "ADOPTION_REFUSED",
    "DISPATCH_FAILED",
    "ENTRIES_FULL",
    "FROZEN",
    "HANDED_OVER",
    "HEIR_LOST",
    "OUTCOMES_DROPPED",
    "OUTCOMES_MALFORMED",
    "OUTCOMES_RESUMED",
    "OUTCOMES_UNAVAILABLE",
    "PIN_UNAVAILABLE",
]

FROZEN = define(
    6001,
    "ledger-frozen",
    logging.INFO,
    "The ledger starts no new attempts, because it is handed over.",
)
ADOPTED = define(
    6002,
    "ledger-adopted",
    logging.INFO,
    "This node took over the ledger of another node.",
)
ADOPTION_REFUSED = define(
    6003, "ledger-adoption-refused", logging.WARNING, "A hand-over was refused."
)
HANDED_OVER = define(
    6004, "ledger-handed-over", logging.INFO, "An heir confirmed the hand-over."
)
HEIR_LOST = define(
    6005, "ledger-heir-lost", logging.WARNING, "An heir did not confirm the hand-over."
)
ENTRIES_FULL = define(
    6006, "ledger-full", logging.ERROR, "A new key was refused: the ledger is full."
)
DISPATCH_FAILED = define(
    6007,
    "ledger-dispatch-failed",
    logging.ERROR,
    "Dispatching an attempt raised an exception.",
)
OUTCOMES_UNAVAILABLE = define(
    6010,
    "outcomes-unavailable",
    logging.WARNING,
    "Outcomes cannot be written to the table and are queued.",
)
OUTCOMES_RESUMED = define(
    6011, "outcomes-resumed", logging.INFO, "Outcomes are written to the table again."
)
OUTCOMES_DROPPED = define(
    6012,
    "outcomes-dropped",
    logging.ERROR,
    "The queue of unwritten outcomes is full; the oldest are dropped.",
)
OUTCOMES_MALFORMED = define(
    6013, "outcomes-malformed", logging.ERROR, "A row of outcomes cannot be decoded."
)
PIN_UNAVAILABLE = define(
    6020,
    "pin-unavailable",
    logging.WARNING,
    "A caller-chosen key could not be resolved.",
)
