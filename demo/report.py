"""Report that the demo prints, and the checks that decide whether it passed."""

from collections import Counter

from damaskproxy.history import (
    EventKind,
    Finding,
    HistoryEvent,
    OutcomeScope,
    Verdict,
    check,
)
from demo.scenario import DemoResult

__all__ = ["failed_checks", "format_report"]

ZERO_FINDINGS = (
    ("requests with a closed connection", Finding.CUT),
    ("non-idempotent requests run twice", Finding.RUN_TWICE),
    ("reported not-run but ran", Finding.TOLD_NOT_RUN_BUT_RAN),
    ("reported run but did not", Finding.TOLD_RUN_BUT_DID_NOT),
    ("responses of another request", Finding.WRONG_ANSWER),
    ("incomplete responses", Finding.INCOMPLETE_ANSWER),
    ("runs of requests that were not sent", Finding.WRONG_REQUEST),
)
IN_FORCE_LIMIT_S = 3.0


def judge(events: list[HistoryEvent]) -> Verdict:
    """Return the verdict on a history.

    The outcome reported for a request with an idempotency key applies to all its sends.
    Without a key each send is judged as a separate request, so a resend may be refused
    as not run although an earlier send has run.
    """
    unkeyed = {e.key for e in events if e.kind is EventKind.SENT and e.idempotent}
    verdict = check(e for e in events if e.key not in unkeyed)
    unkeyed_verdict = check(
        (e for e in events if e.key in unkeyed), scope=OutcomeScope.SEND
    )
    for finding in Finding:
        verdict.counts[finding] += unkeyed_verdict.counts[finding]
        verdict.examples[finding] += unkeyed_verdict.examples[finding]
    verdict.sends += unkeyed_verdict.sends
    verdict.runs += unkeyed_verdict.runs
    verdict.reruns += unkeyed_verdict.reruns
    return verdict


def failed_checks(result: DemoResult, verdict: Verdict) -> list[str]:
    """Return the checks that failed, one line of text each."""
    failures = list(result.faults)
    for title, finding in ZERO_FINDINGS:
        if verdict.counts[finding]:
            examples = "; ".join(verdict.examples[finding])
            failures.append(f"{title}: {verdict.counts[finding]} ({examples})")
    if result.in_force_s > IN_FORCE_LIMIT_S:
        failures.append(f"section in force after {result.in_force_s:.1f} s")
    if not any(response.is_complete for _request, response in result.results):
        failures.append("no request got a complete response")
    return failures


def _percentile_ms(values: list[float], share: float) -> str:
    if not values:
        return "-"
    ordered = sorted(values)
    return f"{ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000:.0f}"


def _request_kind_lines(result: DemoResult) -> list[str]:
    sent: Counter[str] = Counter()
    complete: Counter[str] = Counter()
    for request, response in result.results:
        sent[request.kind.name] += 1
        complete[request.kind.name] += response.is_complete
    lines = [f"{'request':<10}{'sent':>8}{'success':>8}{'p50 ms':>8}{'p99 ms':>8}"]
    for name, count in sorted(sent.items()):
        times_s = result.latencies_s[name]
        lines.append(
            f"{name:<10}{count:>8}{complete[name]:>8}"
            f"{_percentile_ms(times_s, 0.5):>8}{_percentile_ms(times_s, 0.99):>8}"
        )
    return lines


def _refusal_lines(result: DemoResult) -> list[str]:
    """Count the refusals by reason: per send or outbound call, and final ones."""
    refused_sends = Counter(
        f"{event.detail} ({event.outcome})"
        for event in result.events
        if event.kind is EventKind.TOLD and event.outcome is not None
    )
    final = Counter(
        f"{response.reason or response.fault} ({response.outcome})"
        for _request, response in result.results
        if not response.is_complete
    )
    return [
        *_counter_lines("sends and outbound calls without a response", refused_sends),
        *_counter_lines("requests without a complete response in the end", final),
    ]


def _counter_lines(title: str, counts: Counter[str]) -> list[str]:
    if not counts:
        return [f"{title}: none"]
    rows = [f"  {reason:<40}{count:>6}" for reason, count in counts.most_common()]
    return [f"{title}: {counts.total()}", *rows]


def format_report(result: DemoResult) -> tuple[str, list[str]]:
    """Return the report and the checks that failed."""
    verdict = judge(result.events)
    complete = sum(response.is_complete for _request, response in result.results)
    lines = [
        *_request_kind_lines(result),
        f"complete responses: {complete} of {len(result.results)}",
        *_refusal_lines(result),
        f"sends {verdict.sends}, runs {verdict.runs} "
        f"({verdict.reruns} repeated runs of idempotent requests), "
        f"unanswered sends {verdict.counts[Finding.UNANSWERED]}",
    ]
    lines += [f"{title}: {verdict.counts[f]}" for title, f in ZERO_FINDINGS]
    return "\n".join(lines), failed_checks(result, verdict)
