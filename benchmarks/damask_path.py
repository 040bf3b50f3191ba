"""Path of a call through the overload control of damaskproxy, without sockets."""

import asyncio

from benchmarks.fakes import Reply, Request
from benchmarks.mesh import SERVICES, Mesh, Server, refused
from damaskproxy.admission import Permit, Ticket
from damaskproxy.common import Outcome
from damaskproxy.retries import RetryAllowance

__all__ = ["send"]

QUARANTINE_CRASHES = 2
RETRIED_AFTER_START = ("backend-died",)
NEVER_RETRIED = ("deadline-passed", "start-by-passed", "quarantined", "backend-error")
HEDGE_DELAY_MIN_S = 0.002


async def send(mesh: Mesh, entry: Server, request: Request) -> Reply:
    """Send a root request through `entry` and return the reply to the caller."""
    deadline_s = mesh.now_s() + request.deadline_s
    if request.idempotent:
        return await _with_deadline(
            _root(mesh, entry, request, deadline_s), deadline_s, mesh
        )
    record = mesh.records.get(request.request_id)
    if record is None:
        # An order that has started continues when its caller stops waiting.
        record = asyncio.ensure_future(_root(mesh, entry, request, deadline_s))
        mesh.records[request.request_id] = record
        record.add_done_callback(lambda done: _remove_if_not_run(mesh, request, done))
    return await _with_deadline(asyncio.shield(record), deadline_s, mesh)


def _remove_if_not_run(mesh: Mesh, request: Request, done: asyncio.Future) -> None:
    if done.cancelled() or done.result().outcome is Outcome.NOT_RUN:
        mesh.records.pop(request.request_id, None)


async def _with_deadline(awaitable, deadline_s: float, mesh: Mesh) -> Reply:
    try:
        return await asyncio.wait_for(awaitable, max(0.0, deadline_s - mesh.now_s()))
    except TimeoutError:
        return Reply(False, "deadline-passed", Outcome.UNKNOWN)


async def _root(mesh, entry, request, deadline_s) -> Reply:
    allowance = RetryAllowance(mesh.settings.retry_allowance)
    return await _dispatch(mesh, entry, request, 0, deadline_s, allowance)


async def _dispatch(
    mesh: Mesh,
    node: Server,
    request: Request,
    hop: int,
    deadline_s: float,
    allowance: RetryAllowance,
) -> Reply:
    """Choose backend servers for a call, and send, retry and hedge it."""
    service = SERVICES[hop]
    tried: frozenset[str] = frozenset()
    overload_retries = 1
    node.retry_budget.first_attempt(service)
    while True:
        if mesh.crash_counts[request.request_id] >= QUARANTINE_CRASHES:
            return Reply(False, "quarantined", Outcome.NOT_RUN)
        target = _choose(mesh, node, request, service, tried)
        if not isinstance(target, Server):
            return target
        tried |= {target.member.node_id}
        reply = await _hedged(mesh, node, target, request, deadline_s, allowance, tried)
        if reply.ok or reply.reason in NEVER_RETRIED:
            return reply
        if reply.reason.startswith("overload"):
            overload_retries -= 1
        if overload_retries < 0 or not _may_retry(request, reply):
            return reply
        if not _take_retry(node, service, request, allowance):
            return reply


def _may_retry(request: Request, reply: Reply) -> bool:
    if reply.outcome is Outcome.NOT_RUN:
        return True
    return request.idempotent and reply.reason in RETRIED_AFTER_START


def _take_retry(node: Server, service: str, request: Request, allowance) -> bool:
    if allowance.tokens < 1 or not node.retry_budget.allow(service):
        return False
    request.retries += 1
    return allowance.take()


def _choose(mesh, node, request, service, tried):
    """Return the target, or a refusal if none is available.

    The refusal is early if the two members chosen first would refuse the call.
    """
    refusal = None
    for _ in range(2):
        member = node.balancer.choose(service, mesh.members(service), exclude=tried)
        if not member:
            return refusal or refused(member)
        early = node.balancer.early_refusal(member, request.priority, request.ordinal)
        if early is None:
            return mesh.by_id[member.node_id]
        refusal = refused(early)
        tried |= {member.node_id}
    return refusal


