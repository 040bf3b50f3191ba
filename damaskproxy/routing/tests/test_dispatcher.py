"""Which attempts are retried, and which outcome a caller receives."""

import asyncio
import random
import unittest

from nose2.tools import params

from damaskproxy.common import Outcome, Refusal, RefusalReason, RetryReason
from damaskproxy.quarantine import SuspectPermit
from damaskproxy.retries import RetryBudget
from damaskproxy.routing import Dispatcher, PeerError, StreamLostError, retry_reason
from damaskproxy.routing.tests.builders import make_call, make_member
from damaskproxy.wire import Answer, Refused

NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN


class RetryReasonTests(unittest.TestCase):
    """Guards against running non-idempotent calls twice and against useless retries."""

    @params(
        (
            RefusalReason.LEAVING,
            NOT_RUN,
            RetryReason.NOT_STARTED,
            RetryReason.NOT_STARTED,
        ),
        (
            RefusalReason.BACKEND_UNREACHABLE,
            NOT_RUN,
            RetryReason.BACKEND_UNREACHABLE,
            RetryReason.BACKEND_UNREACHABLE,
        ),
        (
            RefusalReason.BACKEND_SHED,
            NOT_RUN,
            RetryReason.BACKEND_SHED,
            RetryReason.BACKEND_SHED,
        ),
        (RefusalReason.BACKEND_DIED, UNKNOWN, RetryReason.BACKEND_DIED, None),
        (RefusalReason.PEER_LOST, UNKNOWN, RetryReason.PEER_LOST, None),
        (RefusalReason.BACKEND_ERROR, UNKNOWN, None, None),
        (RefusalReason.DEADLINE_PASSED, UNKNOWN, None, None),
        (RefusalReason.DEADLINE_PASSED, NOT_RUN, None, None),
        (RefusalReason.QUARANTINED, NOT_RUN, None, None),
        (RefusalReason.OVERLOAD_DEADLINE, NOT_RUN, None, None),
        (RefusalReason.START_BY_PASSED, NOT_RUN, None, None),
    )
    def test_reason(self, reason, outcome, idempotent, non_idempotent):
        result = Refused("a", reason, outcome)
        self.assertEqual(retry_reason(result, idempotent=True), idempotent)
        self.assertEqual(retry_reason(result, idempotent=False), non_idempotent)


class FakeMembership:
    """Membership with three members of one service, besides this node."""

    def __init__(self):
        self.members = [make_member(f"node-{i}") for i in range(3)]

    def serving(self, service):
        return self.members

    def self_member(self):
        return make_member("entry")


class FakeBalancer:
    """Balancer that chooses the first member that was not tried."""

    def __init__(self):
        self.results = []
        self.delay_s = None
        self.slow = True
        self.early = None

    def is_slow(self, member):
        return self.slow

    def choose(self, service, members, *, exclude):
        usable = [m for m in members if m.node_id not in exclude]
        return usable[0] if usable else Refusal(RefusalReason.NO_BACKEND, NOT_RUN)

    def early_refusal(self, member, priority, ordinal):
        return self.early if member.node_id != "node-0" else None

    def hedge_delay_s(self, service, route):
        return self.delay_s

    def started(self, member):
        pass

    def finished(self, member, *, elapsed_s, result, load, route):
        self.results.append(result)


class FakeQuarantine:
    """Quarantine that suspects every call after the first crash."""

    def __init__(self):
        self.suspected_on = []
        self.quarantined_on = []

    def identity(self, call):
        return "identity"

    def check(self, call):
        if not self.suspected_on:
            return None
        return SuspectPermit("identity", frozenset(self.suspected_on))

    def add_suspects(self, identities, *, server):
        self.suspected_on.append(server)

    def quarantine_suspect(self, suspect, *, server):
        self.quarantined_on.append(server)


