"""Conversion of the requests of callers to calls."""

from collections.abc import Callable

from damaskproxy.directory import Configuration, CurrentConfiguration, Route
from damaskproxy.forwarding.calls import Call
from damaskproxy.forwarding.headers import HeaderNames
from damaskproxy.forwarding.parent_requests import Parent, is_call_id
from damaskproxy.forwarding.traffic_split import TrafficSplitter
from damaskproxy.http1 import Request, end_to_end
from damaskproxy.organisations import ANONYMOUS, AuthenticationFailure, Identity

__all__ = ["CallMaker", "host_of", "identify", "path_of"]

AUTHORIZATION = b"authorization"


class CallMaker:
    """Makes the calls of requests.

    Parameters
    ----------
    service : callable
        Returns the name of the service of the local backend server.
    names : HeaderNames
        Header names of the platform.
    configuration : CurrentConfiguration
        Holder of the configuration in force.
    """

    def __init__(
        self,
        service: Callable[[], str],
        names: HeaderNames,
        configuration: CurrentConfiguration,
    ):
        self._service = service
        self._splitter = TrafficSplitter()
        self._deadline_ms = names.lower("deadline_ms")
        self._reserved_headers = frozenset(
            names.lower(name)
            for name in ("request_id", "deadline_ms", "caller", "target_instance")
        )
        self._confidential_headers = self._reserved_headers | {
            AUTHORIZATION,
            names.lower("organisation"),
        }
        configuration.on_change(lambda _: self._splitter.reset())

    def caller_budget_ms(self, request: Request, route: Route) -> int:
        """Return the time that the caller allows, by default that of the route."""
        value = request.header(self._deadline_ms)
        if value is None or not value.isdigit():
            return route.timeout_ms
        return int(value[:12])

    def make_call(
        self,
        configuration: Configuration,
        request: Request,
        request_id: bytes,
        route: Route,
        budget_ms: int,
        parent: Parent | None,
        identity: Identity,
    ) -> Call:
        """Return the call of a request whose sender is known."""
        owner = identity.organisation
        rank = (
            configuration.rank(route, None if owner is None else owner.priority)
            if parent is None
            else parent.priority
        )
        reserved = (
            self._reserved_headers
            if configuration.authentication is None
            else self._confidential_headers
        )
        return Call(
            self._splitter.next_service(route),
            route.name,
            request.method,
            request.target,
            end_to_end(request.headers, reserved),
            request.body,
            request_id,
            self._service(),
            rank,
            route.is_idempotent,
            budget_ms,
            parent is not None and parent.is_repeat,
            identity.name,
            parent is not None and configuration.authentication is not None,
            configuration.authentication is not None,
            None if parent is None else parent.ordinal,
        )


def identify(
    configuration: Configuration,
    request: Request,
    request_id: bytes,
    route: Route,
    parent: Parent | None,
) -> Identity | AuthenticationFailure:
    """Return the organisation that a request belongs to, or why that is unknown."""
    if configuration.authentication is None:
        return ANONYMOUS
    return configuration.authentication.identify(
        request.header(AUTHORIZATION),
        is_public=route.is_public,
        parent_organisation=None if parent is None else parent.organisation,
        is_call=is_call_id(request_id),
    )


def host_of(request: Request) -> str:
    """Return the host that a request names, in lower case and without a port."""
    host = request.header(b"host") or b""
    return host.decode("latin-1").partition(":")[0].lower()


def path_of(request: Request) -> str:
    """Return the path of a request without its query."""
    return request.target.decode("latin-1").partition("?")[0]
