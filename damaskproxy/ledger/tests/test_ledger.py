"""Tests that the ledger runs a key at most once and reports no false outcome."""

import asyncio
import unittest

import msgspec
from nose2.tools import params

from damaskproxy.common import Outcome, RefusalReason as R
from damaskproxy.ledger import LedgerSettings
from damaskproxy.wire import Answer
from tools.faults.ledger_node import Node, answer, call_of, not_run, unknown
from tools.faults.virtual_time import run_virtual

OVERLOAD = R.OVERLOAD_LEVEL
SPENT = R.RETRY_ALLOWANCE_SPENT


def describe_reply(reply):
    """Return the status of a response, or ``reason/outcome`` of a refusal."""
    if isinstance(reply, Answer):
        return reply.status
    return f"{reply.reason}/{reply.outcome}"


class ScriptedDispatch:
    """Dispatch function that returns the given replies, one per attempt."""

    def __init__(self, *steps, delay_s=0.0):
        self.steps = list(steps)
        self.delay_s = delay_s
        self.attempts = []

    async def __call__(self, call):
        self.attempts.append(call)
        step = self.steps.pop(0) if self.steps else answer
        await asyncio.sleep(self.delay_s)
        if step is OSError:
            raise OSError("connection lost")
        return step(call)


def refuse(reason):
    return lambda call: not_run(call, reason)


class SubmitTests(unittest.TestCase):
    """Guards against a second dispatch after an attempt that may have started."""

    @params(
        ("answered", [answer], 2, [201, 201], 1),
        ("unknown is final", [unknown], 2, ["peer-lost/unknown"] * 2, 1),
        ("an exception is unknown", [OSError], 2, ["peer-lost/unknown"] * 2, 1),
        ("retried after not-started", [not_run, answer], 2, [201, 201], 2),
        (
            "allowance spent",
            [not_run] * 9,
            2,
            ["leaving/not-run", f"{SPENT}/not-run"],
            3,
        ),
        (
            "resend gets no new tokens",
            [not_run] * 9,
            0,
            ["leaving/not-run", f"{SPENT}/not-run"],
            1,
        ),
        (
            "overload is retried once",
            [refuse(OVERLOAD)] * 9,
            5,
            [f"{OVERLOAD}/not-run"] * 2,
            4,
        ),
        (
            "never retried",
            [refuse(R.QUARANTINED)] * 9,
            1,
            ["quarantined/not-run"] * 2,
            2,
        ),
        ("unknown after retry", [not_run, unknown], 5, ["peer-lost/unknown"] * 2, 2),
    )
    def test_sequence(self, _name, steps, tokens, replies, attempts):
        async def scenario():
            node, script = Node(), ScriptedDispatch(*steps)
            (key,) = node.ring.issue(1)
            seen = [
                describe_reply(
                    await node.ledger.submit(
                        call_of(key, f"s{n}", tokens=tokens), script
                    )
                )
                for n in range(len(replies))
            ]
            ids = {call.attempt_id for call in script.attempts}
            self.assertEqual(len(ids), len(script.attempts))
            return seen, len(script.attempts)

        self.assertEqual(run_virtual(scenario()), (replies, attempts))

    @params(
        ("waits for the running attempt", call_of, [201, 201], 1),
        (
            "other body",
            lambda k, s: call_of(k, s, body=b"x"),
            [201, "key-mismatch/unknown"],
            1,
        ),
        (
            "deadline",
            lambda k, s: call_of(k, s, deadline_ms=50),
            [201, "deadline-passed/unknown"],
            1,
        ),
    )
    def test_second_caller_while_running(self, _name, second, replies, attempts):
        async def scenario():
            node, script = Node(), ScriptedDispatch(answer, delay_s=0.5)
            (key,) = node.ring.issue(1)
            both = await asyncio.gather(
                node.ledger.submit(call_of(key), script),
                node.ledger.submit(second(key, "s2"), script),
            )
            self.assertEqual({reply.attempt_id for reply in both}, {"s1", "s2"})
            return [describe_reply(reply) for reply in both], len(script.attempts)

        self.assertEqual(run_virtual(scenario()), (replies, attempts))

    @params(
        ("caller disconnects", None, [answer], 201, 1),
        ("deadline passes", 100, [answer], 201, 1),
        ("no retry without waiting caller", None, [not_run, answer], 201, 2),
    )
    def test_attempt_continues_without_its_caller(
        self, _name, deadline_ms, steps, last, count
    ):
        async def scenario():
            node, script = Node(), ScriptedDispatch(*steps, delay_s=0.5)
            (key,) = node.ring.issue(1)
            first = asyncio.ensure_future(
                node.ledger.submit(
                    call_of(key, deadline_ms=deadline_ms or 1000), script
                )
            )
            await asyncio.sleep(0.2)
            if first.cancel():
                await asyncio.wait({first})
            else:
                self.assertEqual(
                    describe_reply(first.result()), "deadline-passed/unknown"
                )
            self.assertEqual(node.ledger.stats()["running"], 1)
            await node.ledger.wait_until_idle()
            self.assertEqual(len(script.attempts), 1)
            reply = await node.ledger.submit(call_of(key, "s2"), script)
            return describe_reply(reply), len(script.attempts)

        self.assertEqual(run_virtual(scenario()), (last, count))

    @params(
        ("duplicate after not-run", "s1", None, "quarantined/not-run", 1),
        ("resend after not-run", "s2", None, 201, 2),
        ("cancelled before arrival", "s3", "s3", "cancelled/not-run", 1),
    )
    def test_submission_ids(self, _name, submission, cancelled, reply, attempts):
        """A late duplicate of a submission must not run after the reply not-run."""

        async def scenario():
            node, script = Node(), ScriptedDispatch(refuse(R.QUARANTINED))
            (key,) = node.ring.issue(1)
            await node.ledger.submit(call_of(key), script)
            if cancelled:
                node.ledger.cancel(cancelled)
            second = await node.ledger.submit(call_of(key, submission), script)
            return describe_reply(second), len(script.attempts)

        self.assertEqual(run_virtual(scenario()), (reply, attempts))

    @params(
        ("frozen", lambda node: node.ledger.freeze(), "ledger-moving/unknown"),
        ("no time left", lambda node: None, "deadline-passed/not-run"),
        ("other incarnation", lambda node: Node("n1", 0).ring, "ledger-lost/unknown"),
        (
            "expired",
            lambda node: Node("n1", wall_offset_s=-90_000).ring,
            "key-expired/unknown",
        ),
    )
    def test_nothing_starts(self, name, prepare, reply):
        async def scenario():
            node, script = Node(), ScriptedDispatch()
            ring = prepare(node) or node.ring
            (key,) = ring.issue(1)
            call = call_of(key, deadline_ms=0 if name == "no time left" else 1000)
            result = describe_reply(await node.ledger.submit(call, script))
            return result, len(script.attempts)

        self.assertEqual(run_virtual(scenario()), (reply, 0))

    @params(
        ("answer", [unknown], answer, 201),
        ("not-run", [unknown], not_run, "retry-allowance-spent/not-run"),
        ("still unknown", [unknown], unknown, "peer-lost/unknown"),
        (
            "duplicate of an earlier refusal",
            [not_run, unknown],
            None,
            "peer-lost/unknown",
        ),
    )
    def test_late_reply(self, _name, steps, late, expected):
        """A late reply settles its own attempt, not a later one of the same key."""

        async def scenario():
            node, script = Node(), ScriptedDispatch(*steps)
            (key,) = node.ring.issue(1)
            await node.ledger.submit(call_of(key), script)
            first, last = script.attempts[0], script.attempts[-1]
            node.ledger.handle_late_reply(late(last) if late else not_run(first))
            reply = await node.ledger.submit(call_of(key, "s2"), script)
            return describe_reply(reply), len(script.attempts)

        self.assertEqual(run_virtual(scenario()), (expected, len(steps)))


