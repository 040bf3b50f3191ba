"""Organisations of one version of the configuration, found by API key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Organisation", "Organisations"]

SCHEME = b"bearer"


@dataclass(frozen=True, slots=True)
class Organisation:
    """Organisation whose clients share keys, a priority and an allowance.

    Parameters
    ----------
    name : str
        Unique name.
    keys : tuple of bytes
        API keys; left out of the representation, which may be logged.
    priority : int
        Priority level, 0 is the highest. It comes before that of the route.
    rate_per_s, burst : float
        Allowance over all nodes, in requests per second and requests; a rate of 0 is
        no limit.
    """

    name: str
    keys: tuple[bytes, ...] = field(default=(), repr=False)
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has an allowance."""
        return self.rate_per_s > 0


class Organisations:
    """Index of organisations by name and by key.

    Parameters
    ----------
    organisations : iterable of Organisation
        Organisations; if two of them share a key, it belongs to the first by name.
    """

    __slots__ = ("_by_key", "_by_name")

    def __init__(self, organisations: Iterable[Organisation] = ()):
        self._by_name = {each.name: each for each in organisations}
        self._by_key: dict[bytes, Organisation] = {}
        for name in sorted(self._by_name):
            organisation = self._by_name[name]
            for key in organisation.keys:
                self._by_key.setdefault(key, organisation)

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self):
        return iter(self._by_name.values())

    def get(self, name: str) -> Organisation | None:
        """Return the organisation with a name, or None."""
        return self._by_name.get(name)

    def find(self, authorization: bytes) -> Organisation | None:
        """Return the organisation of the key in an Authorization header, or None."""
        scheme, _, key = authorization.partition(b" ")
        if scheme.lower() != SCHEME:
            return None
        return self._by_key.get(key.strip())
