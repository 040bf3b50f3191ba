"""Numbered events of balancing, 7100 to 7199."""

import logging

from damaskproxy.events import define

__all__ = ["MEMBER_EJECTED"]

MEMBER_EJECTED = define(
    7101,
    "member-ejected",
    logging.WARNING,
    "A member had several consecutive failures and gets no calls for some time.",
)