class RetentionTests(unittest.TestCase):
    """Guards against unbounded memory and against records dropped too early."""

    def test_full_ledger_refuses_new_keys_only(self):
        """Old records are compacted first; no record of a valid key is dropped."""

        async def scenario():
            limits = LedgerSettings(entries_max=1, compact_blocks_max=1)
            node = Node(settings=limits)
            keys = [node.ring.issue(60)[0] for _ in range(4)]
            order = [*keys, keys[0], keys[2], keys[3]]
            return [
                describe_reply(
                    await node.ledger.submit(call_of(key, f"s{n}"), ScriptedDispatch())
                )
                for n, key in enumerate(order)
            ]

        full = "overload-queue-full/not-run"
        again = ["answer-unavailable/run", 201, full]
        self.assertEqual(run_virtual(scenario()), [201, 201, 201, full, *again])

    @params(
        ("answer", [answer], "answer-unavailable/run", 1),
        ("unknown", [unknown], "ledger-lost/unknown", 1),
        ("not-run", [not_run, not_run], 201, 3),
        ("not-run, allowance spent", [not_run] * 3, "retry-allowance-spent/not-run", 3),
    )
    def test_compact_record(self, _name, steps, reply, attempts):
        """A compact record gives the same outcome as a full one, also on the heir."""

        async def scenario(at_heir):
            node, heir, script = Node(), Node("heir"), ScriptedDispatch(*steps)
            if len(steps) == 2:
                script.steps[1] = refuse(R.QUARANTINED)
            (key,) = node.ring.issue(1)
            await node.ledger.submit(call_of(key), script)
            await asyncio.sleep(1000)
            node.ledger.mark_written(key)
            node.ledger.sweep()
            self.assertEqual(node.ledger.snapshot(), [])
            if at_heir:
                blocks = node.ledger.compact_blocks(("n1", 1))
                self.assertTrue(
                    heir.ledger.take_over("n1", 1, [], False, blocks=blocks)
                )
            ledger = heir.ledger if at_heir else node.ledger
            other = await ledger.submit(call_of(key, "s2", body=b"other"), script)
            self.assertEqual(describe_reply(other), "key-mismatch/unknown")
            second = await ledger.submit(call_of(key, "s3"), script)
            return describe_reply(second), len(script.attempts)

        for at_heir in (False, True):
            self.assertEqual(run_virtual(scenario(at_heir)), (reply, attempts))

    @params(
        ("body kept", 60, True, True, 201),
        ("body dropped once written", 1000, True, True, "answer-unavailable/run"),
        ("body kept while not written", 1000, False, True, 201),
        (
            "record kept after the key expired",
            86_500,
            True,
            True,
            "key-expired/unknown",
        ),
        ("record dropped", 87_000, True, False, "key-expired/unknown"),
    )
    def test_retention(self, _name, wait_s, written, kept, reply):
        async def scenario():
            node = Node()
            (key,) = node.ring.issue(1)
            await node.ledger.submit(call_of(key), ScriptedDispatch())
            if written:
                node.ledger.mark_written(key)
            await asyncio.sleep(wait_s)
            node.ledger.sweep()
            second = await node.ledger.submit(call_of(key, "s2"), ScriptedDispatch())
            stats = node.ledger.stats()
            return bool(stats["entries"] + stats["compact_blocks"]), describe_reply(
                second
            )

        self.assertEqual(run_virtual(scenario()), (kept, reply))

    def test_clock_set_back_after_a_sweep(self):
        """A key whose record was dropped must stay expired; else it could run again."""

        async def scenario():
            node, script = Node(), ScriptedDispatch()
            (key,) = node.ring.issue(1)
            await node.ledger.submit(call_of(key), script)
            node.ledger.mark_written(key)
            await asyncio.sleep(1000)
            node.wall_offset_s = 100_000
            node.ledger.sweep()
            node.wall_offset_s = 0
            reply = await node.ledger.submit(call_of(key, "s2"), script)
            return describe_reply(reply), len(script.attempts)

        self.assertEqual(run_virtual(scenario()), ("key-expired/unknown", 1))

    def test_bodies_are_bounded(self):
        async def scenario():
            node = Node(settings=LedgerSettings(bodies_max_bytes=2500))
            script = ScriptedDispatch(*[lambda call: answer(call, b"x" * 1000)] * 5)
            keys = node.ring.issue(5)
            for key in keys:
                await node.ledger.submit(call_of(key, key), script)
            again = [
                describe_reply(
                    await node.ledger.submit(call_of(key, "again" + key), script)
                )
                for key in (keys[0], keys[4])
            ]
            return node.ledger.stats()["body_bytes"] <= 2500, again

        expected = (True, ["answer-unavailable/run", 201])
        self.assertEqual(run_virtual(scenario()), expected)


