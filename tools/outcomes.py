"""nose2 plugin that counts test outcomes and separates known failures."""

from pathlib import Path

from nose2 import events, result

__all__ = ["KnownFailures", "OutcomeCounter", "read_known_failures"]

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_failures(path=KNOWN_RED):
    """Return the test ids listed in `path`.

    Parameters
    ----------
    path : Path
        File with one ``test: <id>`` line per entry.

    Returns
    -------
    set of str
        Ids as nose2 prints them; the id of a row of a parameterised test ends in
        ``:<row>``. Empty if the file does not exist.
    """
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


class KnownFailures:
    """Decides which failures are listed in ``KNOWN-RED.txt``."""

    def __init__(self, listed):
        self.listed = listed
        self.seen = set()

    def covers(self, test_id):
        """Return whether `test_id` is listed, and record that it failed."""
        first_line = test_id.split("\n", 1)[0]
        if first_line not in self.listed:
            return False
        self.seen.add(first_line)
        return True

    def unseen(self):
        """Return the listed tests that did not fail in this run."""
        return sorted(self.listed - self.seen)


class OutcomeCounter(events.Plugin):
    """Counts passed and failed tests; known failures count as neither."""

    alwaysOn = True
    configSection = "outcome-counter"
    latest = None

    def __init__(self):
        OutcomeCounter.latest = self
        self.passed = 0
        self.failed = 0
        self.known = KnownFailures(read_known_failures())

    def testOutcome(self, event):  # noqa: N802 (name of the nose2 hook)
        """Count one outcome; skipped tests count as neither."""
        if event.outcome in (result.ERROR, result.FAIL) and not event.expected:
            known = self.known.covers(event.test.id())
            self.failed += not known
        elif event.outcome == result.PASS and event.expected:
            self.passed += 1
        elif event.outcome == result.PASS:
            self.failed += 1
