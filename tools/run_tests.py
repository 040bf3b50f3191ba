"""Run the test suite with nose2 and print ``N passed, N failed``.

Tests listed in ``KNOWN-RED.txt`` are run; their failures are printed but do not change
the exit status. An entry whose test did not fail is printed, so that it can be removed.
"""

import os
import sys

from nose2.main import PluggableTestProgram

from tools.outcomes import OutcomeCounter


def main():
    """Run all tests; exit with 1 if a test failed or none was counted."""
    # Its fork handlers abort child processes that have a `preexec_fn`.
    os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")
    PluggableTestProgram(module=None, argv=["nose2", *sys.argv[1:]], exit=False)
    counter = OutcomeCounter.latest
    for test_id in sorted(counter.known.seen):
        print(f"known failure: {test_id}")
    for test_id in counter.known.unseen():
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    if counter.passed + counter.failed == 0:
        counter.failed = 1
    sys.stderr.flush()
    print(f"{counter.passed} passed, {counter.failed} failed", flush=True)
    sys.exit(1 if counter.failed else 0)


if __name__ == "__main__":
    main()
