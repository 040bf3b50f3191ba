"""Allowances in a soak of processes: what is sent, and what must hold."""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

__all__ = [
    "EXERCISED_ALLOWANCES",
    "FLOOD",
    "LIMITED_ORGANISATIONS",
    "QUIET",
    "RATES_PER_S",
    "Answered",
    "allowance_faults",
    "bound",
    "largest_sum",
]

FLOOD, QUIET = "flood", "quiet"
LIMITED_ORGANISATIONS = {
    FLOOD: {"priority": 1, "ratePerS": 6, "burst": 6},
    QUIET: {"priority": 1, "ratePerS": 40, "burst": 40},
}
"""Organisations with an allowance, without their keys. That of the first is small, so
that tokens given out twice exceed its bound; that of the second leaves room for enough
requests to measure a small share of refusals."""
RATES_PER_S = {FLOOD: 60.0, QUIET: 20.0}
"""Requests that are sent per second: ten times the limit, and half of it."""
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
"""`quotaWindowS`, `quotaOvershoot` and `quotaSlack` (docs/shared-capacity.md)."""
REFUSED_SHARE_MAX = 0.008
"""Share of the requests of an organisation at half of its limit that may get 429: the
largest share in the seeded schedules without a cut (docs/design/allowances.md)."""
DEMAND_MIN = 1.5
"""Least demand in some window, in bounds of a window. Without a limit all of it would
run. Requests that are refused for other reasons do not count, as without a server."""
EXERCISED_ALLOWANCES = (
    "flood key, status 200",
    "flood key, status 429",
    "quiet key, status 200",
    "node killed while flooded",
)
"""Counters that every run must raise, or its checks have shown nothing."""


@dataclass(frozen=True, slots=True)
class Answered:
    """What the check of allowances needs of one request.

    Parameters
    ----------
    name : str
        Organisation of its key, empty without one.
    sent_s : float
        Time at which it was sent.
    status : int or None
        Status that the caller got.
    retry_after : str or None
        Value of that header of the response.
    runs : int
        Servers that received it.
    """

    name: str
    sent_s: float
    status: int | None
    retry_after: str | None
    runs: int


def allowance_faults(
    answered: Iterable[Answered],
    runs_s: Mapping[str, Sequence[float]],
    counts: Counter[str],
) -> list[str]:
    """Return what is against the rules of allowances.

    Parameters
    ----------
    answered : iterable of Answered
        All requests of a run.
    runs_s : mapping of str to sequence of float
        Times at which servers received requests, by the organisation that they saw.
    counts : Counter
        Gets the measured figures.
    """
    answered = list(answered)
    faults = [fault for each in answered for fault in _check_429(each)]
    for name in LIMITED_ORGANISATIONS:
        faults += _check_windows(name, runs_s.get(name, ()), counts)
    return faults + _check_demand(answered) + _check_quiet(answered, counts)


def largest_sum(times_s: Iterable[float]) -> int:
    """Return the largest number of times within a window."""
    times_s = sorted(times_s)
    return max(
        (
            index + 1 - bisect_left(times_s, at_s - WINDOW_S)
            for index, at_s in enumerate(times_s)
        ),
        default=0,
    )


def bound(name: str) -> float:
    """Return how many requests of an organisation may run within a window."""
    body = LIMITED_ORGANISATIONS[name]
    return (body["ratePerS"] * WINDOW_S + body["burst"]) * (1 + OVERSHOOT) + SLACK


def _check_429(each: Answered) -> list[str]:
    """Return a fault if a refused request ran or is not told when to come again."""
    if each.status != 429:
        return []
    faults = [f"{each.name}: 429 and ran {each.runs} times"] if each.runs else []
    if not _is_useful(each.retry_after):
        faults.append(f"{each.name}: 429 with Retry-After {each.retry_after}")
    if each.name not in LIMITED_ORGANISATIONS:
        faults.append(f"429 without an allowance: {each.name or 'no organisation'}")
    return faults


def _is_useful(retry_after: str | None) -> bool:
    try:
        wait_s = float(retry_after or "")
    except ValueError:
        return False
    return 0 < wait_s < math.inf


def _check_windows(
    name: str, runs_s: Sequence[float], counts: Counter[str]
) -> list[str]:
    """Return a fault if more requests ran within a window than the limit allows."""
    largest = counts[f"{name}, largest sum"] = largest_sum(runs_s)
    if largest <= bound(name):
        return []
    return [f"{name}: {largest} runs within {WINDOW_S:g} s, not {bound(name):g}"]


def _check_demand(answered: list[Answered]) -> list[str]:
    """Return a fault if the limit was not put to the test."""
    flood = [each for each in answered if each.name == FLOOD]
    sent = largest_sum(each.sent_s for each in flood if each.status in (200, 429))
    if sent >= DEMAND_MIN * bound(FLOOD):
        return []
    return [f"nothing was checked: {sent} requests of {FLOOD} within {WINDOW_S:g} s"]


def _check_quiet(answered: list[Answered], counts: Counter[str]) -> list[str]:
    """Return a fault if an organisation below its limit was refused."""
    statuses = [each.status for each in answered if each.name == QUIET]
    refused, served = statuses.count(429), statuses.count(200)
    counts[f"{QUIET}, refused"] = refused
    total = refused + served
    if total * REFUSED_SHARE_MAX < 1:
        return [f"nothing was checked: {total} requests of {QUIET}"]
    if refused > REFUSED_SHARE_MAX * total:
        return [f"{QUIET}: {refused} of {total} requests got 429 at half of its limit"]
    return []
