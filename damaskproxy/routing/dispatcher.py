"""Dispatch of a call to a backend server of its service, with retries and hedging."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from damaskproxy.balancing import Balancer
from damaskproxy.common import (
    Outcome,
    Refusal,
    RefusalReason,
    RetryReason,
    new_attempt_id,
)
from damaskproxy.membership import Membership
from damaskproxy.model import Member
from damaskproxy.quarantine import Quarantine, SuspectPermit
from damaskproxy.retries import RetryAllowance, RetryBudget
from damaskproxy.routing.errors import PeerError
from damaskproxy.routing.peer_stream import PeerStreams, StreamLostError
from damaskproxy.routing.results import refused_frame
from damaskproxy.routing.retry_rules import OVERLOAD_REASONS, retry_reason
from damaskproxy.routing.target import Target
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["Dispatcher"]

MS_PER_S = 1000
MAX_OVERLOAD_RETRIES = 1
# Share of the calls that is restricted to servers outside the data centres that the
# service leaves. Without it, the preference for the local data centre could keep those
# servers cold, and the others drain only once they are warm.
WARM_UP_SHARE = 0.25
# Streams that are tried in turn to obtain the result of one non-idempotent attempt.
RESUME_LIMIT = 3


@dataclass(slots=True)
class _Sending:
    """State of one dispatched call across its attempts."""

    call: Call
    deadline_s: float
    allowance: RetryAllowance
    tried: set[str] = field(default_factory=set)
    suspect_permit: SuspectPermit | None = None

    def suspect(self, suspect_permit: SuspectPermit) -> None:
        """Mark the call as suspect and avoid the servers that crashed while it ran."""
        self.suspect_permit = suspect_permit
        self.call = msgspec.structs.replace(self.call, suspect=True)
        self.tried |= suspect_permit.avoid


class Dispatcher:
    """Chooses backend servers for calls and retries attempts where that can help.

    Parameters
    ----------
    membership : Membership
        Provides the serving members of a service.
    balancer : Balancer
        Chooses one of them.
    streams : PeerStreams
        Streams to other nodes.
    target : Target
        Runs calls on the local backend server.
    quarantine : Quarantine
        Requests that are suspected of crashing backend servers.
    retry_budget : RetryBudget
        Limits the retries of each service.
    now_s : callable
        Monotonic clock.
    rng : random.Random
        Source of attempt ids.
    count_retry : callable
        Called with the reason of each retry and hedge.
    not_leaving : callable
        Returns the members of a service outside the data centres that it leaves.
    on_quarantine : callable
        Called after the quarantine records have changed.
    """

    def __init__(
        self,
        membership: Membership,
        balancer: Balancer,
        streams: PeerStreams,
        target: Target,
        quarantine: Quarantine,
        retry_budget: RetryBudget,
        now_s: Callable[[], float],
        rng: random.Random,
        count_retry: Callable[[RetryReason], None],
        not_leaving: Callable[[str, Sequence[Member]], Sequence[Member]] = (
            lambda service, members: members
        ),
        on_quarantine: Callable[[], None] = lambda: None,
    ):
        self._membership = membership
        self._balancer = balancer
        self._streams = streams
        self._target = target
        self._quarantine = quarantine
        self._retry_budget = retry_budget
        self._now_s = now_s
        self._rng = rng
        self._count_retry = count_retry
        self._not_leaving = not_leaving
        self._on_quarantine = on_quarantine

    async def send(self, call: Call) -> Answer | Refused:
        """Run `call` on a backend server of its service.

        Returns
        -------
        Answer or Refused
            With the remaining retry tokens.
        """
        deadline_s = self._now_s() + call.deadline_ms / MS_PER_S
        sending = _Sending(call, deadline_s, RetryAllowance(call.retry_tokens))
        self._retry_budget.first_attempt(call.service)
        overload_refusals = 0
        may_have_run = False
        while True:
            # A crash during the last attempt may have made the call a suspect.
            suspect_permit = self._quarantine.check(call)
            if isinstance(suspect_permit, Refusal):
                result = refused_frame(call, suspect_permit)
                return _final_refusal(result, sending.allowance, may_have_run)
            if suspect_permit is not None:
                sending.suspect(suspect_permit)
            result = await self._attempt(sending)
            if isinstance(result, Answer):
                return _with_tokens(result, sending.allowance)
            may_have_run |= result.outcome is not Outcome.NOT_RUN
            overload_refusals += result.reason in OVERLOAD_REASONS
            reason = retry_reason(result, idempotent=call.idempotent)
            if reason is None or overload_refusals > MAX_OVERLOAD_RETRIES:
                return _final_refusal(result, sending.allowance, may_have_run)
            if not self._may_retry(sending):
                return _final_refusal(result, sending.allowance, may_have_run)
            self._count_retry(reason)

    def _may_retry(self, sending: "_Sending") -> bool:
        if self._now_s() >= sending.deadline_s:
            return False
        service = sending.call.service
        members = self._membership.serving(service)
        if all(member.node_id in sending.tried for member in members):
            return False
        return self._retry_budget.allow(service) and sending.allowance.take()

    async def _attempt(self, sending: "_Sending") -> Answer | Refused:
        """Make one attempt, and a hedge if it takes longer than the hedge delay."""
        call = sending.call
        member = self._choose(sending)
        if isinstance(member, Refusal):
            return refused_frame(call, member)
        sending.tried.add(member.node_id)
        early = self._balancer.early_refusal(member, call.priority, call.ordinal)
        if early is not None:
            return refused_frame(call, early)
        delay_s = None
        if call.idempotent and sending.allowance.tokens and not call.suspect:
            delay_s = self._balancer.hedge_delay_s(call.service, call.route)
        if delay_s is None:
            return await self._exchange(member, self._new_attempt(sending), sending)
        return await self._hedged(member, delay_s, sending)

    def _choose(self, sending: "_Sending") -> Member | Refusal:
        call, tried = sending.call, sending.tried
        members = self._membership.serving(call.service)
        if sending.suspect_permit is not None:
            return self._choose_for_suspect(sending, members)
        not_leaving = self._not_leaving(call.service, members)
        if not_leaving is not members and self._rng.random() < WARM_UP_SHARE:
            usable = [member for member in not_leaving if member.node_id not in tried]
            members = usable or members
        return self._balancer.choose(call.service, members, exclude=tried)

    def _choose_for_suspect(self, sending, members) -> Member | Refusal:
        """Choose the server on which all dispatching nodes run this suspect."""
        usable = {m.node_id: m for m in members if m.node_id not in sending.tried}
        node_id = sending.suspect_permit.target(usable)
        if node_id is None:
            return Refusal(RefusalReason.NO_BACKEND, Outcome.NOT_RUN)
        return usable[node_id]

    def _new_attempt(self, sending: "_Sending") -> Call:
        """Return the call as a new attempt with its share of the retry tokens.

        Notes
        -----
        One token stays here, because the tokens lent to an attempt are lost if its
        response is lost.
        """
        call, allowance = sending.call, sending.allowance
        remaining_ms = max(0, int((sending.deadline_s - self._now_s()) * MS_PER_S))
        return msgspec.structs.replace(
            call,
            attempt_id=new_attempt_id(self._rng),
            deadline_ms=remaining_ms,
            start_by_ms=min(call.start_by_ms, remaining_ms),
            retry_tokens=allowance.lend(max(0, allowance.tokens - 1)),
        )

    async def _hedged(self, member, delay_s, sending) -> Answer | Refused:
        first = self._new_attempt(sending)
        task = asyncio.create_task(self._exchange(member, first, sending))
        second = None
        try:
            done, _ = await asyncio.wait({task}, timeout=delay_s)
            # If the member responds to other calls in time, this call is long-running
            # and a hedge would only add load.
            if done or not self._balancer.is_slow(member):
                return await task
            second = self._start_hedge(sending)
            if second is None:
                return await task
            return await _first_answer(task, second)
        finally:
            for pending in (task, second):
                if pending is not None and not pending.done():
                    pending.cancel()

    def _start_hedge(self, sending: "_Sending") -> asyncio.Task | None:
        call = sending.call
        other = self._choose(sending)
        if isinstance(other, Refusal):
            return None
        early = self._balancer.early_refusal(other, call.priority, call.ordinal)
        if early is not None:
            return None
        if not self._retry_budget.allow(call.service) or not sending.allowance.take():
            return None
        self._count_retry(RetryReason.SLOW)
        sending.tried.add(other.node_id)
        hedge = self._new_attempt(sending)
        return asyncio.create_task(self._exchange(other, hedge, sending))

    async def _exchange(self, member, call, sending) -> Answer | Refused:
        """Run one attempt on `member` and report its result to the balancer."""
        started_s = self._now_s()
        self._balancer.started(member)
        outcome, load = "failed", None
        try:
            result = await self._deliver(member, call, sending.deadline_s)
            load = result.load
            outcome = _balancer_result(result)
            sending.allowance.give_back(min(result.tokens_left, call.retry_tokens))
            self._record_crash(member, call, result)
            return result
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        finally:
            self._balancer.finished(
                member,
                elapsed_s=self._now_s() - started_s,
                result=outcome,
                load=load,
                route=call.route,
            )

    def _record_crash(self, member, call, result: Answer | Refused) -> None:
        """Mark the call as suspect at once, before the other node reports the crash."""
        if isinstance(result, Answer) or result.reason != RefusalReason.BACKEND_DIED:
            return
        identity = self._quarantine.identity(call)
        if call.suspect:
            self._quarantine.quarantine_suspect(
                SuspectPermit(identity), server=member.node_id
            )
        else:
            self._quarantine.add_suspects([identity], server=member.node_id)
        self._on_quarantine()

    async def _deliver(self, member, call, deadline_s) -> Answer | Refused:
        if member.node_id == self._membership.self_member().node_id:
            return await self._target.run(call)
        if not call.idempotent:
            return await self._deliver_once(member, call, deadline_s)
        try:
            async with asyncio.timeout(max(0.0, deadline_s - self._now_s())):
                return await self._streams.call(member, call)
        except TimeoutError:
            return _outcome_unknown(
                call, RefusalReason.DEADLINE_PASSED, "no answer in time"
            )
        except StreamLostError as error:
            return _outcome_unknown(call, RefusalReason.PEER_LOST, str(error))
        except PeerError as error:
            return _not_sent(call, str(error))

    async def _deliver_once(self, member, call, deadline_s) -> Answer | Refused:
        """Deliver a non-idempotent call and wait until its outcome is known.

        Notes
        -----
        The target node retains the result of each attempt. When the stream breaks, the
        frame is retransmitted over a new stream and receives that result. There is no
        time-out, since the stream is closed when the membership declares the node dead.
        """
        may_have_started = False
        for _ in range(RESUME_LIMIT):
            try:
                return await self._streams.call(member, call)
            except StreamLostError:
                may_have_started = True
            except PeerError as error:
                if may_have_started:
                    return _outcome_unknown(call, RefusalReason.PEER_LOST, str(error))
                return _not_sent(call, str(error))
            remaining_ms = max(0, int((deadline_s - self._now_s()) * MS_PER_S))
            call = msgspec.structs.replace(
                call,
                deadline_ms=remaining_ms,
                start_by_ms=min(call.start_by_ms, remaining_ms),
            )
        return _outcome_unknown(
            call, RefusalReason.PEER_LOST, "the stream broke repeatedly"
        )


async def _first_answer(first: asyncio.Task, second: asyncio.Task):
    """Return the first response of two attempts, or a refusal valid for both."""
    pending = {first, second}
    refusals = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            result = task.result()
            if isinstance(result, Answer):
                return result
            refusals.append(result)
    # The outcome is "not run" only if that holds for both attempts.
    return max(refusals, key=lambda refusal: refusal.outcome is not Outcome.NOT_RUN)


def _balancer_result(result: Answer | Refused) -> str:
    if isinstance(result, Answer):
        return "ok"
    return "refused" if result.outcome is Outcome.NOT_RUN else "failed"


def _outcome_unknown(call: Call, reason: RefusalReason, detail: str) -> Refused:
    return refused_frame(call, Refusal(reason, Outcome.UNKNOWN, detail=detail))


def _not_sent(call: Call, detail: str) -> Refused:
    refusal = Refusal(RefusalReason.PEER_LOST, Outcome.NOT_RUN, detail=detail)
    return refused_frame(call, refusal, tokens_left=call.retry_tokens)


def _final_refusal(
    result: Refused, allowance: RetryAllowance, may_have_run: bool
) -> Refused:
    """Return the refusal of a call with an outcome that covers all its attempts."""
    if may_have_run and result.outcome is Outcome.NOT_RUN:
        result = msgspec.structs.replace(result, outcome=Outcome.UNKNOWN)
    return _with_tokens(result, allowance)


def _with_tokens(
    result: Answer | Refused, allowance: RetryAllowance
) -> Answer | Refused:
    return msgspec.structs.replace(result, tokens_left=allowance.tokens)