async def _hedged(mesh, node, target, request, deadline_s, allowance, tried) -> Reply:
    service = target.member.service
    delay_s = node.balancer.hedge_delay_s(service, request.route)
    is_suspect = mesh.crash_counts[request.request_id] > 0
    if delay_s is None or not request.idempotent or not mesh.settings.hedging:
        return await _attempt(mesh, node, target, request, deadline_s, allowance)
    if is_suspect:
        return await _attempt(mesh, node, target, request, deadline_s, allowance)
    first = asyncio.ensure_future(
        _attempt(mesh, node, target, request, deadline_s, allowance)
    )
    attempts = [first]
    try:
        await asyncio.wait(attempts, timeout=max(HEDGE_DELAY_MIN_S, delay_s))
        if first.done():
            return first.result()
        second = None
        if node.balancer.is_slow(target.member):
            second = _choose(mesh, node, request, service, tried)
        if isinstance(second, Server) and _take_retry(
            node, service, request, allowance
        ):
            attempts.append(
                asyncio.ensure_future(
                    _attempt(mesh, node, second, request, deadline_s, allowance)
                )
            )
        return await _first_success(attempts)
    finally:
        for attempt in attempts:
            attempt.cancel()


async def _first_success(attempts: set[asyncio.Task]) -> Reply:
    waiting = set(attempts)
    while True:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        replies = [task.result() for task in done]
        successful = [reply for reply in replies if reply.ok]
        if successful or not waiting:
            return (successful or replies)[0]


async def _attempt(mesh, node, target, request, deadline_s, allowance) -> Reply:
    """Send one attempt; the sender keeps one retry token for its own retry."""
    lent_tokens = allowance.lend(allowance.tokens - 1)
    began_s = mesh.now_s()
    node.balancer.started(target.member)
    result, load = "cancelled", None
    distance_s = node.distance_s(target)
    try:
        await asyncio.sleep(distance_s)
        if mesh.crash_counts[request.request_id]:
            # A node runs one suspect request at a time.
            async with target.suspect_permit:
                reply = await _serve(mesh, target, request, deadline_s, lent_tokens)
        else:
            reply = await _serve(mesh, target, request, deadline_s, lent_tokens)
        await asyncio.sleep(distance_s)
        allowance.give_back(reply.tokens_left)
        result, load = _result_of(reply), reply.load
        return reply
    finally:
        node.balancer.finished(
            target.member,
            elapsed_s=mesh.now_s() - began_s,
            result=result,
            load=load,
            route=request.route,
        )


def _result_of(reply: Reply) -> str:
    if reply.ok or reply.outcome is Outcome.RUN:
        return "ok"
    is_failure = reply.reason in ("backend-died", "backend-unreachable")
    return "failed" if is_failure else "refused"


async def _serve(mesh, target, request, deadline_s, tokens) -> Reply:
    """Admit and run a call on the node of the target backend server."""
    admission = target.admission
    ticket = Ticket(request.priority, request.ordinal, request.route, deadline_s)
    permit = admission.try_acquire(ticket)
    if permit is None:
        permit = await admission.acquire(ticket, counted=True)
    if not isinstance(permit, Permit):
        mesh.reasons[str(permit.reason)] += 1
        reply = refused(permit)
        reply.tokens_left = tokens
    else:
        reply = await _run(mesh, target, request, deadline_s, tokens, permit)
    reply.load = _report(mesh, target)
    return reply


async def _run(mesh, target, request, deadline_s, tokens, permit) -> Reply:
    allowance = RetryAllowance(tokens)
    began_s = mesh.now_s()
    reply = None

    async def outbound() -> Reply:
        hop = target.hop + 1
        if hop == len(SERVICES):
            return Reply(True)
        return await _dispatch(mesh, target, request, hop, deadline_s, allowance)

    try:
        reply = await target.backend.run(request, target.hop, outbound)
    finally:
        target.admission.release(
            permit,
            elapsed_s=mesh.now_s() - began_s,
            ok=reply is not None and reply.ok,
            outbound_s=reply.outbound_s if reply else 0.0,
        )
    if reply.reason == "backend-died":
        mesh.count_crash(request)
        mesh.backend_crashed(target)
        return reply
    reply.tokens_left = allowance.tokens
    return reply


def _report(mesh: Mesh, target: Server):
    load = target.admission.load()
    if not mesh.settings.report_lag_s:
        return load
    return target.backend.delayed_report(load, mesh.settings.report_lag_s)
