"""Callers of one service whose servers differ in speed, of which one may fail."""

import unittest

from nose2.tools import params

from damaskproxy.forwarding.tests.virtual_placement import Event, play

IN_TIME_MIN = 0.9
"""Share of requests within the objective that is required below capacity, as after a
burst in `test_sharing`."""
CAPACITY_SHARE_MIN = 0.9
"""Share of the capacity that is required to serve requests under overload."""


class PlacementTests(unittest.TestCase):
    """Guards against a selection that overloads servers while others have room."""

    @params(
        Event("steady", 3, 10, 0.85),
        Event("steady", 3, 60, 0.85),
        Event("loss", 3, 60, 0.6),
        Event("slow", 3, 60, 0.5),
        Event("cold", 3, 60, 0.7),
    )
    def test_requests_below_capacity_are_served_in_time(self, event):
        figures = play(event, 1, has_organisations=False)
        self.assertGreater(figures.in_time, IN_TIME_MIN)

    @params((3, False), (3, True), (7, False), (7, True))
    def test_capacity_is_used_under_overload(self, servers, has_organisations):
        event = Event("overload", servers, 60, 1.3)
        figures = play(event, 1, has_organisations=has_organisations)
        self.assertGreater(figures.served * event.load, CAPACITY_SHARE_MIN)
