"""nose2 plugin that lets Hypothesis prepare itself before the first test."""

from hypothesis import HealthCheck, given, settings, strategies
from nose2 import events

__all__ = ["HypothesisSetup"]


@settings(max_examples=1, database=None, suppress_health_check=[HealthCheck.too_slow])
@given(strategies.integers())
def draw_once(number):
    """Draw one number."""


class HypothesisSetup(events.Plugin):
    """Draws once after all test modules are loaded.

    Hypothesis parses the modules of a new checkout at the first draw. That takes about
    a second, which would count towards the time limit of the health check of whichever
    test draws first.
    """

    alwaysOn = True
    configSection = "hypothesis-setup"

    def startTestRun(self, event):  # noqa: N802 (name of the nose2 hook)
        """Draw once."""
        draw_once()