class FakeStreams:
    """Streams that return scripted results and raise scripted exceptions."""

    def __init__(self, script):
        self.script = list(script)
        self.sent = []

    async def call(self, member, call):
        self.sent.append((member.node_id, call))
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        if isinstance(step, Answer):
            return Answer(call.attempt_id, step.status, [], b"", call.retry_tokens)
        reason, outcome = step
        return Refused(call.attempt_id, reason, outcome, tokens_left=call.retry_tokens)


def make_dispatcher(script):
    """Return a dispatcher, its scripted streams and the list of retry reasons."""
    streams = FakeStreams(script)
    retries = []
    dispatcher = Dispatcher(
        FakeMembership(),
        FakeBalancer(),
        streams,
        None,
        FakeQuarantine(),
        RetryBudget(),
        lambda: 0.0,
        random.Random(1),
        retries.append,
    )
    return dispatcher, streams, retries


OK = Answer("", 200, [], b"")
LEAVING = (RefusalReason.LEAVING, NOT_RUN)
DIED = (RefusalReason.BACKEND_DIED, UNKNOWN)
FULL = (RefusalReason.OVERLOAD_QUEUE_FULL, NOT_RUN)


class DispatcherTests(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong outcomes after lost responses and refusals."""

    @params(
        # name, idempotent, script, attempts, result
        ("response", True, [OK], 1, 200),
        ("leaving, then a response", False, [LEAVING, OK], 2, 200),
        ("crashed, idempotent", True, [DIED, OK], 2, 200),
        ("crashed, non-idempotent", False, [DIED], 1, RefusalReason.BACKEND_DIED),
        ("not sent", False, [PeerError("x"), OK], 2, 200),
        ("stream lost, idempotent", True, [StreamLostError("x"), OK], 2, 200),
        ("stream lost, resumed", False, [StreamLostError("x"), OK], 2, 200),
        (
            "stream lost, then unreachable",
            False,
            [StreamLostError("x"), PeerError("x")],
            2,
            RefusalReason.PEER_LOST,
        ),
        ("overloaded twice", True, [FULL, FULL], 2, RefusalReason.OVERLOAD_QUEUE_FULL),
        ("all members tried", True, [LEAVING] * 3, 3, RefusalReason.LEAVING),
    )
    async def test_script(self, _name, idempotent, script, attempts, expected):
        dispatcher, streams, _ = make_dispatcher(script)
        result = await dispatcher.send(make_call(idempotent=idempotent))
        self.assertEqual(len(streams.sent), attempts)
        if isinstance(result, Answer):
            self.assertEqual(result.status, expected)
        else:
            self.assertEqual(result.reason, expected)

    async def test_resumed_attempt_keeps_its_attempt_id(self):
        """A frame that is retransmitted with a new attempt id would run twice."""
        dispatcher, streams, _ = make_dispatcher([StreamLostError("x"), OK])
        await dispatcher.send(make_call(idempotent=False))
        (first, call), (second, retransmitted) = streams.sent
        self.assertEqual((first, call.attempt_id), (second, retransmitted.attempt_id))

    async def test_outcome_of_an_unreachable_peer_after_a_lost_stream_is_unknown(self):
        """After a failed reconnection, the frame sent before may still have run."""
        script = [StreamLostError("x"), PeerError("x")]
        dispatcher, _, _ = make_dispatcher(script)
        result = await dispatcher.send(make_call(idempotent=False))
        self.assertEqual(result.outcome, UNKNOWN)

    @params((DIED, LEAVING, LEAVING), (StreamLostError("x"), FULL, FULL))
    async def test_outcome_of_a_refusal_after_a_lost_attempt_is_unknown(self, *script):
        """The last attempt was not run, but an earlier one may have been."""
        dispatcher, _, _ = make_dispatcher(script)
        result = await dispatcher.send(make_call(idempotent=True))
        self.assertEqual(result.outcome, UNKNOWN)

    async def test_outcome_of_a_quarantine_after_a_crash_is_unknown(self):
        """The attempt that made the request a suspect has run."""
        dispatcher, _, _ = make_dispatcher([DIED])
        checks = [None, Refusal(RefusalReason.QUARANTINED, NOT_RUN)]
        dispatcher._quarantine.check = lambda call: checks.pop(0)
        result = await dispatcher.send(make_call(idempotent=True))
        self.assertEqual(result.outcome, UNKNOWN)

    @params((DIED, FULL), (FULL, DIED))
    async def test_refusals_of_a_hedged_call_are_combined(self, *script):
        """The outcome is "not run" only if neither of the two attempts has run."""
        dispatcher, _, _ = make_dispatcher(script)
        dispatcher._balancer.hedge_delay_s = lambda service, route: 0.0
        call = make_call(idempotent=True, retry_tokens=1)
        result = await dispatcher.send(call)
        self.assertEqual(result.outcome, UNKNOWN)

    @params((0, 1), (1, 2), (2, 3), (5, 3))
    async def test_attempts_are_bounded_by_tokens(self, tokens, attempts):
        dispatcher, streams, retries = make_dispatcher([LEAVING] * 6)
        call = make_call(idempotent=True, retry_tokens=tokens)
        result = await dispatcher.send(call)
        self.assertEqual(len(streams.sent), attempts)
        self.assertEqual(result.tokens_left, tokens - len(retries))

    async def test_tokens_of_a_lost_response_are_lost(self):
        """The callees of a lost attempt may still use the tokens lent to it."""
        dispatcher, streams, _ = make_dispatcher([StreamLostError("x"), OK])
        result = await dispatcher.send(make_call(idempotent=True, retry_tokens=4))
        self.assertEqual(streams.sent[0][1].retry_tokens, 3)
        self.assertEqual(result.tokens_left, 0)

    async def test_crash_makes_the_call_a_suspect(self):
        """Retries must not send a poison request to a third server."""
        dispatcher, streams, _ = make_dispatcher([DIED, DIED, OK])
        dispatcher._quarantine.quarantine_suspect = lambda suspect, *, server: setattr(
            dispatcher._quarantine,
            "check",
            lambda call: Refusal(RefusalReason.QUARANTINED, NOT_RUN),
        )
        result = await dispatcher.send(make_call(idempotent=True, retry_tokens=5))
        (first, _), (second, call) = streams.sent
        self.assertNotEqual(first, second)
        self.assertTrue(call.suspect)
        self.assertEqual((result.reason, result.outcome), ("quarantined", UNKNOWN))


REFUSED_EARLY = Refusal(RefusalReason.OVERLOAD_EARLY, NOT_RUN)


class HedgeTests(unittest.IsolatedAsyncioTestCase):
    """Guards against hedges that add load without any benefit."""

    @params(
        ("slow member", True, None, 2),
        ("long call on a responsive member", False, None, 1),
        ("other member overloaded", True, REFUSED_EARLY, 1),
    )
    async def test_hedge(self, _name, slow, early, attempts):
        dispatcher, streams, retries = make_dispatcher([])
        balancer = dispatcher._balancer
        balancer.delay_s, balancer.slow, balancer.early = 0.0, slow, early
        release = asyncio.Event()

        async def answer(member, call):
            streams.sent.append((member.node_id, call))
            if member.node_id == "node-0":
                await release.wait()
            else:
                release.set()
                await asyncio.sleep(0)
            return Answer(call.attempt_id, 200, [], b"", call.retry_tokens)

        streams.call = answer
        task = asyncio.create_task(dispatcher.send(make_call(idempotent=True)))
        # Without a hedge, the first attempt gets its response after the hedge delay.
        asyncio.get_running_loop().call_later(0.02, release.set)
        self.assertEqual((await task).status, 200)
        self.assertEqual((len(streams.sent), len(retries)), (attempts, attempts - 1))
