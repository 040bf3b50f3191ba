"""The demo fails on each broken guarantee, and its sections are valid."""

import unittest

from nose2.tools import params

from damaskproxy.common import Outcome
from damaskproxy.history import Recorder
from damaskproxy.move import parse_document, section_of
from damaskproxy.standins.callers import CallerConfig, plan_requests
from damaskproxy.standins.callers_meshes import GEORGIA, MESHES
from damaskproxy.standins.callers_results import SendResult
from demo.layout import NEW, OLD, plan, section
from demo.processes import EPHEMERAL_PORT, free_ports
from demo.report import format_report
from demo.scenario import DemoResult


def complete_response(recorder):
    recorder.sent("k", send="1", caller="c", request=b"r")
    run = recorder.ran("k", attempt="a", request=b"r")
    recorder.finished("k", run, answer=b"x")
    recorder.told("k", send="1", caller="c", answer=b"x")


def run_twice(recorder):
    complete_response(recorder)
    recorder.ran("k", attempt="b", request=b"r")


def not_run_but_ran(recorder):
    recorder.sent("k", send="1", caller="c", request=b"r")
    recorder.ran("k", attempt="a", request=b"r")
    recorder.told("k", send="1", caller="c", outcome="not-run")


def read_refused_after_a_run(recorder):
    for send, outcome in (("1", "unknown"), ("2", "not-run")):
        recorder.sent("k", send=send, caller="c", request=b"r", idempotent=True)
        if send == "1":
            recorder.ran("k", attempt="a", request=b"r")
        recorder.told("k", send=send, caller="c", outcome=outcome)


def read_not_run_but_ran(recorder):
    recorder.sent("k", send="1", caller="c", request=b"r", idempotent=True)
    recorder.ran("k", attempt="a", request=b"r")
    recorder.told("k", send="1", caller="c", outcome="not-run")


def connection_closed(recorder):
    complete_response(recorder)
    recorder.cut("k", send="1", caller="c")


class ReportTests(unittest.TestCase):
    """Guards against a demo that passes although a guarantee was broken."""

    @params(
        ("none", complete_response, {}, 0),
        ("run twice", run_twice, {}, 1),
        ("reported not-run but ran", not_run_but_ran, {}, 1),
        ("a read is refused after a run", read_refused_after_a_run, {}, 0),
        ("a read is reported not-run but ran", read_not_run_but_ran, {}, 1),
        ("connection closed", connection_closed, {}, 1),
        ("section in force too late", complete_response, {"in_force_s": 3.1}, 1),
        ("process fault", complete_response, {"faults": ["node exited with 1"]}, 1),
        ("no complete response", complete_response, {"results": []}, 1),
    )
    def test_number_of_failed_checks(self, _name, record_history, fields, count):
        serial = iter(range(100))
        recorder = Recorder(now_s=lambda: float(next(serial)))
        record_history(recorder)
        config = CallerConfig(rate_per_s=10, duration_s=1)
        request = next(plan_requests(GEORGIA, config))
        result = DemoResult(
            results=[(request, SendResult(200, Outcome.RUN))],
            latencies_s={request.kind.name: [0.01]},
            events=recorder.events,
        )
        for name, value in fields.items():
            setattr(result, name, value)
        report, failures = format_report(result)
        self.assertEqual(len(failures), count, failures)
        self.assertIn("complete responses", report)

    @params(*MESHES.values())
    def test_sections_are_valid(self, mesh):
        service = next(iter(mesh.routes))
        layout = plan(mesh, service)
        document = parse_document(section(layout, service, leaving=(OLD,)))
        self.assertTrue(document, document)
        placement = section_of(document, version=1, edit_id="e").services[0].placement
        self.assertEqual(placement, {OLD: "leaving", NEW: "serving"})
        self.assertEqual(len(layout.leaving()), 2)
        ports = [p for host in layout.hosts for p in host.ports.values()]
        self.assertEqual(len(ports), len(set(ports)))

    def test_free_ports_are_distinct_and_not_ephemeral(self):
        ports = free_ports(200)
        self.assertEqual(len(set(ports)), 200)
        self.assertLess(max(ports), EPHEMERAL_PORT)
