"""Settings of the development backend server."""

from typing import Annotated

import msgspec

__all__ = ["BackendConfig", "ChildCall", "parse_child"]

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Factor = Annotated[float, msgspec.Meta(ge=1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class ChildCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Outbound call that a request causes.

    Parameters
    ----------
    prefix : str
        Requests whose path starts with it cause the call.
    method, service, path : str
        The call.
    """

    prefix: str
    method: str
    service: str
    path: str


def parse_child(text: str) -> ChildCall:
    """Return the child call written as ``PREFIX=METHOD SERVICE/PATH``.

    Raises
    ------
    ValueError
        If `text` has another form.
    """
    prefix, equals, call = text.partition("=")
    method, space, target = call.strip().partition(" ")
    service, slash, path = target.strip().strip("/").partition("/")
    if not (prefix.startswith("/") and equals and space and service and slash):
        raise ValueError(f"{text!r} is not of the form /PREFIX=METHOD SERVICE/PATH")
    return ChildCall(prefix, method.upper(), service, "/" + path)


class BackendConfig(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """How a development backend server behaves.

    Parameters
    ----------
    service : str
        Service that it announces.
    node : str
        ``host:port`` of the ``backend`` listener of its node; empty runs it alone.
    host, port : str, int
        Own listener; port 0 takes a free one.
    slots : int
        Requests that run at once.
    waiting : int
        Requests that wait for a slot; more are answered with
        ``Damask-Not-Started: 1``.
    service_time_ms : float
        Mean service time when warm, without stragglers.
    route_time_ms : dict of str to float
        Mean service time by path prefix, in place of `service_time_ms`.
    spread : float
        Coefficient of variation of the gamma-distributed service time; 0 is constant.
    straggler_share, straggler_factor, straggler_shape : float
        Share of requests whose time is multiplied by ``straggler_factor`` times a
        Pareto variate of this shape, at most by `straggler_cap`.
    cold_factor, cold_requests : float, int
        The first request takes `cold_factor` times longer; the excess falls linearly
        to none over `cold_requests` requests.
    start_delay_ms : float
        Time before the first announcement.
    slow_every_s, slow_for_s, slow_factor : float
        Slow moments: exponential gaps of this mean, duration, multiplier; a mean of 0
        is never.
    load_lag_ms : float
        Age of what ``GET /damask/load`` reports.
    answer_bytes : int
        Length of the filler in an answer.
    crash_mark : str
        A request with this text in its path or body kills the process.
    children : tuple of ChildCall
        Outbound calls, made one after the other.
    history : str
        File that gets the history of runs and outbound calls as JSON lines; empty for
        none.
    seed : int
        Seed of all random choices.
    """

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    node: str = ""
    host: str = "127.0.0.1"
    port: Port = 0
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 16
    waiting: Annotated[int, msgspec.Meta(ge=0)] = 256
    service_time_ms: NonNegative = 5.0
    route_time_ms: dict[str, NonNegative] = {}
    spread: NonNegative = 0.3
    straggler_share: Share = 0.0
    straggler_factor: Factor = 5.0
    straggler_shape: Annotated[float, msgspec.Meta(gt=0)] = 1.5
    straggler_cap: Factor = 50.0
    cold_factor: Factor = 1.0
    cold_requests: Annotated[int, msgspec.Meta(ge=0)] = 0
    start_delay_ms: NonNegative = 0.0
    slow_every_s: NonNegative = 0.0
    slow_for_s: NonNegative = 1.0
    slow_factor: Factor = 5.0
    load_lag_ms: NonNegative = 0.0
    answer_bytes: Annotated[int, msgspec.Meta(ge=0, le=1_048_576)] = 256
    crash_mark: str = "damask-crash"
    children: tuple[ChildCall, ...] = ()
    history: str = ""
    seed: int = 0
