"""Processor time of the decisions about organisations and members.

``python -m benchmarks.decisions [--json]``. Each decision is made many times in one
process, without a network; the figures are microseconds of processor time each.
"""

import gc
import itertools
import json
import os
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec
import typer

from damaskproxy.admission import FairShares, Ticket
from damaskproxy.admission.queue import CallQueue, QueuedCall
from damaskproxy.allowances import AllowanceBounds, Gate, Ledger, Limit, Owners
from damaskproxy.common import Priority
from damaskproxy.common.ids import ORDINAL_COUNT
from damaskproxy.directory import BackendRecord, MemberRecord
from damaskproxy.forwarding import MemberSelector
from damaskproxy.forwarding.calls import Answer, LoadReport
from damaskproxy.forwarding.frames import AllowanceNoticeFrame, AllowanceReportFrame
from damaskproxy.organisations import Authentication, Organisation, Organisations

__all__ = ["Decision", "decisions", "measure"]

ORGANISATIONS = (10, 1_000, 10_000)
NODES = (10, 68, 300)
"""Sizes that the design page names."""
SHARING = (10, 1_000)
"""Organisations of one class; more than 1,000 share one counter."""
REPORTED = 10
"""Organisations in one report: 25 requests/s of a node in 0.3 s are at most 8."""
BATCH_S = 0.05
"""Processor time of a batch, long against the resolution of the clock (1 us)."""
BATCHES = 7
"""The median of so few excludes batches that were disturbed by other processes."""
STEP_S = 0.0002
"""Time between decisions in the clock of the decisions: 5,000/s, as in an overload."""
OPEN = Limit(1e9, 1e6)
"""Limit that is never reached, so that all decisions are those of the open state."""
SPENT = Limit(0.001, 1.0)
"""Limit that is reached at once and stays so during the measurement."""
STEADY_S = 0.6
"""Time of the second reports; the buckets of a new ledger are full then and their
organisations open (after 0.5 s), and no node counts as silent (0.75 s)."""
SEED = 1

