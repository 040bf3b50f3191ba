"""What must hold in a soak of processes, from what callers and servers saw."""

import json
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from damaskproxy.http1 import Request
from damaskproxy.sidecar.tests.soak_allowances import Answered, allowance_faults
from damaskproxy.sidecar.tests.soak_clients import Node, Sent
from damaskproxy.sidecar.tests.soak_keys import (
    EXERCISED,
    KEY_PREFIX,
    KeyBook,
    Observation,
    names_in,
    observation_faults,
)

__all__ = ["Outcome", "Record", "judge"]

LOSS_SLACK_S = 0.2
"""Time within which a connection may end after a request that was not passed on."""
LOST_STATUSES = (502, 504)
"""Statuses of a request whose result is not known; only kills may cause them."""
REQUEST_ID = b"x-damaskproxy-request-id"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ALLOWED_LEVELS = frozenset({"DEBUG", "INFO", "WARNING"})


@dataclass(slots=True)
class Outcome:
    """What a play has shown."""

    problems: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    stop_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Record:
    """Requests, nodes and keys of a play.

    Parameters
    ----------
    keys : KeyBook
        Keys of the play.
    log_path : callable
        Returns the log file of a node.
    lag_s : callable
        Returns how late this process was between two times.

    Attributes
    ----------
    nodes : list of Node
        All nodes.
    sent : list of Sent
        All requests.
    kills_start_s, kills_end_s : float
        Time in which nodes are killed and started again.
    """

    keys: KeyBook
    log_path: Callable[[str], Path]
    lag_s: Callable[[float, float], float]
    nodes: list[Node] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    kills_start_s: float = float("inf")
    kills_end_s: float = float("inf")

    def may_be_lost(self, sent: Sent) -> bool:
        """Tell whether a request was in progress while nodes were killed.

        Its connection or its result may then be lost. Neither may be during planned
        work, which ends before.
        """
        has_begun = sent.last_part_s <= self.kills_end_s
        return has_begun and sent.ended_s >= self.kills_start_s


def judge(record: Record, outcome: Outcome) -> None:
    """Add what is against the rules to the outcome of a play."""
    received, runs_s = defaultdict(list), defaultdict(list)
    for node in record.nodes:
        backend = node.backend
        for request, at_s in zip(backend.requests, backend.received_s, strict=True):
            received[request.header(REQUEST_ID)].append(request)
            for name in names_in(request):
                runs_s[name.decode()].append(at_s)
    answered = []
    for sent in record.sent:
        runs = sum(n.backend.runs[sent.request_id] for n in record.nodes)
        _count(outcome.counts, sent, runs)
        answered.append(_answered(sent, runs))
        seen = _observe(record, sent, received[sent.request_id])
        seen.count(outcome.counts)
        for text in (*_faults(record, sent, runs), *observation_faults(seen)):
            outcome.problems.append(
                f"{sent.request_id.decode()} at {sent.node}: {text}"
            )
    for text in allowance_faults(answered, runs_s, outcome.counts):
        outcome.problems.append(text)
    for name in EXERCISED:
        if not outcome.counts[name]:
            outcome.problems.append(f"nothing was checked: {name}")
    _check_logs(record, outcome)


def _check_logs(record: Record, outcome: Outcome) -> None:
    for node in record.nodes:
        for line in record.log_path(node.name).read_text().splitlines():
            if not _is_harmless(line) or KEY_PREFIX in line:
                outcome.problems.append(f"{node.name} logged {line[:300]}")


def _observe(record: Record, sent: Sent, runs: list[Request]) -> Observation:
    key = sent.credential.key
    lag_s = 0.0
    if key is not None and sent.last_part_s > key.removed_s:
        lag_s = record.lag_s(key.removed_s, sent.last_part_s)
    is_late = record.keys.is_late(key, sent.last_part_s, lag_s)
    status = sent.status if sent.is_complete else None
    return Observation(sent.credential, is_late, status, runs)


def _count(counts: Counter[str], sent: Sent, runs: int) -> None:
    counts["requests"] += 1
    if sent.is_complete:
        counts[f"status {sent.status}"] += 1
    elif sent.sent_s is None:
        counts["not sent completely"] += 1
    elif not runs:
        counts["closed and not passed on"] += 1


def _faults(record: Record, sent: Sent, runs: int) -> list[str]:
    faults = []
    if not sent.is_safe and runs > 1:
        faults.append(f"ran {runs} times")
    if sent.is_complete:
        if sent.status in NOT_RUN_STATUSES and runs and not sent.is_safe:
            faults.append(f"{sent.status} and ran")
        if sent.status in LOST_STATUSES and not record.may_be_lost(sent):
            faults.append(f"{sent.status}, ran {runs} times")
        return faults
    if record.may_be_lost(sent):
        return faults
    if runs:
        faults.append(f"cut after it ran, status {sent.status}")
    elif sent.sent_s is not None:
        took_s = sent.ended_s - sent.sent_s
        if took_s > LOSS_SLACK_S + record.lag_s(sent.sent_s, sent.ended_s):
            faults.append(f"no answer, closed after {took_s:.2f} s")
    return faults


def _answered(sent: Sent, runs: int) -> Answered:
    key, status = sent.credential.key, sent.status if sent.is_complete else None
    name = key.organisation if key is not None else ""
    return Answered(name, sent.last_part_s, status, sent.retry_after, runs)


def _is_harmless(line: str) -> bool:
    """Tell whether a line of a log is an event below the level ERROR."""
    return line.startswith("{") and json.loads(line)["levelname"] in ALLOWED_LEVELS
