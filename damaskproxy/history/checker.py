"""Check of histories for violated guarantees."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from damaskproxy.common import Outcome
from damaskproxy.history.recorder import EventKind, HistoryEvent

__all__ = ["Finding", "OutcomeScope", "Verdict", "check"]

EXAMPLES_MAX = 5


class Finding(StrEnum):
    """Kind of finding."""

    RUN_TWICE = "run-twice"
    TOLD_NOT_RUN_BUT_RAN = "told-not-run-but-ran"
    TOLD_RUN_BUT_DID_NOT = "told-run-but-did-not"
    WRONG_ANSWER = "wrong-answer"
    WRONG_REQUEST = "wrong-request"
    INCOMPLETE_ANSWER = "incomplete-answer"
    CUT = "cut"
    UNANSWERED = "unanswered"


VIOLATIONS = tuple(
    finding for finding in Finding if finding not in (Finding.CUT, Finding.UNANSWERED)
)


class OutcomeScope(StrEnum):
    """What a reported outcome refers to."""

    KEY = "key"
    SEND = "send"


@dataclass
class Verdict:
    """Result of a check.

    Parameters
    ----------
    counts : dict
        Number of occurrences of each `Finding`.
    examples : dict
        Descriptions of the first few occurrences of each.
    sends, answers, refusals, runs : int
        Totals of the history; a refusal is any reply without a response.
    reruns : int
        Further runs of idempotent requests, which violate no guarantee.
    undecided : int
        Responses that match no finished run but may come from an unfinished one, for
        example because its backend server was killed.
    """

    counts: dict[Finding, int] = field(
        default_factory=lambda: dict.fromkeys(Finding, 0)
    )
    examples: dict[Finding, list[str]] = field(
        default_factory=lambda: {finding: [] for finding in Finding}
    )
    sends: int = 0
    answers: int = 0
    refusals: int = 0
    runs: int = 0
    reruns: int = 0
    undecided: int = 0

    @property
    def ok(self) -> bool:
        """Whether no guarantee is violated; cut or unanswered sends do not count."""
        return not any(self.counts[finding] for finding in VIOLATIONS)

    def add(self, finding: Finding, example: str) -> None:
        """Count an occurrence of `finding`."""
        self.counts[finding] += 1
        if len(self.examples[finding]) < EXAMPLES_MAX:
            self.examples[finding].append(example)

    def lines(self) -> list[str]:
        """Return the verdict as lines of text."""
        totals = (
            f"{self.sends} sends, {self.answers} answers, {self.refusals} refusals, "
            f"{self.runs} runs ({self.reruns} further idempotent ones), "
            f"{self.undecided} answers undecided"
        )
        findings = [f"{finding}: {count}" for finding, count in self.counts.items()]
        examples = [
            f"  {finding}: {example}"
            for finding, texts in self.examples.items()
            for example in texts
        ]
        return [totals, ", ".join(findings), *examples]


@dataclass
class _Run:
    started_s: float
    attempt: str
    request: str
    answer: str | None = None


@dataclass
class _Send:
    event: HistoryEvent
    replies: list[HistoryEvent] = field(default_factory=list)
    cut: bool = False


@dataclass
class _Request:
    sends: dict[str, _Send] = field(default_factory=dict)
    runs: dict[str, _Run] = field(default_factory=dict)
    unmatched_replies: list[HistoryEvent] = field(default_factory=list)


def check(
    events: Iterable[HistoryEvent], *, scope: OutcomeScope = OutcomeScope.KEY
) -> Verdict:
    """Check which guarantees a history violates.

    Parameters
    ----------
    events : iterable of HistoryEvent
        Events in any order; they are sorted by time.
    scope : OutcomeScope
        With ``key``, not-run means that the key had not run at some time between this
        send and its reply, and that this send never runs. A caller that waits for each
        reply before it resends can then conclude that its request has not run. With
        ``send``, not-run refers to that one send only.

    Returns
    -------
    Verdict
        Counts and examples of the findings.
    """
    verdict = Verdict()
    requests: dict[str, _Request] = defaultdict(_Request)
    # Events of several recorders are merged by time; at equal times a send comes first.
    order = list(EventKind)
    for event in sorted(events, key=lambda e: (e.time_s, order.index(e.kind))):
        _collect(requests[event.key], event, verdict)
    for key, request in requests.items():
        _check_runs(verdict, key, request)
        for send in request.sends.values():
            _check_send(verdict, key, request, send, scope)
        for reply in request.unmatched_replies:
            verdict.add(
                Finding.WRONG_ANSWER,
                f"{key}: {reply.caller} received a reply without a send",
            )
    return verdict


def _collect(request: _Request, event: HistoryEvent, verdict: Verdict) -> None:
    if event.kind is EventKind.SENT:
        verdict.sends += 1
        request.sends[event.send] = _Send(event)
    elif event.kind is EventKind.RAN:
        verdict.runs += 1
        request.runs[event.run] = _Run(event.time_s, event.attempt, event.request)
    elif event.kind is EventKind.FINISHED:
        if event.run in request.runs:
            request.runs[event.run].answer = event.answer
    elif event.kind is EventKind.CUT:
        verdict.add(Finding.CUT, f"{event.key}: {event.caller} {event.detail}")
        if event.send in request.sends:
            request.sends[event.send].cut = True
    else:
        _collect_reply(request, event, verdict)


def _collect_reply(request: _Request, event: HistoryEvent, verdict: Verdict) -> None:
    if event.outcome is None:
        verdict.answers += 1
    else:
        verdict.refusals += 1
    send = request.sends.get(event.send)
    if send is None:
        request.unmatched_replies.append(event)
    else:
        send.replies.append(event)


def _check_runs(verdict: Verdict, key: str, request: _Request) -> None:
    runs = request.runs.values()
    sends = request.sends.values()
    if len(runs) > 1:
        if sends and all(send.event.idempotent for send in sends):
            verdict.reruns += len(runs) - 1
        else:
            attempts = ", ".join(run.attempt or "?" for run in runs)
            verdict.add(Finding.RUN_TWICE, f"{key}: {len(runs)} runs ({attempts})")
    sent = {send.event.request for send in sends}
    for run in runs:
        if run.request not in sent:
            verdict.add(
                Finding.WRONG_REQUEST, f"{key}: a run of a request that was not sent"
            )


def _check_send(
    verdict: Verdict, key: str, request: _Request, send: _Send, scope: OutcomeScope
) -> None:
    if not send.replies and not send.cut:
        verdict.add(Finding.UNANSWERED, f"{key}: {send.event.caller} received no reply")
    for reply in send.replies:
        if reply.caller != send.event.caller:
            verdict.add(
                Finding.WRONG_ANSWER,
                f"{key}: {reply.caller} received the reply to {send.event.caller}",
            )
        elif reply.outcome is None:
            _check_answer(verdict, key, request, send, reply)
        else:
            _check_outcome(verdict, key, request, send, reply, scope)
    if len({(reply.answer, reply.outcome) for reply in send.replies}) > 1:
        verdict.add(
            Finding.WRONG_ANSWER,
            f"{key}: {send.event.caller} received different replies",
        )


def _check_answer(
    verdict: Verdict, key: str, request: _Request, send: _Send, reply: HistoryEvent
) -> None:
    if not reply.complete:
        verdict.add(Finding.INCOMPLETE_ANSWER, f"{key}: {reply.caller}")
        return
    runs = [run for run in request.runs.values() if run.started_s <= reply.time_s]
    matching_runs = [run for run in runs if run.request == send.event.request]
    if any(run.answer == reply.answer for run in matching_runs):
        return
    if any(run.answer is None for run in matching_runs):
        verdict.undecided += 1
        return
    verdict.add(
        Finding.WRONG_ANSWER,
        f"{key}: {reply.caller} received a response that no run gave",
    )


def _check_outcome(
    verdict: Verdict,
    key: str,
    request: _Request,
    send: _Send,
    reply: HistoryEvent,
    scope: OutcomeScope,
) -> None:
    runs = request.runs.values()
    if reply.outcome is Outcome.RUN:
        if not any(run.started_s <= reply.time_s for run in runs):
            verdict.add(Finding.TOLD_RUN_BUT_DID_NOT, f"{key}: {reply.caller}")
        return
    if reply.outcome is not Outcome.NOT_RUN:
        return
    others = [other for other in request.sends.values() if other is not send]
    for run in runs:
        ran_before = run.started_s <= send.event.time_s and scope is OutcomeScope.KEY
        if ran_before or not any(_may_have_caused(other, run) for other in others):
            verdict.add(
                Finding.TOLD_NOT_RUN_BUT_RAN,
                f"{key}: {reply.caller} received not-run ({reply.detail}) at "
                f"{reply.time_s:.3f} s, attempt {run.attempt} started at "
                f"{run.started_s:.3f} s",
            )
            return


def _may_have_caused(send: _Send, run: _Run) -> bool:
    """Return whether `run` can be an execution of `send`."""
    replied_not_run = any(
        reply.outcome is Outcome.NOT_RUN and reply.time_s < run.started_s
        for reply in send.replies
    )
    return send.event.time_s <= run.started_s and not replied_not_run
