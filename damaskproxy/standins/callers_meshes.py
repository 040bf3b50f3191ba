"""Services, routes and caller requests of the two development meshes."""

from collections.abc import Mapping
from dataclasses import dataclass

from damaskproxy.common import Priority
from damaskproxy.model import Route
from damaskproxy.standins.backend_settings import ChildCall

__all__ = ["GEORGIA", "JAVA", "MESHES", "Mesh", "RequestKind"]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in the request mix of the callers.

    Parameters
    ----------
    name : str
        Name in reports.
    service, method, path : str
        Target of the request; ``{n}`` in the path is replaced by a random number.
    share : float
        Weight in the request mix.
    has_key : bool
        Whether the request carries an idempotency key; non-idempotent ones need one.
    """

    name: str
    service: str
    method: str
    path: str
    share: float
    has_key: bool = False


@dataclass(frozen=True, slots=True)
class Mesh:
    """Configuration of a mesh and of the load of its callers.

    Parameters
    ----------
    name, team : str
        Name of the mesh, and the team that owns its sections.
    caller : str
        Prefix of the names of its callers.
    routes : mapping of str to tuple of Route
        Routes by service.
    children : mapping of str to tuple of ChildCall
        Outbound calls by service.
    mix : tuple of RequestKind
        Request mix of the callers.
    """

    name: str
    team: str
    caller: str
    routes: Mapping[str, tuple[Route, ...]]
    children: Mapping[str, tuple[ChildCall, ...]]
    mix: tuple[RequestKind, ...]


def _read_route(
    name: str, path: str, priority: Priority, retry_allowance: int = 2
) -> Route:
    return Route(name, "GET", path, priority, True, 2000, retry_allowance)


def _write_route(name: str, path: str) -> Route:
    return Route(name, "POST", path, Priority.CRITICAL, False, 5000, 3)


GEORGIA = Mesh(
    name="georgia",
    team="guild",
    caller="counter",
    routes={
        "catalogue": (_read_route("browse", "/horns", Priority.SHEDDABLE),),
        "stores": (_read_route("stock", "/stock", Priority.NORMAL),),
        "orders": (_write_route("place", "/place"),),
        "tracking": (_read_route("status", "/status", Priority.HIGH),),
    },
    children={
        "catalogue": (ChildCall("/horns", "GET", "stores", "/stock/shown"),),
        "orders": (
            ChildCall("/place", "GET", "stores", "/stock/ordered"),
            ChildCall("/place", "GET", "tracking", "/status/opened"),
        ),
    },
    mix=(
        RequestKind("browse", "catalogue", "GET", "/horns/{n}", 50),
        RequestKind("stock", "stores", "GET", "/stock/{n}", 20),
        RequestKind("status", "tracking", "GET", "/status/{n}", 15),
        RequestKind("order", "orders", "POST", "/place", 15, has_key=True),
    ),
)

JAVA = Mesh(
    name="java",
    team="association",
    caller="household",
    routes={
        "storefront": (_read_route("browse", "/jars", Priority.SHEDDABLE),),
        "delivery": (_read_route("schedule", "/schedule", Priority.NORMAL),),
        "accounts": (_read_route("profile", "/profile", Priority.HIGH),),
        "payments": (
            _write_route("pay", "/pay"),
            _write_route("renew", "/renew"),
            _write_route("pause", "/pause"),
        ),
    },
    children={
        "storefront": (ChildCall("/jars", "GET", "delivery", "/schedule/next"),),
        "payments": (ChildCall("/", "GET", "accounts", "/profile/payer"),),
    },
    mix=(
        RequestKind("browse", "storefront", "GET", "/jars/{n}", 45),
        RequestKind("schedule", "delivery", "GET", "/schedule/{n}", 20),
        RequestKind("profile", "accounts", "GET", "/profile/{n}", 15),
        RequestKind("pay", "payments", "POST", "/pay", 10, has_key=True),
        RequestKind("renew", "payments", "POST", "/renew", 7, has_key=True),
        RequestKind("pause", "payments", "POST", "/pause", 3, has_key=True),
    ),
)

MESHES = {mesh.name: mesh for mesh in (GEORGIA, JAVA)}
