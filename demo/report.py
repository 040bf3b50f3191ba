"""Table and verdict that the demo prints."""

from collections import Counter

from damaskproxy.history import (
    EventKind,
    Finding,
    HistoryEvent,
    OutcomeScope,
    Verdict,
    check,
)
from demo.scenario import Story

__all__ = ["broken_promises", "format_report"]

PROMISED_ZERO = (
    ("requests cut", Finding.CUT),
    ("non-idempotent requests run twice", Finding.RUN_TWICE),
    ("told not-run but ran", Finding.TOLD_NOT_RUN_BUT_RAN),
    ("told run but did not", Finding.TOLD_RUN_BUT_DID_NOT),
    ("answers of another request", Finding.WRONG_ANSWER),
    ("incomplete answers", Finding.INCOMPLETE_ANSWER),
    ("runs of requests nobody sent", Finding.WRONG_REQUEST),
)
IN_FORCE_LIMIT_S = 3.0


def judge(events: list[HistoryEvent]) -> Verdict:
    """Return the verdict on a history.

    What is told about a request with a key holds for all its sends. Without a key each
    send is a request of its own, so that a resend may be refused after a run.
    """
    unkeyed = {e.key for e in events if e.kind is EventKind.SENT and e.idempotent}
    verdict = check(e for e in events if e.key not in unkeyed)
    others = check((e for e in events if e.key in unkeyed), scope=OutcomeScope.SEND)
    for finding in Finding:
        verdict.counts[finding] += others.counts[finding]
        verdict.examples[finding] += others.examples[finding]
    verdict.sends += others.sends
    verdict.runs += others.runs
    verdict.reruns += others.reruns
    return verdict


def broken_promises(story: Story, verdict: Verdict) -> list[str]:
    """Return what must not have happened, one sentence each."""
    broken = list(story.faults)
    for title, finding in PROMISED_ZERO:
        if verdict.counts[finding]:
            examples = "; ".join(verdict.examples[finding])
            broken.append(f"{title}: {verdict.counts[finding]} ({examples})")
    if story.in_force_s > IN_FORCE_LIMIT_S:
        broken.append(f"section in force after {story.in_force_s:.1f} s")
    if not any(told.whole for _request, told in story.results):
        broken.append("no request was answered")
    return broken


def _percentile_ms(values: list[float], share: float) -> str:
    if not values:
        return "-"
    ordered = sorted(values)
    return f"{ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000:.0f}"


def _kinds(story: Story) -> list[str]:
    sent: Counter[str] = Counter()
    whole: Counter[str] = Counter()
    for request, told in story.results:
        sent[request.kind.name] += 1
        whole[request.kind.name] += told.whole
    lines = [f"{'request':<10}{'sent':>8}{'whole':>8}{'p50 ms':>8}{'p99 ms':>8}"]
    for name, count in sorted(sent.items()):
        times_s = story.latencies_s[name]
        lines.append(
            f"{name:<10}{count:>8}{whole[name]:>8}"
            f"{_percentile_ms(times_s, 0.5):>8}{_percentile_ms(times_s, 0.99):>8}"
        )
    return lines


def _refusals(story: Story) -> list[str]:
    """Return reasons: of sends and outbound calls, and of requests in the end."""
    told = Counter(
        f"{event.detail} ({event.outcome})"
        for event in story.events
        if event.kind is EventKind.TOLD and event.outcome is not None
    )
    final = Counter(
        f"{told.reason or told.fault} ({told.outcome})"
        for _request, told in story.results
        if not told.whole
    )
    return [
        *_counted("sends and outbound calls without an answer", told),
        *_counted("requests without an answer in the end", final),
    ]


def _counted(title: str, counts: Counter[str]) -> list[str]:
    if not counts:
        return [f"{title}: none"]
    rows = [f"  {reason:<40}{count:>6}" for reason, count in counts.most_common()]
    return [f"{title}: {counts.total()}", *rows]


def format_report(story: Story) -> tuple[str, list[str]]:
    """Return the report and the broken promises."""
    verdict = judge(story.events)
    answers = sum(told.whole for _request, told in story.results)
    lines = [
        *_kinds(story),
        f"whole answers: {answers} of {len(story.results)}",
        *_refusals(story),
        f"sends {verdict.sends}, runs {verdict.runs} "
        f"({verdict.reruns} repeats of idempotent requests), "
        f"unanswered sends {verdict.counts[Finding.UNANSWERED]}",
    ]
    lines += [f"{title}: {verdict.counts[f]}" for title, f in PROMISED_ZERO]
    return "\n".join(lines), broken_promises(story, verdict)
