"""nose2 plugin that lets Hypothesis prepare itself before the first test."""

from hypothesis import HealthCheck, given, settings, strategies
from nose2 import events

__all__ = ["HypothesisSetup", "draw"]

EXAMPLES = 300
"""Numbers to draw. Hypothesis uses a constant of the modules for one draw in 20, and
parses the modules when it does so for the first time."""


@settings(
    max_examples=EXAMPLES,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
    deadline=None,
)
@given(strategies.integers())
def draw(number):
    """Draw a number."""


class HypothesisSetup(events.Plugin):
    """Draws after all test modules are loaded.

    Hypothesis parses the modules of a new checkout when it first needs constants. That
    takes a second or more, which would count towards the time limit of the health check
    of whichever test draws then.
    """

    alwaysOn = True
    configSection = "hypothesis-setup"

    def startTestRun(self, event):  # noqa: N802 (name of the nose2 hook)
        """Draw some numbers."""
        draw()
