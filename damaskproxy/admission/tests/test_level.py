import unittest

from nose2.tools import params

from damaskproxy.admission.level import AdmissionLevel
from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.admission.tickets import LEVEL_COUNT

WINDOW_S = 0.1


def run_window(level, arrivals_per_position, started, *, overloaded):
    for position in range(LEVEL_COUNT):
        for _ in range(arrivals_per_position):
            level.record_arrival(position)
    for _ in range(started):
        level.record_start()
    level.review(WINDOW_S, overloaded=overloaded, calm=not overloaded)


class LevelTest(unittest.TestCase):
    @params((1, 512, 480, 512), (1, 256, 240, 256), (3, 512, 150, 170), (1, 0, 1, 1))
    def test_a_cut_goes_to_the_sustainable_position(
        self, arrivals, started, lowest, highest
    ):
        level = AdmissionLevel(AdmissionSettings())
        run_window(level, arrivals, started, overloaded=True)
        self.assertTrue(lowest <= level.value <= highest, level.value)

    @params(1, 60, 384, 500)
    def test_recovered_service_is_fully_open_within_two_seconds(self, started):
        level = AdmissionLevel(AdmissionSettings())
        run_window(level, 1, started, overloaded=True)
        for _ in range(20):
            run_window(level, 1, started, overloaded=False)
        self.assertEqual(level.value, LEVEL_COUNT)

    def test_level_does_not_oscillate_under_sustained_overload(self):
        """A level that reopens at full speed would admit all calls between two cuts."""
        level = AdmissionLevel(AdmissionSettings())
        values = []
        for _ in range(100):
            is_over = level.value > 180
            run_window(level, 3, min(3 * level.value, 3 * 170), overloaded=is_over)
            values.append(level.value)
        steady = values[20:]
        self.assertLess(max(steady) - min(steady), 64, steady)

    def test_level_is_kept_between_calm_and_overload(self):
        level = AdmissionLevel(AdmissionSettings())
        run_window(level, 1, 100, overloaded=True)
        before = level.value
        for _ in range(50):
            level.review(WINDOW_S, overloaded=False, calm=False)
        self.assertEqual(level.value, before)