class KeyTests(unittest.TestCase):
    """Guards against forged keys and against false outcomes for invalid ones."""

    @params(
        ("valid", lambda key: key, None),
        ("no prefix", lambda key: key[1:], Outcome.NOT_RUN),
        ("too few fields", lambda key: "dk1.n.1.2." + "0" * 32, Outcome.NOT_RUN),
        ("serial changed", lambda key: key.replace(".1.1.", ".1.2."), Outcome.UNKNOWN),
        ("signature cut", lambda key: key[:-1], Outcome.NOT_RUN),
        ("signature wrong", lambda key: key[:-1] + "g", Outcome.UNKNOWN),
        ("not a number", lambda key: key.replace(".1.1.", ".1.²."), Outcome.NOT_RUN),
        ("too long", lambda key: key + "0" * 300, Outcome.NOT_RUN),
    )
    def test_parse(self, _name, change, outcome):
        async def scenario():
            ring = Node("10.0.0.1").ring
            return ring.parse(change(ring.issue(1)[0]))

        parsed = run_virtual(scenario())
        self.assertEqual(getattr(parsed, "outcome", None), outcome)
        if outcome is None:
            self.assertEqual(parsed.issuer, ("10.0.0.1", 1))

    def test_invalid_settings_are_rejected(self):
        for text in (b'{"entries_max": 0}', b'{"entry_max": 5}'):
            with self.assertRaises(msgspec.ValidationError):
                msgspec.json.decode(text, type=LedgerSettings)
