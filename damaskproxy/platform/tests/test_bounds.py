"""Bounds of the platform: valid, missing or of another type."""

import unittest

from nose2.tools import params

from damaskproxy.platform.bounds import Bounds, decode_bounds

SETTINGS = {
    "retryBudgetRatio": 0.3,
    "budgetSlack": 9,
    "graceS": 4,
    "drainMs": 2000,
    "configApplyMs": 2500,
}


class BoundsTests(unittest.TestCase):
    """Guards against a bound that is misread, or replaced without a log event."""

    def test_names_are_translated(self):
        expected = Bounds(0.3, 9, 4, configuration_ms=2500)
        self.assertEqual(decode_bounds(SETTINGS), expected)

    def test_bounds_of_organisations_may_be_absent(self):
        with self.assertNoLogs("damaskproxy.platform.bounds"):
            found = decode_bounds(SETTINGS)
        self.assertEqual(
            (found.quota_window_s, found.quota_overshoot, found.quota_slack),
            (5, 0.1, 20),
        )
        quota = {"quotaWindowS": 3, "quotaOvershoot": 0.2, "quotaSlack": 7}
        found = decode_bounds({**SETTINGS, **quota})
        self.assertEqual(found, Bounds(0.3, 9, 4, 3, 0.2, 7, 2500))

    @params(
        ("graceS", None),
        ("graceS", "soon"),
        ("budgetSlack", [1]),
        ("quotaSlack", "x"),
        ("configApplyMs", "soon"),
    )
    def test_invalid_bound_keeps_its_default_and_is_logged(self, name, value):
        with self.assertLogs("damaskproxy.platform.bounds", "WARNING") as logs:
            found = decode_bounds({**SETTINGS, name: value})
        self.assertEqual(len(logs.records), 1)
        field = {
            "graceS": "stop_grace_s",
            "budgetSlack": "retry_slack",
            "quotaSlack": "quota_slack",
            "configApplyMs": "configuration_ms",
        }[name]
        self.assertEqual(getattr(found, field), getattr(Bounds(), field))