Operation = Callable[[int], object]


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision at one size.

    Parameters
    ----------
    name : str
        What is decided.
    nodes, organisations : int or None
        Size, None if the decision does not depend on it.
    make : callable
        Returns the operation to be timed, which takes the number of the call.
    """

    name: str
    nodes: int | None
    organisations: int | None
    make: Callable[[], Operation]


def _names(count: int) -> list[str]:
    return [f"organisation-{number}" for number in range(count)]


def _shuffled(values: list) -> list:
    """Return the values in a random order, since requests do not come in theirs."""
    values = list(values)
    random.Random(SEED).shuffle(values)
    return values


def _organisations(count: int) -> tuple[Organisations, list[bytes]]:
    keys = [f"key-{number:032x}".encode() for number in range(count)]
    organisations = Organisations(
        Organisation(name, (key,)) for name, key in zip(_names(count), keys)
    )
    return organisations, _shuffled([b"Bearer " + key for key in keys])


def make_lookup(count: int) -> Operation:
    """Return the lookup of a key among `count` organisations."""
    organisations, headers = _organisations(count)
    return lambda number: organisations.find(headers[number % count])


def make_authentication(count: int) -> Operation:
    """Return the authentication of a request among `count` organisations."""
    organisations, headers = _organisations(count)
    identify = Authentication(organisations).identify
    return lambda number: identify(
        headers[number % count],
        is_public=False,
        parent_organisation=None,
        is_call=False,
    )


def _owners(nodes: int) -> Owners:
    owners = Owners("node-0")
    owners.update(f"node-{number}" for number in range(nodes))
    return owners


def _gate(nodes: int, count: int) -> tuple[Gate, list[str]]:
    """Return a gate in touch with its owners, and the organisations."""
    sent: list[tuple[str, AllowanceReportFrame]] = []
    gate = Gate(
        _owners(nodes),
        AllowanceBounds(),
        lambda node_id, message: sent.append((node_id, message)),
    )
    names = _names(count)
    gate.apply(dict.fromkeys(names, OPEN), 0.0)
    for node_id, message in list(sent):
        gate.handle_notice(node_id, AllowanceNoticeFrame(message.sequence, []), 0.0)
    return gate, _shuffled(names)


def make_check(nodes: int, count: int) -> Operation:
    """Return the check of the gate in the open state."""
    gate, names = _gate(nodes, count)
    return lambda number: gate.check(names[number % count], number * STEP_S)


def make_gate_change(nodes: int, count: int) -> Operation:
    """Return the work of the gate when the members change."""
    gate, _ = _gate(nodes, count)
    return lambda number: gate.members_changed(number * STEP_S)


def _owned_names(owners: Owners, count: int) -> list[str]:
    """Return the organisations that the first candidate owns, in a random order."""
    owner = owners.candidates[0]
    return [n for n in _shuffled(_names(count)) if owners.ranking(n)[0] == owner]


def _ledger(
    nodes: int, count: int, limit: Limit
) -> tuple[Ledger, list[AllowanceReportFrame], list[str]]:
    """Return a ledger in touch with all nodes, and a report and id of each.

    It owns a part of the organisations, as each of `OWNERS_MAX` owners does, and the
    reports are about these.
    """
    owners = _owners(nodes)
    # The ledger must be that of an owner.
    owners.own_id = owners.candidates[0]
    ledger = Ledger(owners, AllowanceBounds())
    ledger.apply(dict.fromkeys(_names(count), limit), 0.0)
    take = itertools.cycle(_owned_names(owners, count))
    candidates = list(owners.candidates)
    reports = [
        AllowanceReportFrame(
            1, candidates, [], [(next(take), 1) for _ in range(REPORTED)]
        )
        for _ in range(nodes)
    ]
    for now_s in (0.0, STEADY_S):
        for node_id, report in zip(owners.members, reports):
            ledger.handle_report(node_id, report, now_s)
    return ledger, reports, owners.members


def _report_in_turn(ledger, reports, members) -> Operation:
    def handle(number: int) -> AllowanceNoticeFrame:
        index, now_s = number % len(members), STEADY_S + number * STEP_S
        return ledger.handle_report(members[index], reports[index], now_s)

    return handle


def make_report(nodes: int, count: int) -> Operation:
    """Return the handling of a report in the open state; the nodes report in turn."""
    return _report_in_turn(*_ledger(nodes, count, OPEN))


def make_limited_report(nodes: int, count: int) -> Operation:
    """Return the handling of a report while all that the ledger owns are limited."""
    ledger, reports, members = _ledger(nodes, count, SPENT)
    spent = [(name, 100) for name in _owned_names(_owners(nodes), count)]
    report = AllowanceReportFrame(1, reports[0].candidates, [], spent)
    ledger.handle_report(members[0], report, STEADY_S)
    return _report_in_turn(ledger, reports, members)


def make_ledger_change(nodes: int, count: int) -> Operation:
    """Return the work of the ledger when the members change."""
    ledger, _, _ = _ledger(nodes, count, OPEN)

    def change(number: int) -> None:
        ledger.members_changed()
        ledger.tick(STEADY_S)

    return change


def make_ledger_tick(nodes: int, count: int) -> Operation:
    """Return the check of the ledger for silent nodes, every 0.1 s."""
    ledger, _, _ = _ledger(nodes, count, OPEN)
    return lambda number: ledger.tick(STEADY_S)


def _shares(count: int) -> tuple[FairShares, list[str], list[float]]:
    """Return the shares of organisations that all send, and their clock."""
    clock = [0.0]
    shares = FairShares(now_s=lambda: clock[0])
    names = _shuffled(_names(count))
    for number in range(10 * count):
        shares.ordinal(Priority.NORMAL, names[number % count], number % ORDINAL_COUNT)
    clock[0] += 1.0
    return shares, names, clock


def make_ordinal(count: int) -> Operation:
    """Return the ordinal of a new request, with its part of the reviews."""
    shares, names, clock = _shares(count)

    def decide(number: int) -> int:
        clock[0] += STEP_S
        name = names[number % count]
        return shares.ordinal(Priority.NORMAL, name, number % ORDINAL_COUNT)

    return decide


def make_level(count: int) -> Operation:
    """Return the level that is reported for an organisation."""
    shares, names, _ = _shares(count)
    shares.ordinal(Priority.NORMAL, names[0], 0)
    level = Priority.NORMAL * ORDINAL_COUNT + ORDINAL_COUNT // 2
    return lambda number: shares.level_by_hash(
        Priority.NORMAL, names[number % count], level
    )


def _queued(number: int) -> QueuedCall:
    ticket = Ticket(Priority.NORMAL, number * 37 % ORDINAL_COUNT, "route", 1.0)
    return QueuedCall(ticket, None, 0.0, False)


def make_queue(count: int) -> Operation:
    """Return the insertion and removal of a call, with one queued per organisation."""
    queue = CallQueue()
    for number in range(count):
        queue.push(_queued(number))

    def pass_through(number: int) -> None:
        queue.push(_queued(number))
        queue.remove(queue.first(newest_first=False, short_only=False))

    return pass_through


def make_choice(nodes: int) -> Operation:
    """Return the choice among members of one service, each with a load report."""
    selector = MemberSelector("a", random.Random(SEED), lambda: nodes)
    members = [
        MemberRecord(
            f"node-{number}",
            1,
            1,
            "ab"[number % 2],
            "127.0.0.1",
            1,
            backend=BackendRecord(f"i-{number}", "orders", 4),
        )
        for number in range(nodes)
    ]
    for number, member in enumerate(members):
        selector.started(member)
        load = LoadReport(number % 4, 0, 4, 20, 4 * ORDINAL_COUNT)
        selector.finished(member, Answer(200, [], b"", load), 0.02)
    return lambda number: selector.choose(members, set())


def decisions() -> Iterator[Decision]:
    """Yield all decisions at all sizes."""
    for count in ORGANISATIONS:
        yield Decision("key lookup", None, count, lambda c=count: make_lookup(c))
        yield Decision(
            "authentication", None, count, lambda c=count: make_authentication(c)
        )
    for name, make in (
        ("gate, check, open", make_check),
        ("ledger, report of 10 organisations, open", make_report),
        ("ledger, report, its organisations limited", make_limited_report),
        ("ledger, tick", make_ledger_tick),
        ("gate, change of members", make_gate_change),
        ("ledger, change of members", make_ledger_change),
    ):
        for count, nodes in itertools.product(ORGANISATIONS, NODES):
            yield Decision(name, nodes, count, lambda m=make, n=nodes, c=count: m(n, c))
    for name, make in (
        ("sharing, ordinal of a new request", make_ordinal),
        ("sharing, level of an organisation", make_level),
        ("queue, one call in and out", make_queue),
    ):
        for count in SHARING:
            yield Decision(name, None, count, lambda m=make, c=count: m(c))
    for nodes in NODES:
        yield Decision(
            "choice of a member", nodes, None, lambda n=nodes: make_choice(n)
        )


def measure(make: Callable[[], Operation], batch_s: float = BATCH_S) -> float:
    """Return the processor time of an operation in microseconds.

    Parameters
    ----------
    make : callable
        Returns the operation.
    batch_s : float
        Shortest processor time of each batch, whose median is returned.
    """
    operation = make()
    gc.collect()
    first, count = 0, 1
    while _time_batch(operation, first, count) < batch_s:
        first += count
        count *= 2
    times_s = []
    for _ in range(BATCHES):
        first += count
        times_s.append(_time_batch(operation, first, count))
    return sorted(times_s)[BATCHES // 2] / count * 1e6


def _time_batch(operation: Operation, first: int, count: int) -> float:
    began_s = time.process_time()
    for number in range(first, first + count):
        operation(number)
    return time.process_time() - began_s


app = typer.Typer(add_completion=False)


@app.command()
def main(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per line.")
    ] = False,
) -> None:
    """Measure the processor time of decisions in microseconds."""
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    typer.echo(json.dumps({"load": load}) if as_json else f"load of the machine {load}")
    for decision in decisions():
        value = round(measure(decision.make), 2)
        if as_json:
            fields = {
                n: getattr(decision, n) for n in ("name", "nodes", "organisations")
            }
            typer.echo(msgspec.json.encode({**fields, "us": value}).decode())
            continue
        nodes = "-" if decision.nodes is None else decision.nodes
        organisations = (
            "-" if decision.organisations is None else decision.organisations
        )
        typer.echo(f"{decision.name:44} {nodes:>5} {organisations:>7} {value:10.2f}")


if __name__ == "__main__":
    app()
