"""Admission controller of one backend server."""

import asyncio
import logging
import math
from collections.abc import Callable

from damaskproxy.admission import events
from damaskproxy.admission.costs import RouteCosts
from damaskproxy.admission.level import AdmissionLevel
from damaskproxy.admission.limit import ConcurrencyLimit
from damaskproxy.admission.queue import CallQueue, QueuedCall
from damaskproxy.admission.rate import RateLimit
from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.admission.tickets import LEVEL_COUNT, Permit, Ticket
from damaskproxy.admission.waits import WaitEstimate
from damaskproxy.admission.window import ReviewWindow
from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.common.ids import ORDINAL_COUNT
from damaskproxy.events import log_event
from damaskproxy.wire import Load

__all__ = ["AdmissionController"]

logger = logging.getLogger(__name__)

IDLE_SHARE = 0.5
BEGUN_MARGIN = ORDINAL_COUNT
"""Positions by which calls of begun requests may exceed the level. When it falls,
requests are in progress that were begun at any position of the class that it cuts."""


class AdmissionController:
    """Decides which calls run on the backend server, are queued or are refused.

    Parameters
    ----------
    slots : int
        Requests that the backend server announces to run concurrently.
    now_s : callable
        Returns the time of a monotonic clock, seconds.
    settings : AdmissionSettings, optional
        Defaults when omitted.

    Notes
    -----
    All methods run in the event loop without blocking. The state changes only in these
    methods, so no background task is needed.
    """

    def __init__(
        self,
        slots: int,
        *,
        now_s: Callable[[], float],
        settings: AdmissionSettings | None = None,
    ):
        self._settings = settings or AdmissionSettings()
        self._now_s = now_s
        self._slots = slots
        self._limit = ConcurrencyLimit(slots, self._settings)
        self._level = AdmissionLevel(self._settings)
        self._costs = RouteCosts(self._settings)
        self._queue = CallQueue()
        self._rate: RateLimit | None = None
        self._rate_timer: asyncio.TimerHandle | None = None
        self._in_flight = 0
        self._long_in_flight = 0
        self._newest_first = False
        self._latency_s = 0.0
        self._waits = WaitEstimate(self._settings, self._costs, now_s())
        self._window = ReviewWindow(self._settings)
        self._restart_window(now_s())

    def try_acquire(self, ticket: Ticket) -> Permit | Refusal | None:
        """Admit, queue or refuse a call without waiting.

        Returns
        -------
        Permit or Refusal or None
            None when the call has to be queued; `acquire` then must be awaited with
            ``counted=True``.
        """
        now_s = self._now_s()
        if now_s >= self._window.end_s:
            self._review(now_s)
        position = ticket.priority * ORDINAL_COUNT + ticket.ordinal
        self._level.record_arrival(position)
        if now_s >= ticket.deadline_s:
            return _refusal(RefusalReason.DEADLINE_PASSED)
        if now_s >= ticket.start_by_s:
            return _refusal(RefusalReason.START_BY_PASSED)
        in_flight = self._in_flight
        limit = self._limit.value
        margin = BEGUN_MARGIN if ticket.has_begun else 0
        is_beyond_level = position - margin >= self._level.value
        if is_beyond_level and in_flight >= limit * IDLE_SHARE:
            return _refusal(RefusalReason.OVERLOAD_LEVEL, self._retry_after_ms())
        cost = self._costs.get(ticket.route)
        is_long = ticket.long_work_hint or (cost is not None and cost.is_long)
        is_free = in_flight < limit and not self._queue and not self._rate_wait_s(now_s)
        if is_free and (not is_long or self._long_may_start(is_short_waiting=False)):
            self._waits.last_progress_s = now_s
            return self._grant(ticket.route, is_long, 0.0)
        return self._refuse_or_wait(ticket, cost, now_s)

    async def acquire(
        self, ticket: Ticket, *, counted: bool = False
    ) -> Permit | Refusal:
        """Wait for a permit.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the call.
        counted : bool
            Whether `try_acquire` has just returned None for this ticket, and has thus
            counted its arrival.
        """
        if not counted:
            decision = self.try_acquire(ticket)
            if decision is not None:
                return decision
        call = self._enqueue(ticket)
        timer = self._start_timer(call)
        try:
            return await call.future
        except asyncio.CancelledError:
            self._withdraw(call)
            raise
        finally:
            timer.cancel()

    def release(
        self,
        permit: Permit,
        *,
        elapsed_s: float,
        ok: bool,
        outbound_s: float = 0.0,
    ) -> None:
        """Return a permit and start the next queued calls.

        Parameters
        ----------
        permit : Permit
            Permit from `try_acquire` or `acquire`.
        elapsed_s : float
            Time that the backend server took.
        ok : bool
            Whether it responded; other times say nothing about its speed.
        outbound_s : float
            Part of `elapsed_s` in which it waited for its callees. The concurrency
            limit ignores this part, since a lower limit would not make them faster.
        """
        if permit.released:
            return
        permit.released = True
        self._in_flight -= 1
        self._long_in_flight -= permit.is_long
        now_s = self._now_s()
        self._waits.last_progress_s = now_s
        if ok:
            self._record_costs(permit, elapsed_s, outbound_s)
        if now_s >= self._window.end_s:
            self._review(now_s)
        self._start_queued_calls(now_s)

    def load(self) -> Load:
        """Return the load that is sent with each response."""
        now_s = self._now_s()
        if now_s >= self._window.end_s:
            self._review(now_s)
        return Load(
            in_flight=self._in_flight,
            queued=len(self._queue),
            limit=self._sustained_limit(),
            level=self._level.value,
            latency_ms=self._latency_s * 1000,
        )

    def set_slots(self, slots: int) -> None:
        """Apply a new number of slots announced by the backend server."""
        if slots == self._slots:
            return
        log_event(logger, events.SLOTS_CHANGED, before=self._slots, now=slots)
        self._slots = slots
        self._limit.set_slots(slots)
        self._start_queued_calls(self._now_s())

    def set_rate(self, per_s: float | None) -> None:
        """Apply a limit on the calls per second, None for no limit."""
        now_s = self._now_s()
        if per_s is None:
            self._rate = None
        elif self._rate is None:
            self._rate = RateLimit(per_s, now_s)
        else:
            self._rate.set_rate(per_s)
        self._start_queued_calls(now_s)

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all queued calls with `refusal`."""
        for call in self._queue.calls():
            self._refuse_queued_call(call, refusal)

    def _sustained_limit(self) -> int:
        """Return the calls that may run at once, given the calls per second."""
        limit = self._limit.value
        if self._rate is None:
            return limit
        return min(limit, max(1, math.ceil(self._rate.per_s * self._latency_s)))

    def _rate_wait_s(self, now_s: float) -> float:
        """Return the time until the rate allows another call, 0 if it does now."""
        return 0.0 if self._rate is None else self._rate.wait_s(now_s)

    def _grant(self, route: str, is_long: bool, waited_s: float) -> Permit:
        if self._rate is not None:
            self._rate.take(self._now_s())
        self._in_flight += 1
        self._long_in_flight += is_long
        self._level.record_start()
        if waited_s < self._window.min_wait_s:
            self._window.min_wait_s = waited_s
        if self._in_flight >= self._limit.value:
            self._window.was_full = True
        return Permit(route, is_long, waited_s)

    def _long_may_start(self, *, is_short_waiting: bool) -> bool:
        limit = self._limit.value
        if self._long_in_flight < max(1.0, limit * self._settings.long_share):
            return True
        if is_short_waiting:
            return False
        reserve = min(limit - 1, math.ceil(limit * self._settings.long_reserve))
        return self._in_flight < limit - reserve

    def _refuse_or_wait(self, ticket, cost, now_s) -> Refusal | None:
        wait_s = self._expected_wait_s(ticket, now_s)
        if wait_s > self._waits.max_s():
            self._window.has_refused = True
            reason = RefusalReason.OVERLOAD_QUEUE_FULL
            return _refusal(reason, self._retry_after_ms())
        if not self._settings.expected_time_check or cost is None:
            return None
        if now_s + wait_s + cost.median_s > ticket.deadline_s:
            self._window.has_refused = True
            reason = RefusalReason.OVERLOAD_DEADLINE
            return _refusal(reason, self._retry_after_ms())
        return None

    def _expected_wait_s(self, ticket: Ticket, now_s: float) -> float:
        """Return the expected time in the queue."""
        newest_first = self._newest_first
        ahead = self._queue.ahead_of(ticket, newest_first=newest_first) + 1
        if self._rate is not None and self._in_flight < self._limit.value:
            return self._rate.wait_s(now_s) + (ahead - 1) / self._rate.per_s
        return ahead * self._waits.release_interval_s(self._limit.value, now_s)

    def _enqueue(self, ticket: Ticket) -> QueuedCall:
        future = asyncio.get_running_loop().create_future()
        cost = self._costs.get(ticket.route)
        is_long = ticket.long_work_hint or (cost is not None and cost.is_long)
        call = QueuedCall(ticket, future, self._now_s(), is_long)
        self._queue.push(call)
        if len(self._queue) > self._max_queue_length():
            self._window.has_refused = True
            last = self._queue.last(newest_first=self._newest_first)
            reason = RefusalReason.OVERLOAD_QUEUE_FULL
            self._refuse_queued_call(last, _refusal(reason, self._retry_after_ms()))
        self._start_queued_calls(call.queued_at_s)
        return call

    def _max_queue_length(self) -> float:
        per_slot = self._limit.value * self._settings.queue_per_slot
        return max(self._settings.queue_min, per_slot)

    def _start_timer(self, call: QueuedCall) -> asyncio.TimerHandle:
        delay_s = max(0.0, self._latest_start_s(call.ticket) - call.queued_at_s)
        loop = asyncio.get_running_loop()
        return loop.call_later(delay_s, self._expire, call)

    def _latest_start_s(self, ticket: Ticket) -> float:
        latest_s = min(ticket.deadline_s, ticket.start_by_s)
        cost = self._costs.get(ticket.route)
        if self._settings.expected_time_check and cost is not None:
            latest_s = min(latest_s, ticket.deadline_s - cost.median_s)
        return latest_s

    def _expire(self, call: QueuedCall) -> None:
        if not call.is_queued:
            return
        self._window.has_refused = True
        now_s = self._now_s()
        reason = RefusalReason.OVERLOAD_DEADLINE
        if now_s >= call.ticket.deadline_s:
            reason = RefusalReason.DEADLINE_PASSED
        elif now_s >= call.ticket.start_by_s:
            reason = RefusalReason.START_BY_PASSED
        self._refuse_queued_call(call, _refusal(reason))

    def _refuse_queued_call(self, call: QueuedCall, refusal: Refusal) -> None:
        self._queue.remove(call)
        if not call.future.done():
            call.future.set_result(refusal)

    def _withdraw(self, call: QueuedCall) -> None:
        """Remove a cancelled call, and release a permit that it was granted."""
        self._queue.remove(call)
        future = call.future
        if future.done() and not future.cancelled():
            permit = future.result()
            if isinstance(permit, Permit):
                self.release(permit, elapsed_s=0.0, ok=False)

    def _start_queued_calls(self, now_s: float) -> None:
        while self._queue and self._in_flight < self._limit.value:
            rate_wait_s = self._rate_wait_s(now_s)
            if rate_wait_s > 0:
                self._start_rate_timer(rate_wait_s)
                return
            call = self._next_call()
            if call is None:
                return
            if now_s >= self._latest_start_s(call.ticket):
                self._expire(call)
                continue
            self._queue.remove(call)
            if call.future.done():
                continue
            waited_s = now_s - call.queued_at_s
            permit = self._grant(call.ticket.route, call.is_long, waited_s)
            call.future.set_result(permit)

    def _start_rate_timer(self, delay_s: float) -> None:
        if self._rate_timer is None:
            loop = asyncio.get_running_loop()
            self._rate_timer = loop.call_later(delay_s, self._rate_allows_call)

    def _rate_allows_call(self) -> None:
        self._rate_timer = None
        self._start_queued_calls(self._now_s())

    def _next_call(self) -> QueuedCall | None:
        is_short_waiting = self._queue.short_count > 0
        short_only = not self._long_may_start(is_short_waiting=is_short_waiting)
        return self._queue.first(newest_first=self._newest_first, short_only=short_only)

    def _record_costs(
        self, permit: Permit, elapsed_s: float, outbound_s: float
    ) -> None:
        cost = self._costs.add(permit.route, elapsed_s)
        self._latency_s += (elapsed_s - self._latency_s) * 0.1
        self_time_s = max(elapsed_s - outbound_s, 0.0)
        if outbound_s:
            cost = self._costs.add_self_time(permit.route, self_time_s)
        self._limit.add(cost.median_s / cost.floor_s)

    def _review(self, now_s: float) -> None:
        """Update concurrency limit and admission level at the end of a window."""
        window = self._window
        overloaded, calm = window.assess(
            self._costs.typical_s, self._queue, is_rate_limited=self._rate is not None
        )
        level_before = self._level.value
        self._level.review(now_s - window.start_s, overloaded=overloaded, calm=calm)
        self._limit.review(now_s, saturated=window.was_full)
        self._newest_first = self._settings.newest_first and overloaded
        self._log_level_change(level_before)
        self._restart_window(now_s)

    def _restart_window(self, now_s: float) -> None:
        is_full = self._in_flight >= self._limit.value
        self._window.restart(now_s, self._costs.typical_s, is_full=is_full)

    def _log_level_change(self, before: int) -> None:
        now = self._level.value
        if now < LEVEL_COUNT <= before:
            log_event(logger, events.OVERLOAD_BEGAN, level=now)
        elif before < LEVEL_COUNT <= now:
            log_event(logger, events.OVERLOAD_ENDED)

    def _retry_after_ms(self) -> int:
        return self._settings.interval_ms * 2


def _refusal(reason: RefusalReason, retry_after_ms: int = 0) -> Refusal:
    return Refusal(reason, Outcome.NOT_RUN, retry_after_ms)
