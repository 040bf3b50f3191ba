"""Checker of histories."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from damaskproxy.common import Outcome
from damaskproxy.history.recorder import EventKind, HistoryEvent

__all__ = ["Finding", "OutcomeScope", "Verdict", "check"]

EXAMPLES_MAX = 5


class Finding(StrEnum):
    """What the checker found."""

    RUN_TWICE = "run-twice"
    TOLD_NOT_RUN_BUT_RAN = "told-not-run-but-ran"
    TOLD_RUN_BUT_DID_NOT = "told-run-but-did-not"
    WRONG_ANSWER = "wrong-answer"
    WRONG_REQUEST = "wrong-request"
    INCOMPLETE_ANSWER = "incomplete-answer"
    CUT = "cut"
    UNANSWERED = "unanswered"


PROMISES = tuple(
    finding for finding in Finding if finding not in (Finding.CUT, Finding.UNANSWERED)
)


class OutcomeScope(StrEnum):
    """What an outcome speaks about."""

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
        The first few of each, as text.
    sends, answers, refusals, runs : int
        Totals of the history.
    reruns : int
        Further runs of idempotent requests, which break no promise.
    undecided : int
        Answers that no finished run confirms while an unfinished one may have given
        them, for example because its backend server was killed.
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
        """Whether no promise is broken; cut and unanswered sends are counted only."""
        return not any(self.counts[finding] for finding in PROMISES)

    def add(self, finding: Finding, example: str) -> None:
        """Count an occurrence."""
        self.counts[finding] += 1
        if len(self.examples[finding]) < EXAMPLES_MAX:
            self.examples[finding].append(example)

    def lines(self) -> list[str]:
        """Return the verdict for a terminal."""
        totals = (
            f"{self.sends} sends, {self.answers} answers, {self.refusals} refusals, "
            f"{self.runs} runs ({self.reruns} repeated idempotent ones), "
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
    told: list[HistoryEvent] = field(default_factory=list)
    cut: bool = False


@dataclass
class _Request:
    sends: dict[str, _Send] = field(default_factory=dict)
    runs: dict[str, _Run] = field(default_factory=dict)
    strays: list[HistoryEvent] = field(default_factory=list)


def check(
    events: Iterable[HistoryEvent], *, scope: OutcomeScope = OutcomeScope.KEY
) -> Verdict:
    """Decide which promises a history keeps.

    Parameters
    ----------
    events : iterable of HistoryEvent
        In any order; the times decide.
    scope : OutcomeScope
        With ``key``, not-run means that the key had not run at some moment between
        this send and its reply, and that this send never runs. A caller that waits
        for each reply before it sends again may then conclude that its request has
        not run. With ``send``, it speaks about that one send only.

    Returns
    -------
    Verdict
        Counts and examples.
    """
    verdict = Verdict()
    requests: dict[str, _Request] = defaultdict(_Request)
    # Events of several recorders are joined by time; a send precedes its reply.
    order = list(EventKind)
    for event in sorted(events, key=lambda e: (e.time_s, order.index(e.kind))):
        _collect(requests[event.key], event, verdict)
    for key, request in requests.items():
        _check_runs(verdict, key, request)
        for send in request.sends.values():
            _check_send(verdict, key, request, send, scope)
        for stray in request.strays:
            verdict.add(
                Finding.WRONG_ANSWER, f"{key}: {stray.caller} was told without a send"
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
        _collect_told(request, event, verdict)


def _collect_told(request: _Request, event: HistoryEvent, verdict: Verdict) -> None:
    if event.outcome is None:
        verdict.answers += 1
    else:
        verdict.refusals += 1
    send = request.sends.get(event.send)
    if send is None:
        request.strays.append(event)
    else:
        send.told.append(event)


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
            verdict.add(Finding.WRONG_REQUEST, f"{key}: a run of an unsent request")


def _check_send(
    verdict: Verdict, key: str, request: _Request, send: _Send, scope: OutcomeScope
) -> None:
    if not send.told and not send.cut:
        verdict.add(Finding.UNANSWERED, f"{key}: {send.event.caller} heard nothing")
    for told in send.told:
        if told.caller != send.event.caller:
            verdict.add(
                Finding.WRONG_ANSWER,
                f"{key}: {told.caller} was told for {send.event.caller}",
            )
        elif told.outcome is None:
            _check_answer(verdict, key, request, send, told)
        else:
            _check_outcome(verdict, key, request, send, told, scope)
    if len({(told.answer, told.outcome) for told in send.told}) > 1:
        verdict.add(
            Finding.WRONG_ANSWER, f"{key}: {send.event.caller} was told two things"
        )


def _check_answer(
    verdict: Verdict, key: str, request: _Request, send: _Send, told: HistoryEvent
) -> None:
    if not told.complete:
        verdict.add(Finding.INCOMPLETE_ANSWER, f"{key}: {told.caller}")
        return
    runs = [run for run in request.runs.values() if run.started_s <= told.time_s]
    fitting = [run for run in runs if run.request == send.event.request]
    if any(run.answer == told.answer for run in fitting):
        return
    if any(run.answer is None for run in fitting):
        verdict.undecided += 1
        return
    verdict.add(
        Finding.WRONG_ANSWER, f"{key}: {told.caller} got an answer that no run gave"
    )


def _check_outcome(
    verdict: Verdict,
    key: str,
    request: _Request,
    send: _Send,
    told: HistoryEvent,
    scope: OutcomeScope,
) -> None:
    runs = request.runs.values()
    if told.outcome is Outcome.RUN:
        if not any(run.started_s <= told.time_s for run in runs):
            verdict.add(Finding.TOLD_RUN_BUT_DID_NOT, f"{key}: {told.caller}")
        return
    if told.outcome is not Outcome.NOT_RUN:
        return
    others = [other for other in request.sends.values() if other is not send]
    for run in runs:
        known_before = run.started_s <= send.event.time_s and scope is OutcomeScope.KEY
        if known_before or not any(_may_cause(other, run) for other in others):
            verdict.add(
                Finding.TOLD_NOT_RUN_BUT_RAN,
                f"{key}: {told.caller} was told not-run ({told.detail}) at "
                f"{told.time_s:.3f} s, attempt {run.attempt} started at "
                f"{run.started_s:.3f} s",
            )
            return


def _may_cause(send: _Send, run: _Run) -> bool:
    """Tell whether the run can be an execution of `send`."""
    told_not_run = any(
        told.outcome is Outcome.NOT_RUN and told.time_s < run.started_s
        for told in send.told
    )
    return send.event.time_s <= run.started_s and not told_not_run
