"""Entries of one request, read from logs that also hold other and malformed lines."""

import json
import unittest

from nose2.tools import params

from damaskproxy.events.request_log import format_entry, read_request_log
from damaskproxy.forwarding import events


def line(at, node, request_id, **fields):
    """Return a log line of an event about a request."""
    body = {"asctime": at, "node": node, "event": events.REQUEST_NOT_SERVED.number}
    return json.dumps({**body, "request_id": request_id, **fields})


LOG = [
    line("2026-01-01 10:00:02,000", "n2", "abc.1", status=503),
    "Traceback (most recent call last):",
    line("2026-01-01 10:00:01,000", "n1", "abc", attempts=["n2: lost", "n3: lost"]),
    line("2026-01-01 10:00:03,000", "n1", "abcd", status=504),
    '{"request_id": "abc"',
    "  3.88 node-1 " + line("2026-01-01 10:00:04,000", "n1", "abc", status=502),
    '["abc"]',
]


class RequestLogTests(unittest.TestCase):
    """Guards against missing entries of a node and entries of other requests."""

    @params(
        ("abc", ["n1", "n2", "n1"]),
        ("abc.1", ["n2"]),
        ("abcd", ["n1"]),
        ("none", []),
    )
    def test_entries_of_the_request_are_sorted_by_time(self, request_id, nodes):
        entries = read_request_log(LOG, request_id)
        self.assertEqual([entry.node for entry in entries], nodes)
        self.assertEqual(sorted(e.at for e in entries), [e.at for e in entries])

    def test_entry_is_formatted_as_text(self):
        text = format_entry(read_request_log(LOG, "abc")[0])
        self.assertIn("10:00:01,000 n1: request abc", text)
        self.assertIn(events.REQUEST_NOT_SERVED.meaning, text)
        self.assertIn("attempts [n2: lost; n3: lost]", text)
