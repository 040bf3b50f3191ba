"""Figures of one benchmark run."""

from collections.abc import Mapping, Sequence

from benchmarks.fakes import Request
from benchmarks.mesh import DATA_CENTRES, DEEP_SLOTS, INSTANCES, SERVICES
from benchmarks.scenarios import CAPACITY_PER_S, Scenario
from damaskproxy.common import Outcome, Priority

__all__ = ["measure", "percentile"]

STEP_S = 0.25
STEADY_STEPS = 4
RECOVERED_SHARE = 0.95


def percentile(values: Sequence[float], share: float) -> float | None:
    """Return a nearest-rank percentile, or None if there are no values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def measure(
    scenario: Scenario,
    seed: int,
    policy: str,
    reasons: Mapping[str, int],
    requests: list[Request],
    *,
    capacity_per_s: float = CAPACITY_PER_S,
    scale: str = "",
) -> dict:
    """Return the figures of a run, as printed with ``--json``."""
    begin_s, end_s = scenario.measured
    unrelated = [request for request in requests if not request.crashes]
    counted = [r for r in unrelated if begin_s <= r.first_sent_s < end_s]
    completed = [
        request for request in counted if request.completed_after_s is not None
    ]
    attainable = min(len(counted), capacity_per_s * (end_s - begin_s))
    times_s = [request.completed_after_s for request in completed]
    short_s = [
        request.completed_after_s for request in completed if not request.long_hops
    ]
    orders = [request for request in unrelated if not request.idempotent]
    return {
        "scenario": scenario.name,
        "seed": seed,
        "policy": policy,
        "scale": scale or _scale(),
        "offered": len(counted),
        "whole": len(completed),
        "goodput_ratio": round(len(completed) / attainable, 4),
        "goodput_ratio_by_priority": _by_priority(counted),
        "recovery_s": recovery_s(scenario, unrelated),
        "p50_ms": _ms(percentile(times_s, 0.5)),
        "p99_ms": _ms(percentile(times_s, 0.99)),
        "short_p99_ms": _ms(percentile(short_s, 0.99)),
        "retries_per_request_max": max(r.retries_max for r in requests),
        "run_twice": sum(request.runs > 1 for request in orders),
        "told_not_run_but_ran": sum(_was_misreported(request) for request in orders),
        "servers_lost_per_poison_max": max(r.crashed for r in requests),
        "goodput_variation": _variation(counted, begin_s, end_s),
        "reasons": dict(sorted(reasons.items())),
    }


def _scale() -> str:
    return (
        f"{len(SERVICES)} services x {INSTANCES} instances in {len(DATA_CENTRES)} data"
        f" centres, {DEEP_SLOTS} slots in the deep service, {CAPACITY_PER_S:.0f}/s"
    )


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 2)


def _was_misreported(request: Request) -> bool:
    reported_not_run = request.outcomes and request.outcomes[-1] is Outcome.NOT_RUN
    return bool(reported_not_run and request.runs)


def _by_priority(counted: Sequence[Request]) -> dict[str, float]:
    ratios = {}
    for priority in Priority:
        offered = [request for request in counted if request.priority is priority]
        completed = sum(request.completed_after_s is not None for request in offered)
        ratios[priority.name.lower()] = round(completed / max(1, len(offered)), 4)
    return ratios


def _completed_by_step(requests, begin_s, end_s, is_completed) -> list[tuple[int, int]]:
    steps = [[0, 0] for _ in range(round((end_s - begin_s) / STEP_S))]
    for request in requests:
        index = int((request.first_sent_s - begin_s) / STEP_S)
        if begin_s <= request.first_sent_s and index < len(steps):
            steps[index][0] += 1
            steps[index][1] += is_completed(request)
    return [(offered, completed) for offered, completed in steps]


def recovery_s(scenario: Scenario, requests: Sequence[Request]) -> float | None:
    """Return the time from the end of the trigger until requests succeed again.

    Notes
    -----
    Requests are grouped by the time of their first send, in steps of 0.25 s. Only
    first sends count, because resends would hide that a request failed. The service has
    recovered at the start of the first four consecutive steps whose success rate is at
    least 0.95 of that before the trigger. None means not within the run.
    """
    if scenario.trigger_end_s is None:
        return None
    end_s = sum(length_s for length_s, _ in scenario.phases)
    steps = _completed_by_step(requests, 0.0, end_s, lambda r: r.first_send_completed)
    first = int(scenario.trigger_end_s / STEP_S)
    before = steps[2:4]
    share = sum(completed for _, completed in before) / sum(
        count for count, _ in before
    )
    good = [completed >= RECOVERED_SHARE * share * count for count, completed in steps]
    for index in range(first, len(good) - STEADY_STEPS + 1):
        if all(good[index : index + STEADY_STEPS]):
            return (index - first) * STEP_S
    return None


def _variation(counted, begin_s, end_s) -> float:
    """Return the coefficient of variation of completed requests per step."""
    steps = _completed_by_step(
        counted, begin_s, end_s, lambda r: r.completed_after_s is not None
    )
    counts = [completed for _, completed in steps]
    mean = sum(counts) / len(counts)
    variance = sum((completed - mean) ** 2 for completed in counts) / len(counts)
    return round(variance**0.5 / mean, 4) if mean else 0.0
