"""Tests that the checker finds each violation and accepts correct histories."""

import io
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy.history import (
    Finding as F,
    HistoryError,
    OutcomeScope,
    Recorder,
    check,
    read_history,
)


def play(script, recorder):
    """Record a history given as steps: ``sent s1;ran a1;told s1 unknown``."""
    runs = {}
    for step in script.split(";"):
        verb, name, *rest = step.split()
        if verb in ("sent", "read"):
            body = rest[0].encode() if rest else b"order"
            recorder.sent(
                "k", send=name, caller="alice", request=body, idempotent=verb == "read"
            )
        elif verb == "ran":
            body = rest[0].encode() if rest else b"order"
            runs[name] = recorder.ran("k", attempt=name, request=body)
        elif verb == "finished":
            recorder.finished("k", runs[name], answer=rest[0].encode())
        elif verb == "answer":
            caller = rest[1] if len(rest) > 1 else "alice"
            recorder.told("k", send=name, caller=caller, answer=rest[0].encode())
        elif verb == "part":
            recorder.told(
                "k", send=name, caller="alice", answer=rest[0].encode(), complete=False
            )
        elif verb == "told":
            recorder.told("k", send=name, caller="alice", outcome=rest[0])
        elif verb == "cut":
            recorder.cut("k", send=name, caller="alice")


def recorded(script):
    recorder = Recorder(now_s=iter(range(1000)).__next__)
    play(script, recorder)
    return recorder.events


RUN = "sent s1;ran a1;finished a1 done;"


class CheckerTests(unittest.TestCase):
    """Guards against a checker that misses a violated guarantee."""

    @params(
        ("no violation", RUN + "answer s1 done", None),
        (
            "resend receives the response",
            RUN + "told s1 unknown;sent s2;answer s2 done",
            None,
        ),
        ("two runs", RUN + "ran a2;answer s1 done", F.RUN_TWICE),
        ("same attempt twice", "sent s1;ran a1;ran a1;told s1 unknown", F.RUN_TWICE),
        ("idempotent runs", "read s1;ran a1;ran a2;finished a2 x;answer s1 x", None),
        ("not run", "sent s1;told s1 not-run", None),
        (
            "not run, then resent",
            "sent s1;told s1 not-run;sent s2;ran a;told s2 unknown",
            None,
        ),
        ("ran before", "sent s1;ran a1;told s1 not-run", F.TOLD_NOT_RUN_BUT_RAN),
        ("ran after", "sent s1;told s1 not-run;ran a1", F.TOLD_NOT_RUN_BUT_RAN),
        (
            "earlier send ran",
            "sent s1;ran a1;sent s2;told s1 unknown;told s2 not-run",
            F.TOLD_NOT_RUN_BUT_RAN,
        ),
        (
            "two sends, ran once",
            "sent s1;sent s2;told s1 not-run;ran a1;told s2 unknown",
            None,
        ),
        (
            "both reported as not-run",
            "sent s1;sent s2;told s1 not-run;told s2 not-run;ran a1",
            F.TOLD_NOT_RUN_BUT_RAN,
        ),
        (
            "two sends in flight",
            "sent s1;sent s2;ran a;told s1 not-run;told s2 unknown",
            None,
        ),
        (
            "reported run, but did not run",
            "sent s1;told s1 run",
            F.TOLD_RUN_BUT_DID_NOT,
        ),
        ("response of no run", RUN + "answer s1 other", F.WRONG_ANSWER),
        ("response without run", "sent s1;answer s1 done", F.WRONG_ANSWER),
        ("response to another caller", RUN + "answer s1 done bob", F.WRONG_ANSWER),
        (
            "response without a send",
            RUN + "answer s1 done;answer s9 done",
            F.WRONG_ANSWER,
        ),
        ("two replies", RUN + "answer s1 done;told s1 unknown", F.WRONG_ANSWER),
        (
            "response to another body",
            RUN + "sent s2 other;answer s1 done;answer s2 done",
            F.WRONG_ANSWER,
        ),
        (
            "run of another body",
            "sent s1;ran a1 other;told s1 unknown",
            F.WRONG_REQUEST,
        ),
        ("incomplete", RUN + "part s1 do", F.INCOMPLETE_ANSWER),
        ("cut", "sent s1;ran a1;cut s1", F.CUT),
        ("unanswered", "sent s1;ran a1", F.UNANSWERED),
    )
    def test_history(self, _name, script, finding):
        verdict = check(recorded(script))
        found = {name: count for name, count in verdict.counts.items() if count}
        expected = {} if finding is None else {finding: found.get(finding)}
        self.assertEqual(found, expected, verdict.lines())
        self.assertEqual(verdict.ok, finding in (None, F.CUT, F.UNANSWERED))

    @params(
        ("sent s1;ran a1;sent s2;told s1 unknown;told s2 not-run", True),
        ("sent s1;ran a1;told s1 not-run", False),
    )
    def test_scope_of_one_send(self, script, ok):
        self.assertEqual(check(recorded(script), scope=OutcomeScope.SEND).ok, ok)

    def test_unfinished_run_is_undecided(self):
        verdict = check(recorded("sent s1;ran a1;answer s1 done"))
        self.assertEqual((verdict.undecided, verdict.ok), (1, True))

    def test_json_lines(self):
        script = RUN + "answer s1 done;cut s1;told s1 unknown"
        stream = io.BytesIO()
        play(script, Recorder(stream, now_s=iter(range(1000)).__next__))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "history.jsonl"
            path.write_bytes(stream.getvalue() + b'{"kind":"se')
            self.assertEqual(list(read_history(path)), recorded(script))
            path.write_bytes(b'{"kind":"nonsense"}\n' + stream.getvalue())
            with self.assertRaisesRegex(HistoryError, "history.jsonl:1:"):
                list(read_history(path))

    def test_told_requires_answer_or_outcome(self):
        for fields in ({}, {"answer": b"", "outcome": "run"}):
            with self.assertRaises(ValueError):
                Recorder().told("k", send="s", **fields)
