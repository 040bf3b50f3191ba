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
        Requests whose path starts with this prefix cause the call.
    method, service, path : str
        Method, service and path of the call.
    """

    prefix: str
    method: str
    service: str
    path: str


def parse_child(text: str) -> ChildCall:
    """Return the outbound call that ``PREFIX=METHOD SERVICE/PATH`` describes.

    Raises
    ------
    ValueError
        If `text` does not have this form.
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
    """Settings of a development backend server.

    Parameters
    ----------
    service : str
        Service that the server announces.
    node : str
        ``host:port`` of the ``backend`` listener of its node; empty to run
        without a node.
    host, port : str, int
        Address of the listener; port 0 selects a free one.
    slots : int
        Maximum number of concurrent requests.
    waiting : int
        Maximum number of requests waiting for a slot; further requests are refused with
        ``Damask-Not-Started: 1``.
    service_time_ms : float
        Mean service time of a warm server, without stragglers.
    route_time_ms : dict of str to float
        Mean service time by path prefix, instead of `service_time_ms`.
    spread : float
        Coefficient of variation of the gamma-distributed service time; 0 makes it
        constant.
    straggler_share, straggler_factor, straggler_shape : float
        Share of requests that are stragglers. Their service time is multiplied by
        `straggler_factor` times a Pareto variate of shape `straggler_shape`, at most by
        `straggler_cap`.
    cold_factor, cold_requests : float, int
        The service time of the first request is multiplied by `cold_factor`; the
        multiplier falls linearly to 1 over `cold_requests` requests.
    start_delay_ms : float
        Time before the first announcement.
    slow_every_s, slow_for_s, slow_factor : float
        Slow periods: mean of the exponentially distributed interval between them (0
        disables them), duration, and multiplier of the service time.
    load_lag_ms : float
        Age of the load that ``GET /damask/load`` reports.
    answer_bytes : int
        Length of the filler in a response.
    crash_mark : str
        A request with this text in its path or body crashes the process.
    children : tuple of ChildCall
        Outbound calls, made one after the other.
    history : str
        File to which the history of runs and outbound calls is appended as JSON lines;
        empty for none.
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
