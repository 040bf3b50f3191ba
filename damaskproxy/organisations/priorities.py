"""Priority of a request from the priorities of its organisation and its route."""

from collections.abc import Iterable

from damaskproxy.common import Priority

__all__ = ["CombinedPriorities"]

LAST_CLASS = len(Priority) - 1


class CombinedPriorities:
    """Ranks of all pairs of an organisation's and a route's priority.

    Parameters
    ----------
    organisation_priorities, route_priorities : iterable of int
        Priorities in the configuration, 0 is the highest.

    Notes
    -----
    The pairs are ordered by the organisation first. Admission control has few classes,
    so if there are more pairs, the most urgent of them share the first class: it is the
    last classes that are refused first, and these must remain distinct.
    """

    __slots__ = ("_last_organisation", "_ranks")

    def __init__(
        self, organisation_priorities: Iterable[int], route_priorities: Iterable[int]
    ):
        organisations = sorted(set(organisation_priorities)) or [0]
        routes = sorted(set(route_priorities)) or [0]
        pairs = [(first, second) for first in organisations for second in routes]
        excess = max(0, len(pairs) - 1 - LAST_CLASS)
        self._ranks = {pair: max(0, index - excess) for index, pair in enumerate(pairs)}
        self._last_organisation = organisations[-1]

    def rank(self, organisation_priority: int | None, route_priority: int) -> int:
        """Return the rank of a request, 0 is the most urgent.

        Parameters
        ----------
        organisation_priority : int or None
            None for a request without an organisation, which counts as one of the least
            urgent organisation.
        route_priority : int
            Priority of a route in the configuration.
        """
        if organisation_priority is None:
            organisation_priority = self._last_organisation
        return self._ranks[organisation_priority, route_priority]
